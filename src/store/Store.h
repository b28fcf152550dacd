#pragma once
// Interfaces and clients of the platform's key-value service.

#include "store/GatewayStore.h"
#include "store/HttpTransport.h"
#include "store/KeyValueStore.h"
