// Public header of the admission library: load of the homes, order of waiting statements, admission by class.
#pragma once

#include "daisyrelay/admission/admissionqueue.h"
#include "daisyrelay/admission/classadmission.h"
#include "daisyrelay/admission/homeloads.h"
