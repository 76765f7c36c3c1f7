// Public header of the standin library: a small replicated database for trials and tests.
#pragma once

#include "daisyrelay/standin/database.h"
#include "daisyrelay/standin/server.h"
