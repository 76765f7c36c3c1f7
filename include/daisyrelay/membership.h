// Public header of the membership library: which VMs and backend servers are there.
#pragma once

#include "daisyrelay/membership/announcementdirectory.h"
