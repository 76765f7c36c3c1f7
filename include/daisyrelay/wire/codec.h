// Encodes messages and decodes untrusted bytes. A decoder rejects bytes that are not exactly one encoded value.
#pragma once

#include "daisyrelay/wire/peermessage.h"

#include <string>
#include <string_view>

namespace daisyrelay {

/// Maximum size of a message that a VM accepts from another VM, in bytes.
constexpr std::size_t MaxPeerMessageBytes = 4 * 1024 * 1024;

std::string encodePeerMessage(const PeerMessage &message);

/// \returns ErrorKind::BadRequest if \p bytes are not exactly one message.
Expected<PeerMessage> decodePeerMessage(std::string_view bytes);

std::string encodeControlCommand(const ControlCommand &command);

/// \returns ErrorKind::BadRequest if \p bytes are not exactly one command.
Expected<ControlCommand> decodeControlCommand(std::string_view bytes);

/// Maximum size of a snapshot or log record that is stored or sent, in bytes.
constexpr std::size_t MaxStoredValueBytes = 64 * 1024 * 1024;

std::string encodeMembership(const Membership &membership);
Expected<Membership> decodeMembership(std::string_view bytes);

std::string encodeRaftSnapshot(const RaftSnapshot &snapshot);
Expected<RaftSnapshot> decodeRaftSnapshot(std::string_view bytes);

std::string encodeLogRecord(const LogRecord &record);
Expected<LogRecord> decodeLogRecord(std::string_view bytes);

/// Maximum size of a membership protocol datagram including its authentication tag, in bytes.
constexpr std::size_t MaxDatagramBytes = 1400;

std::string encodeGossipMessage(const GossipMessage &message);

/// \returns ErrorKind::BadRequest if \p bytes are not exactly one message.
Expected<GossipMessage> decodeGossipMessage(std::string_view bytes);

// Return the encoded size of a value within a message, in bytes.
std::size_t encodedSize(const MemberRecord &record);
std::size_t encodedSize(const BackendAnnouncement &announcement);
std::size_t encodedSize(const PositionUpdate &update);
std::size_t encodedSize(const ServiceDigest &digest);

} // namespace daisyrelay
