// Public header of the supervision library: the decisions of the control leader for databases that are addressed by
// name.
#pragma once

#include "daisyrelay/supervision/configurationupdates.h"
#include "daisyrelay/supervision/coordinatorslots.h"
#include "daisyrelay/supervision/failoverforecast.h"
#include "daisyrelay/supervision/formatactivation.h"
#include "daisyrelay/supervision/heartbeatresponder.h"
#include "daisyrelay/supervision/leaseholdertable.h"
#include "daisyrelay/supervision/leaseledger.h"
#include "daisyrelay/supervision/leaseregistrar.h"
#include "daisyrelay/supervision/supervisionactions.h"
#include "daisyrelay/supervision/supervisionstate.h"
#include "daisyrelay/supervision/supervisiontiming.h"
#include "daisyrelay/supervision/supervisor.h"
