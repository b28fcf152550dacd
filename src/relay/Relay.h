#pragma once
// Relays the platform's records within a data centre: one instance queries the platform's service and the others
// follow it, so that the number of calls to the platform does not grow with the number of instances. An instance
// without a reliable peer queries the service itself.

#include "relay/InstanceRegistry.h"
#include "relay/PeerRanking.h"
#include "relay/PeerRecord.h"
#include "relay/RecordRelay.h"
#include "relay/RelayedSource.h"
