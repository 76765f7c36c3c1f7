// Public header of the standin library: a small replicated database that simulates backend servers in tests.
#pragma once

#include "daisyrelay/standin/database.h"
#include "daisyrelay/standin/server.h"
