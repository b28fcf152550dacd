#pragma once
// Umbrella header of the weights module, which rolls out wanted weights to engines from one leader at a time.

#include "weights/EngineApi.h"
#include "weights/LeaderLease.h"
#include "weights/RolloutPlan.h"
#include "weights/WeightsRollout.h"
