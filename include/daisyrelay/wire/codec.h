// Encodes messages as bytes and decodes bytes of unknown origin.
#pragma once

#include "daisyrelay/wire/peermessage.h"

#include <string>
#include <string_view>

namespace daisyrelay {

/// The largest message that a VM accepts from another, in bytes.
constexpr std::size_t MaxPeerMessageBytes = 4 * 1024 * 1024;

std::string encodePeerMessage(const PeerMessage &message);

/// \returns ErrorKind::BadRequest if \p bytes are not one whole message.
Expected<PeerMessage> decodePeerMessage(std::string_view bytes);

std::string encodeControlCommand(const ControlCommand &command);

/// \returns ErrorKind::BadRequest if \p bytes are not one whole command.
Expected<ControlCommand> decodeControlCommand(std::string_view bytes);

/// The largest snapshot or log record that is stored or sent, in bytes.
constexpr std::size_t MaxStoredValueBytes = 64 * 1024 * 1024;

std::string encodeMembership(const Membership &membership);
Expected<Membership> decodeMembership(std::string_view bytes);

std::string encodeRaftSnapshot(const RaftSnapshot &snapshot);
Expected<RaftSnapshot> decodeRaftSnapshot(std::string_view bytes);

std::string encodeLogRecord(const LogRecord &record);
Expected<LogRecord> decodeLogRecord(std::string_view bytes);

/// The largest datagram of the membership protocol with its authentication tag, in bytes.
constexpr std::size_t MaxDatagramBytes = 1400;

std::string encodeGossipMessage(const GossipMessage &message);

/// \returns ErrorKind::BadRequest if \p bytes are not one whole message.
Expected<GossipMessage> decodeGossipMessage(std::string_view bytes);

/// Returns the bytes that a value takes within a message.
std::size_t encodedSize(const MemberRecord &record);
std::size_t encodedSize(const BackendAnnouncement &announcement);
std::size_t encodedSize(const PositionUpdate &pulse);
std::size_t encodedSize(const ServiceDigest &digest);

} // namespace daisyrelay
