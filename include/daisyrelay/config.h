// Public header of the config library: the configuration that operators change and the settings of one process.
#pragma once

#include "daisyrelay/config/configuration.h"
#include "daisyrelay/config/configurationcodec.h"
#include "daisyrelay/config/nodesettings.h"
#include "daisyrelay/config/settings.h"
