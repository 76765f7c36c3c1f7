// The backend servers that the control leader heard of.
#pragma once

#include "daisyrelay/wire.h"

#include <map>
#include <vector>

namespace daisyrelay {

/// A backend server and when it was heard.
struct KnownBackend {
    BackendAnnouncement announcement;
    Instant lastSeenAt {};
    Instant firstSeenAt {};
    Instant followSentAt {};
};

/// The newest announcement of each backend server.
class KnownBackends
{
public:
    /// \returns whether the server is new or changed what its shares depend on.
    bool recordAnnouncement(Instant now, const BackendAnnouncement &announcement);

    [[nodiscard]] const KnownBackend *find(const BackendId &backend) const;
    [[nodiscard]] KnownBackend *find(const BackendId &backend);
    [[nodiscard]] std::vector<const KnownBackend *> ofGroup(const GroupKey &group) const;
    [[nodiscard]] const std::map<BackendId, KnownBackend> &all() const;
    [[nodiscard]] const std::map<GroupKey, std::vector<BackendId>> &groups() const;

    /// Returns how long nobody heard \p backend, counted from \p since at the earliest.
    [[nodiscard]] Duration silenceOf(Instant now, const BackendId &backend, Instant since) const;

private:
    std::map<BackendId, KnownBackend> backends_;
    std::map<GroupKey, std::vector<BackendId>> groups_;
};

} // namespace daisyrelay
