#include "daisyrelay/membership/servicedigests.h"

#include "stablehash.h"

#include <algorithm>
#include <set>

namespace daisyrelay {

static constexpr std::size_t MaxDigests = 512;
static constexpr Duration DigestLifetime = std::chrono::minutes(2);

void ServiceDigests::summarize(
    Instant now, const std::string &region, const std::vector<BackendAnnouncement> &announcements)
{
    std::map<ServiceId, ServiceDigest> digests;
    std::map<ServiceId, std::set<GroupId>> groups;
    for (const BackendAnnouncement &announcement : announcements) {
        ServiceDigest &digest = digests[announcement.group.service];
        groups[announcement.group.service].insert(announcement.group.group);
        ++digest.databases;
        digest.leaving += announcement.isLeaving ? 1 : 0;
        digest.hash ^= StableHash().add(announcement.id.value).add(announcement.generation).value();
    }
    for (auto &[service, digest] : digests) {
        digest.region = region;
        digest.service = service;
        digest.groups = static_cast<std::uint32_t>(groups[service].size());
        known_[{ region, service }] = { digest, now };
    }
}

void ServiceDigests::merge(Instant now, const ServiceDigest &digest)
{
    const Instant createdAt = now - std::chrono::milliseconds(digest.ageMs);
    const auto found = known_.find({ digest.region, digest.service });
    if (found == known_.end() && (known_.size() >= MaxDigests || createdAt + DigestLifetime <= now)) {
        return;
    }
    if (found == known_.end() || found->second.createdAt < createdAt) {
        known_[{ digest.region, digest.service }] = { digest, createdAt };
    }
}

void ServiceDigests::expire(Instant now)
{
    std::erase_if(known_, [now](const auto &entry) { return entry.second.createdAt + DigestLifetime <= now; });
}

ServiceDigest ServiceDigests::withCurrentAge(Instant now, const Known &known)
{
    ServiceDigest digest = known.digest;
    digest.ageMs = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - known.createdAt).count());
    return digest;
}

std::optional<ServiceDigest> ServiceDigests::next(Instant now)
{
    if (known_.empty()) {
        return std::nullopt;
    }
    auto nextDigest = known_.upper_bound(lastSent_);
    if (nextDigest == known_.end()) {
        nextDigest = known_.begin();
    }
    lastSent_ = nextDigest->first;
    return withCurrentAge(now, nextDigest->second);
}

std::vector<ServiceDigest> ServiceDigests::all(Instant now) const
{
    std::vector<ServiceDigest> result;
    result.reserve(known_.size());
    for (const auto &[key, known] : known_) {
        result.push_back(withCurrentAge(now, known));
    }
    return result;
}

} // namespace daisyrelay
