// Public header of the wire library: messages between the processes of the system, and their codec.
#pragma once

#include "daisyrelay/wire/backendannouncement.h"
#include "daisyrelay/wire/backendrecord.h"
#include "daisyrelay/wire/clustermessages.h"
#include "daisyrelay/wire/codec.h"
#include "daisyrelay/wire/configurationchange.h"
#include "daisyrelay/wire/controlmessages.h"
#include "daisyrelay/wire/gossipmessage.h"
#include "daisyrelay/wire/leasemessages.h"
#include "daisyrelay/wire/memberrecord.h"
#include "daisyrelay/wire/peermessage.h"
#include "daisyrelay/wire/raftmessages.h"
#include "daisyrelay/wire/raftstate.h"
#include "daisyrelay/wire/routeconfiguration.h"
#include "daisyrelay/wire/sessionstatement.h"
#include "daisyrelay/wire/statement.h"
#include "daisyrelay/wire/supervisionsnapshot.h"
