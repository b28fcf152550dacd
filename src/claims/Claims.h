#pragma once
// At most one run of each non-idempotent call, whatever fails: the rules and the ledger.

#include "claims/ClaimLedger.h"
#include "claims/ClaimRules.h"
