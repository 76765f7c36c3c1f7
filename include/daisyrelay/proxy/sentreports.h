// When the recent reports to control were sent.
#pragma once

#include "daisyrelay/base.h"

#include <deque>
#include <optional>

namespace daisyrelay {

/// Leases that control grants in response to a report count from the sending of that report, which is before control
/// knew anything of it.
class SentReports
{
public:
    void record(Instant now, std::uint64_t sequence);

    /// Returns when report \p sequence was sent, or nothing if it is unknown or too old.
    [[nodiscard]] std::optional<Instant> sentAt(std::uint64_t sequence) const;

private:
    struct Report {
        std::uint64_t sequence = 0;
        Instant sentAt {};
    };

    std::deque<Report> reports_; ///< Oldest first.
};

} // namespace daisyrelay
