// Public header of the storage library, which stores the consensus state of a control VM.
#pragma once

#include "daisyrelay/storage/filesystem.h"
#include "daisyrelay/storage/raftstorage.h"
#include "daisyrelay/storage/recordframe.h"
