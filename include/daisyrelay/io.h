// Public header of the io library: HTTP on one thread, files, and the driver of the consensus.
#pragma once

#include "daisyrelay/io/httpconnection.h"
#include "daisyrelay/io/httpserver.h"
#include "daisyrelay/io/httptypes.h"
#include "daisyrelay/io/listen.h"
#include "daisyrelay/io/posixfilesystem.h"
#include "daisyrelay/io/raftdriver.h"
