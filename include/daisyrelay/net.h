// Public header of the net library, which connects the decision cores to threads and sockets and runs them as a daemon.
#pragma once

#include "daisyrelay/io.h"
#include "daisyrelay/net/daemon.h"
#include "daisyrelay/net/eventloopthread.h"
