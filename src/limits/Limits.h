#pragma once
// Keeps the requests that all instances together send to a target, and those that it refuses, within the limits that
// the target names.

#include "limits/BrittleTargets.h"
#include "limits/RequestLimits.h"
