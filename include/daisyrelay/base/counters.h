// Named event counters that any thread may raise. Every refusal and every retry reason has one.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace daisyrelay {

/// A registry of monotonically increasing counters, safe for use from several threads.
class Counters
{
public:
    /// Raises the counter called \p name, which is created at its first use.
    void add(std::string_view name, std::uint64_t amount = 1);

    /// Returns the value of \p name, or zero if it was never raised.
    [[nodiscard]] std::uint64_t value(std::string_view name) const;

    /// Returns a copy of all counters ordered by name.
    [[nodiscard]] std::map<std::string, std::uint64_t> snapshot() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t, std::less<>> values_;
};

} // namespace daisyrelay
