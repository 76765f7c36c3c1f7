#include "daisyrelay/proxy/sentreports.h"

#include <algorithm>

namespace daisyrelay {

void SentReports::record(Instant now, std::uint64_t sequence)
{
    constexpr std::size_t MaxReports = 64;
    reports_.push_back({ sequence, now });
    if (reports_.size() > MaxReports) {
        reports_.pop_front();
    }
}

std::optional<Instant> SentReports::sentAt(std::uint64_t sequence) const
{
    const auto report = std::find_if(
        reports_.begin(), reports_.end(), [sequence](const Report &sent) { return sent.sequence == sequence; });
    return report == reports_.end() ? std::nullopt : std::optional(report->sentAt);
}

} // namespace daisyrelay
