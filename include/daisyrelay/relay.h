// Public header of the relay library: processes a request from the caller to a database and back.
#pragma once

#include "daisyrelay/relay/relayactions.h"
#include "daisyrelay/relay/relaycore.h"
