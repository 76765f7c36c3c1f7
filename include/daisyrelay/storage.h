// Public header of the storage library: the durable state of a control VM.
#pragma once

#include "daisyrelay/storage/raftstorage.h"
