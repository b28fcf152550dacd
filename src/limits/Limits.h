#pragma once
// Keeps the requests that all instances together send to a target within the limit that the target names.

#include "limits/RequestLimits.h"
