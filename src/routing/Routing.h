#pragma once
// Umbrella header of routing: the view of the configuration, the estimated state of targets, and the choice of a
// target.

#include "routing/Candidates.h"
#include "routing/Placement.h"
#include "routing/Policy.h"
#include "routing/PrefixChain.h"
#include "routing/PrefixIndex.h"
#include "routing/TargetState.h"
#include "routing/View.h"
