// Public header of the limits library: scarce connections, queues and admission.
#pragma once

#include "daisyrelay/limits/connectionpool.h"
