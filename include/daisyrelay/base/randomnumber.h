// Numbers that differ at each start of a process.
#pragma once

#include <cstdint>

namespace daisyrelay {

/// Draws 64 random bits from the system; seeds what must not repeat after a restart.
std::uint64_t drawRandomNumber();

} // namespace daisyrelay
