#include "daisyrelay/membership/announcementdirectory.h"

namespace daisyrelay {

BackendAnnouncement AnnouncementDirectory::hear(Instant /*now*/, BackendAnnouncement announcement)
{
    BackendAnnouncement &known = newest_[announcement.id];
    announcement.version = known.version + 1;
    known = announcement;
    return announcement;
}

bool AnnouncementDirectory::merge(Instant /*now*/, const BackendAnnouncement &announcement)
{
    BackendAnnouncement &known = newest_[announcement.id];
    if (announcement.version <= known.version) {
        return false;
    }
    known = announcement;
    return true;
}

} // namespace daisyrelay
