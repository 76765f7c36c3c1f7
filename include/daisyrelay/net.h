// Public header of the net library: threads, sockets and the processes built on the decision cores.
#pragma once

#include "daisyrelay/io.h"
#include "daisyrelay/net/daemon.h"
#include "daisyrelay/net/duty.h"
