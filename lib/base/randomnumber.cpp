#include "daisyrelay/base/randomnumber.h"

#include <random>

namespace daisyrelay {

std::uint64_t drawRandomNumber()
{
    std::random_device device;
    constexpr unsigned BitsPerDraw = 32;
    return (std::uint64_t { device() } << BitsPerDraw) | device();
}

} // namespace daisyrelay
