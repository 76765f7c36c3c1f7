// Tests of format versions: what another build has encoded must be read, and what it reads must be written.
#include "formatsamples.h"
#include "goldenbytes.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

static std::string toHex(const std::string &bytes)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const char byte : bytes) {
        text += Digits[static_cast<unsigned char>(byte) >> 4U];
        text += Digits[static_cast<unsigned char>(byte) & 0xfU];
    }
    return text;
}

static std::string fromHex(const std::string &text)
{
    std::string bytes;
    for (std::size_t at = 0; at + 1 < text.size(); at += 2) {
        bytes += static_cast<char>(std::stoi(text.substr(at, 2), nullptr, 16));
    }
    return bytes;
}

static EntryUpdate updateWithLeases()
{
    EntryUpdate update = sampleUpdate();
    update.failingOver.push_back({ ServiceId { "s" }, 700 });
    update.lease = { std::chrono::milliseconds(3000), std::chrono::milliseconds(1500) };
    return update;
}

static std::string encodeUpdate(const EntryUpdate &update, FormatVersion version)
{
    return encodeClusterMessage({ VmId { "v1" }, update }, version);
}

TEST_GROUP(FormatVersion) {};

// Guards against a changed type without a new version, which no other build could read.
TEST(FormatVersion, EncodingsOfEarlierVersionsAreUnchanged)
{
    const std::map<std::string, std::string> samples = commonSamples();
    CHECK_EQUAL(CommonBytes.size(), samples.size());
    for (const auto &[name, hex] : CommonBytes) {
        STRCMP_EQUAL_TEXT(hex.c_str(), toHex(samples.at(name)).c_str(), name.c_str());
    }
    STRCMP_EQUAL(
        SingleLeaseBytes.at("EntryUpdate").c_str(), toHex(encodeUpdate(updateWithLeases(), SingleLeaseFormat)).c_str());
    STRCMP_EQUAL(
        LeaseHolderBytes.at("EntryUpdate").c_str(), toHex(encodeUpdate(updateWithLeases(), LeaseHolderFormat)).c_str());
    const std::string registration = encodeSupervisionCommand(RegisterLeaseHolder { VmId { "e1" }, ZoneId { "z" } });
    STRCMP_EQUAL(LeaseHolderBytes.at("RegisterLeaseHolder").c_str(), toHex(registration).c_str());
    const std::string removal = encodeSupervisionCommand(RemoveLeaseHolder { VmId { "e1" }, 14 });
    STRCMP_EQUAL(LeaseHolderBytes.at("RemoveLeaseHolder").c_str(), toHex(removal).c_str());
}

TEST(FormatVersion, MessagesOfEachVersionAreDecoded)
{
    for (const auto &[version, bytes] :
        { std::pair { SingleLeaseFormat, &SingleLeaseBytes }, std::pair { LeaseHolderFormat, &LeaseHolderBytes } }) {
        const Expected<DecodedClusterMessage> message
            = decodeClusterMessage(fromHex(bytes->at("EntryUpdate")), version);
        CHECK(message.has_value());
        const auto &update = std::get<EntryUpdate>(*message->payload);
        CHECK_EQUAL(9U, update.topologyIndex);
        CHECK_EQUAL(12U, update.coordinators.entryCount);
        CHECK(update.lease.general == std::chrono::milliseconds(3000));
        CHECK_EQUAL(1U, update.failingOver.size());
    }
}

// An entry that counts a single lease must not be told the shorter duration of its own zone.
TEST(FormatVersion, SingleLeaseAppliesToAllPrimaries)
{
    const std::string bytes = fromHex(SingleLeaseBytes.at("EntryUpdate"));
    const auto update = std::get<EntryUpdate>(*decodeClusterMessage(bytes, SingleLeaseFormat)->payload);
    CHECK(update.lease.ownZone == update.lease.general);
}

// Guards against a control VM that does not start after an upgrade.
TEST(FormatVersion, SnapshotsOfEarlierVersionsAreReadAndWrittenBack)
{
    for (const auto *bytes : { &SingleLeaseBytes, &LeaseHolderBytes }) {
        const std::string stored = fromHex(bytes->at("SupervisionSnapshot"));
        const Expected<SupervisionSnapshot> snapshot = decodeSupervisionSnapshot(stored);
        CHECK(snapshot.has_value());
        CHECK_EQUAL(0U, snapshot->activeFormat);
        CHECK(encodeSupervisionSnapshot(*snapshot) == stored);
    }
}

// Guards against an earlier build that starts with a state which it cannot follow: its decoder reads a number first.
TEST(FormatVersion, SnapshotOfAnActivatedVersionIsUnreadableForEarlierBuilds)
{
    SupervisionSnapshot snapshot = sampleSnapshot();
    snapshot.activeFormat = AnnouncedFormat;
    snapshot.areLeaseHoldersComplete = true;
    const std::string bytes = encodeSupervisionSnapshot(snapshot);
    constexpr std::size_t MaxNumberBytes = 10;
    for (std::size_t at = 0; at < MaxNumberBytes; ++at) {
        CHECK((static_cast<unsigned char>(bytes[at]) & 0x80U) != 0);
    }
    CHECK(decodeSupervisionSnapshot(bytes) == snapshot);
}

TEST(FormatVersion, SnapshotOfALaterVersionIsRefusedWithBothVersions)
{
    SupervisionSnapshot snapshot = sampleSnapshot();
    snapshot.activeFormat = CurrentFormat + 1;
    const Expected<SupervisionSnapshot> decoded = decodeSupervisionSnapshot(encodeSupervisionSnapshot(snapshot));
    CHECK(!decoded.has_value());
    STRCMP_EQUAL("the snapshot has format version 4, this build supports 1 to 3", decoded.error().detail.c_str());
}

TEST(FormatVersion, TruncatedSnapshotIsRejected)
{
    SupervisionSnapshot snapshot = sampleSnapshot();
    snapshot.activeFormat = AnnouncedFormat;
    const std::string bytes = encodeSupervisionSnapshot(snapshot);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK(!decodeSupervisionSnapshot(bytes.substr(0, size)).has_value());
    }
}

TEST(FormatVersion, UnknownFieldsAtTheEndAreSkippedAndCounted)
{
    const std::string fields("\x01\x02xy\x07\x00", 6);
    const std::string bytes = encodeUpdate(updateWithLeases(), AnnouncedFormat) + fields;
    const Expected<DecodedClusterMessage> message = decodeClusterMessage(bytes, AnnouncedFormat);
    CHECK(message.has_value());
    CHECK_EQUAL(2U, message->skippedFields);
    CHECK(!decodeClusterMessage(bytes, LeaseHolderFormat).has_value());
}

TEST(FormatVersion, FieldBeyondTheEndOrOutOfOrderIsRejected)
{
    const std::string bytes = encodeUpdate(updateWithLeases(), AnnouncedFormat);
    CHECK(!decodeClusterMessage(bytes + std::string("\x01\x05x", 3), AnnouncedFormat).has_value());
    CHECK(!decodeClusterMessage(bytes + std::string("\x02\x00\x01\x00", 4), AnnouncedFormat).has_value());
    CHECK(!decodeClusterMessage(bytes + std::string("\x00\x00", 2), AnnouncedFormat).has_value());
}

TEST(FormatVersion, UnknownKindOfMessageIsSkipped)
{
    // The sender "v1" and a kind that no version has.
    const Expected<DecodedClusterMessage> message = decodeClusterMessage("\x02v1\x7e"
                                                                         "content",
        AnnouncedFormat);
    CHECK(message.has_value());
    CHECK(!message->payload.has_value());
}

TEST(FormatVersion, NoCommonVersionNamesBothRanges)
{
    CHECK_EQUAL(2U, commonFormat({ 1, 3 }, { 1, 2 }).value());
    CHECK_EQUAL(3U, commonFormat({ 1, 3 }, { 3, 9 }).value());
    STRCMP_EQUAL("no common format version: this build supports 1 to 3, the peer 4 to 5",
        commonFormat({ 1, 3 }, { 4, 5 }).error().detail.c_str());
    for (const FormatRange &bad : { FormatRange { 0, 3 }, FormatRange { 3, 1 }, FormatRange { 0, 0 } }) {
        CHECK(!commonFormat({ 1, 3 }, bad).has_value());
    }
}

TEST(FormatVersion, MalformedAnnouncementIsRejected)
{
    for (const char *text : { "format-versions:", "format-versions:3", "format-versions:-1-3", "format-versions:1-",
             "format-versions:1-4294967296", "format-versions:1-x" }) {
        CHECK(!decodeFormatAnnouncement({ VmId {}, { VmId { text } } }).has_value());
    }
    CHECK(!decodeFormatAnnouncement({ VmId {}, { VmId { "10.0.0.1" } } }).value().has_value());
    CHECK(!decodeFormatAnnouncement({ VmId { "c1" }, encodeFormatAnnouncement({}).controlVms }).value().has_value());
    CHECK(decodeFormatAnnouncement({ VmId {}, { VmId { "format-versions:1-3-later" } } }).value() == FormatRange {});
}
