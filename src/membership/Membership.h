#pragma once
// Umbrella header: configuration in force, membership of the fleet, and state of targets shared between instances.

#include "membership/ConfigKeeper.h"
#include "membership/Fleet.h"
#include "membership/PlacementExchange.h"
#include "membership/PlatformSync.h"
#include "membership/Prober.h"
#include "membership/ZmqTransport.h"
