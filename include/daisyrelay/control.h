// Public header of the control library: configuration changes, leases of entries, terms and promotions.
#pragma once

#include "daisyrelay/control/configoutcome.h"
#include "daisyrelay/control/controlactions.h"
#include "daisyrelay/control/controlcore.h"
#include "daisyrelay/control/controlstate.h"
#include "daisyrelay/control/groupmembers.h"
#include "daisyrelay/control/leaseholder.h"
