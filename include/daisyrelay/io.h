// Public header of the io library: HTTP clients and servers, files, and the driver of the consensus core.
#pragma once

#include "daisyrelay/io/httpconnection.h"
#include "daisyrelay/io/httpserver.h"
#include "daisyrelay/io/httptypes.h"
#include "daisyrelay/io/listen.h"
#include "daisyrelay/io/posixfilesystem.h"
#include "daisyrelay/io/raftdriver.h"
