#pragma once
// Umbrella header of the claims module, which runs each non-idempotent call at most once.

#include "claims/ClaimLedger.h"
#include "claims/ClaimRules.h"
