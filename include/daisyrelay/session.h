// Public header of the session library: the token that carries a session's positions from a response to later requests.
#pragma once

#include "daisyrelay/session/sessiontoken.h"
#include "daisyrelay/session/tokencodec.h"
