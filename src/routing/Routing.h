#pragma once
// Where a request goes: the view of the configuration, what is believed about targets, and the choice.

#include "routing/Candidates.h"
#include "routing/Placement.h"
#include "routing/Policy.h"
#include "routing/PrefixChain.h"
#include "routing/PrefixMemory.h"
#include "routing/TargetState.h"
#include "routing/View.h"
