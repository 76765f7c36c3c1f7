// Who keeps a former primary from being used after a promotion.
#pragma once

#include <cstdint>

namespace daisyrelay {

enum class FencingPolicy : std::uint8_t {
    Platform, ///< A backend server loses the primary role at the moment another one is promoted, and the platform
              ///< rejects promotions with an old fencing token.
    Leases, ///< A former primary goes on. Entries use a primary only under a lease from control, which waits for the
            ///< release or the end of all leases before it promotes another server.
};

} // namespace daisyrelay
