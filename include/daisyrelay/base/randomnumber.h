// Random numbers from the operating system.
#pragma once

#include <cstdint>

namespace daisyrelay {

/// Returns 64 random bits from the operating system, for seeds that must not repeat after a restart.
std::uint64_t drawRandomNumber();

} // namespace daisyrelay
