// Public header of the net library: threads, sockets and the processes built on the decision cores.
#pragma once

#include "daisyrelay/net/daemon.h"
#include "daisyrelay/net/duty.h"
#include "daisyrelay/net/httpconnection.h"
#include "daisyrelay/net/httpserver.h"
#include "daisyrelay/net/httptypes.h"
#include "daisyrelay/net/posixfilesystem.h"
