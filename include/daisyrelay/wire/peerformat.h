// Negotiates the format version of the messages on one connection between two VMs.
#pragma once

#include "daisyrelay/wire/formatversion.h"

#include <deque>

namespace daisyrelay {

/// Both sides of a connection announce their versions in its first message. A peer whose first message is no
/// announcement runs a build that announces none; which of these it is can be told only from its updates. No update is
/// sent to such a peer before, because a build closes the connection on a message that it cannot decode.
class PeerFormat
{
public:
    explicit PeerFormat(FormatRange own = {});

    /// A received message, or nothing to handle if \c payload has no value.
    struct Received {
        VmId from;
        std::optional<ClusterPayload> payload;
        std::size_t skippedFields = 0;
        bool isUnknownKind = false;
        bool isAmbiguous = false; ///< An update that two versions decode differently, and that must not be used.
    };

    /// Decodes the next message of the peer.
    /// \returns ErrorKind::BadRequest if the connection must be closed: the message is malformed, there is no common
    /// version, or the peer announces another range than before.
    Expected<Received> receive(std::string_view bytes);

    /// Returns the announcement, which must be sent as the first message.
    [[nodiscard]] std::string announcement(const VmId &self) const;

    /// Returns the encoded messages to send now: \p payload, or a request that lets the peer show its version while
    /// \p payload is held back.
    std::vector<std::string> send(const VmId &self, ClusterPayload payload);

    /// Returns the messages that were held back, once the version of the peer is known.
    std::vector<std::string> takeHeldBack(const VmId &self);

    /// Returns the version of messages to the peer; no value while it is unknown.
    [[nodiscard]] std::optional<FormatVersion> version() const;

    /// Returns the range that the peer announced; no value if it announced none.
    [[nodiscard]] const std::optional<FormatRange> &peerRange() const;

    /// Tells whether a message of the peer has arrived, so that peerRange() is final.
    [[nodiscard]] bool isPeerKnown() const;

private:
    Expected<Received> receiveUnannounced(std::string_view bytes);
    Expected<void> recordAnnouncement(const FormatRange &range);

    /// Only the latest updates matter; each of them replaces most of what the former ones contain.
    static constexpr std::size_t MaxHeldBack = 8;

    FormatRange own_;
    std::optional<FormatRange> peer_;
    std::optional<FormatVersion> version_;
    bool hasReceived_ = false;
    bool isVersionRequested_ = false;
    std::deque<ClusterPayload> heldBack_;
};

} // namespace daisyrelay
