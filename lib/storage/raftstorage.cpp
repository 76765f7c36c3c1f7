#include "daisyrelay/storage/raftstorage.h"
