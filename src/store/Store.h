#pragma once
// What the platform gives: its key-value service and the list of targets kept in it.

#include "store/GatewayStore.h"
#include "store/HttpTransport.h"
#include "store/KeyValueStore.h"
