#pragma once
// Keeps requests from targets that are leaving or that have asked for time.

#include "backoff/SendGate.h"
