// Public header of the control library: configuration changes, leases of entries, terms and promotions.
#pragma once

#include "daisyrelay/control/configoutcome.h"
#include "daisyrelay/control/controlactions.h"
#include "daisyrelay/control/controlcore.h"
#include "daisyrelay/control/controlstate.h"
#include "daisyrelay/control/controltiming.h"
#include "daisyrelay/control/entrysessions.h"
#include "daisyrelay/control/failuredetector.h"
#include "daisyrelay/control/groupfailover.h"
#include "daisyrelay/control/groupmembermanager.h"
#include "daisyrelay/control/groupmembers.h"
#include "daisyrelay/control/homeassigner.h"
#include "daisyrelay/control/knownbackends.h"
#include "daisyrelay/control/leaseholder.h"
#include "daisyrelay/control/leasetables.h"
#include "daisyrelay/control/shareledger.h"
