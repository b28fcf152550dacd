#pragma once
// Rolls named weights out to engines, one holder of the role at a time.

#include "weights/EngineApi.h"
#include "weights/OrderRole.h"
#include "weights/RolloutPlan.h"
#include "weights/WeightsRollout.h"
