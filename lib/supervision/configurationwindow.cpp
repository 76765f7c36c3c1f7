#include "daisyrelay/supervision/configurationwindow.h"

#include <algorithm>

namespace daisyrelay {

/// A quarter of the memory that control may use.
static constexpr std::size_t MaxSize = std::size_t { 8 } * 1024 * 1024;
/// An entry whose connection was lost gets the configuration after this time at the latest.
static constexpr Duration MaxRetryInterval = std::chrono::seconds(8);

bool ConfigurationWindow::isInFlight(Instant now, const VmId &entry) const
{
    const auto found = inFlight_.find(entry);
    return found != inFlight_.end() && now - found->second.sentAt <= retryInterval_;
}

bool ConfigurationWindow::hasRoomFor(std::size_t bytes) const
{
    return inFlight_.empty() || bytes_ + bytes <= size_;
}

void ConfigurationWindow::onSent(Instant now, const VmId &entry, std::size_t bytes)
{
    remove(entry);
    inFlight_[entry] = { bytes, now };
    bytes_ += bytes;
}

void ConfigurationWindow::onConfirmed(Instant now, const VmId &entry)
{
    const auto found = inFlight_.find(entry);
    if (found == inFlight_.end()) {
        return;
    }
    const Duration taken = now - found->second.sentAt;
    constexpr int DecayDivisor = 32;
    retryInterval_ = std::clamp(
        std::max(2 * taken, retryInterval_ - retryInterval_ / DecayDivisor), MinRetryInterval, MaxRetryInterval);
    const std::size_t bytes = found->second.bytes;
    size_ = taken <= MinRetryInterval ? std::min(size_ + bytes, MaxSize)
                                      : std::max(size_ - std::min(size_, bytes), MinSize);
    remove(entry);
}

void ConfigurationWindow::removeExpired(Instant now)
{
    std::erase_if(inFlight_, [this, now](const auto &sent) {
        const bool isExpired = now - sent.second.sentAt > retryInterval_;
        bytes_ -= isExpired ? sent.second.bytes : 0;
        return isExpired;
    });
}

void ConfigurationWindow::reset()
{
    inFlight_.clear();
    bytes_ = 0;
    size_ = MinSize;
    retryInterval_ = MinRetryInterval;
}

void ConfigurationWindow::remove(const VmId &entry)
{
    if (const auto found = inFlight_.find(entry); found != inFlight_.end()) {
        bytes_ -= found->second.bytes;
        inFlight_.erase(found);
    }
}

} // namespace daisyrelay
