// Orders the announcements of backend servers that arrive through different VMs.
#pragma once

#include "daisyrelay/wire.h"

#include <map>

namespace daisyrelay {

/// The newest announcement of each backend server.
class AnnouncementDirectory
{
public:
    /// Takes in an announcement heard from the server itself. \returns it with the version to spread it under.
    BackendAnnouncement hear(Instant now, BackendAnnouncement announcement);

    /// Takes in an announcement spread by another VM. \returns whether it was news.
    bool merge(Instant now, const BackendAnnouncement &announcement);

private:
    std::map<BackendId, BackendAnnouncement> newest_;
};

} // namespace daisyrelay
