#pragma once
// Instances of a data centre learn of the platform's records from one of them, so that calls to the platform
// do not grow with the number of instances. Each goes to the platform itself where no peer can be relied on.

#include "relay/InstanceRegistry.h"
#include "relay/PeerRanking.h"
#include "relay/RecordRelay.h"
#include "relay/RelayedSource.h"
