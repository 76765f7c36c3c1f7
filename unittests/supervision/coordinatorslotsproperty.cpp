// Property of the coordinator slots under random delays, losses, restarts, releases and leader changes, with entries
// that count their leases as the design requires.
#include "daisyrelay/supervision.h"

#include <algorithm>
#include <random>
#include <set>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

namespace {

struct Fault {
    std::uint8_t kind;
    std::uint8_t entry;
};

struct SentReport {
    Instant at {};
    EntryReport report;
};

struct SimulatedEntry {
    VmId vm;
    ZoneId zone;
    double clockRate = 1;
    std::uint64_t runId = 0;
    bool isLeaving = false;
    Instant nextReportAt {};
    std::vector<SentReport> sent;
    std::uint64_t tableVersion = 0;
    std::map<std::uint32_t, Instant> authority; ///< Slots with the end of the authority.
    std::map<std::uint32_t, std::uint64_t> lastRelease; ///< Slots with the last report that released them.
    std::set<std::uint32_t> unconfirmedReleases;

    void receive(Instant now, std::uint64_t sequence, const CoordinatorUpdate &update)
    {
        const SentReport &cause = sent.at(sequence - 1);
        for (const CoordinatorTable &table : update.table) {
            tableVersion = std::max(tableVersion, table.version);
        }
        std::erase_if(unconfirmedReleases, [&](std::uint32_t slot) { return lastRelease[slot] <= sequence; });
        const auto duration = std::chrono::duration_cast<Duration>(update.lease * clockRate);
        for (const std::uint32_t slot : update.granted) {
            const std::vector<std::uint32_t> &held = cause.report.coordinators.held;
            const bool isExtension = std::find(held.begin(), held.end(), slot) != held.end();
            if (sequence > lastRelease[slot] && (!isExtension || authority[slot] > now)) {
                authority[slot] = std::max(authority[slot], cause.at + duration);
            }
        }
    }
};

class Simulation
{
public:
    explicit Simulation(std::uint64_t seed) : random_(seed), maxDelay_(seed % 2 == 0 ? 10ms : 3000ms)
    {
        for (std::size_t index = 0; index < EntryCount; ++index) {
            SimulatedEntry &entry = entries_.at(index);
            entry.vm = VmId { "e" + std::to_string(index) };
            entry.zone = ZoneId { std::to_string(index % 3) };
            entry.clockRate = 0.976 + 0.012 * static_cast<double>(index % 5); // Within ClockDriftMargin of the lease.
            entry.runId = ++lastRun_;
        }
        changeLeader();
    }

    void apply(const Fault &fault)
    {
        SimulatedEntry &entry = entries_.at(fault.entry % EntryCount);
        const auto pause = std::chrono::milliseconds(random_() % 4000);
        switch (fault.kind % 6) {
        case 0:
            leader_.reset();
            nextLeaderAt_ = now_ + pause / 4;
            break;
        case 1:
            entry = { entry.vm, entry.zone, entry.clockRate, ++lastRun_, false, now_ + pause };
            break;
        case 2:
            entry.isLeaving = true;
            break;
        case 3:
            entry.nextReportAt = now_ + pause;
            break;
        case 4:
            maxDelay_ = fault.entry % 2 == 0 ? 10ms : 3000ms;
            break;
        default:
            releaseAll(entry);
            break;
        }
    }

    void run(Duration duration)
    {
        for (const Instant end = now_ + duration; now_ < end; now_ += 10ms) {
            for (SimulatedEntry &entry : entries_) {
                if (now_ >= entry.nextReportAt) {
                    entry.nextReportAt = now_ + 100ms;
                    sendReport(entry);
                }
            }
            while (!messages_.empty() && messages_.begin()->first <= now_) {
                const auto deliver = std::move(messages_.begin()->second);
                messages_.erase(messages_.begin());
                deliver();
            }
            if (!leader_ && now_ >= nextLeaderAt_) {
                changeLeader();
            }
            if (leader_) {
                controls_.at(*leader_).assign(now_, true);
            }
            for (std::uint32_t slot = 0; slot < CoordinatorSlotCount; ++slot) {
                RC_ASSERT(holders(slot) <= 1);
            }
        }
    }

    void endFaults()
    {
        messages_.clear();
        maxDelay_ = 10ms;
        for (SimulatedEntry &entry : entries_) {
            if (entry.isLeaving) {
                entry = { entry.vm, entry.zone, entry.clockRate, ++lastRun_ };
            }
            entry.nextReportAt = now_;
        }
        if (!leader_) {
            changeLeader();
        }
    }

    std::ptrdiff_t holders(std::uint32_t slot) const
    {
        return std::count_if(entries_.begin(), entries_.end(), [this, slot](const SimulatedEntry &entry) {
            const auto found = entry.authority.find(slot);
            return found != entry.authority.end() && found->second > now_;
        });
    }

private:
    static constexpr std::size_t EntryCount = 5;

    void changeLeader()
    {
        leader_ = random_() % controls_.size();
        controls_.at(*leader_).reset(now_, ++term_);
    }

    void releaseAll(SimulatedEntry &entry)
    {
        for (const auto &[slot, expiresAt] : std::exchange(entry.authority, {})) {
            if (expiresAt > now_) {
                entry.unconfirmedReleases.insert(slot);
            }
        }
    }

    /// Delivers \p action after a random delay, sometimes never or twice.
    void send(const std::function<void()> &action)
    {
        for (std::uint64_t copies = random_() % 20 == 0 ? random_() % 3 : 1; copies > 0; --copies) {
            const auto limit = static_cast<std::uint64_t>(maxDelay_ / 1ms);
            const std::uint64_t delay = random_() % 2 == 0 ? random_() % limit : random_() % 10;
            messages_.emplace(now_ + std::chrono::milliseconds(delay), action);
        }
    }

    void sendReport(SimulatedEntry &entry)
    {
        EntryReport report;
        report.zone = entry.zone;
        report.runId = entry.runId;
        report.sequence = entry.sent.size() + 1;
        report.isLeaving = entry.isLeaving;
        if (entry.isLeaving) {
            releaseAll(entry);
        }
        report.coordinators.tableVersion = entry.tableVersion;
        for (const auto &[slot, expiresAt] : entry.authority) {
            if (expiresAt > now_) {
                report.coordinators.held.push_back(slot);
            }
        }
        for (const std::uint32_t slot : entry.unconfirmedReleases) {
            report.coordinators.released.push_back(slot);
            entry.lastRelease[slot] = report.sequence;
        }
        entry.sent.push_back({ now_, report });
        const std::size_t target = leader_.value_or(0);
        send([this, &entry, report, target]() {
            if (leader_ != target) {
                return;
            }
            CoordinatorSlots &control = controls_.at(target);
            control.recordReport(now_, entry.vm, report);
            control.assign(now_, true);
            const CoordinatorUpdate update = control.respond(now_, entry.vm, report.runId);
            send([this, &entry, update, sequence = report.sequence, runId = report.runId]() {
                if (entry.runId == runId) {
                    entry.receive(now_, sequence, update);
                }
            });
        });
    }

    std::mt19937_64 random_;
    Instant now_ { 100s };
    EventLog log_ { [](std::string_view) {} };
    Metrics metrics_;
    std::array<CoordinatorSlots, 2> controls_ { CoordinatorSlots(log_, metrics_, {}),
        CoordinatorSlots(log_, metrics_, {}) };
    std::optional<std::size_t> leader_;
    Instant nextLeaderAt_ {};
    Term term_ = 0;
    Duration maxDelay_;
    std::uint64_t lastRun_ = 0;
    std::array<SimulatedEntry, EntryCount> entries_;
    std::multimap<Instant, std::function<void()>> messages_;
};

} // namespace

TEST_GROUP(CoordinatorSlotsProperty) {};

// Two coordinators of one slot would together grant twice the rate limit.
TEST(CoordinatorSlotsProperty, NoTwoEntriesHaveAuthorityForOneSlot)
{
    CHECK(rc::check([](std::uint64_t seed, const std::vector<std::pair<std::uint8_t, std::uint8_t>> &faults) {
        Simulation simulation(seed);
        simulation.run(2500ms);
        for (const auto &[kind, entry] : faults) {
            simulation.apply({ kind, entry });
            simulation.run(std::chrono::milliseconds((kind / 6) * 40));
        }
        simulation.endFaults();
        simulation.run(4s);
        for (std::uint32_t slot = 0; slot < CoordinatorSlotCount; ++slot) {
            RC_ASSERT(simulation.holders(slot) == 1);
        }
    }));
}
