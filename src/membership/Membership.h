#pragma once
// What instances share: the configuration in force, who is there, and the state of targets.

#include "membership/ConfigKeeper.h"
#include "membership/Fleet.h"
#include "membership/PlacementExchange.h"
#include "membership/PlatformSync.h"
#include "membership/Prober.h"
#include "membership/ZmqTransport.h"
