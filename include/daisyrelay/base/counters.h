// Named event counters that any thread may increment. Each error kind and each retry reason has a counter.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace daisyrelay {

/// A thread-safe registry of monotonically increasing counters.
class Counters
{
public:
    /// Adds \p amount to the counter \p name, which is created on first use.
    void add(std::string_view name, std::uint64_t amount = 1);

    /// Returns the value of the counter \p name, or zero if it does not exist.
    [[nodiscard]] std::uint64_t value(std::string_view name) const;

    /// Returns a copy of all counters, ordered by name.
    [[nodiscard]] std::map<std::string, std::uint64_t> snapshot() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t, std::less<>> values_;
};

} // namespace daisyrelay
