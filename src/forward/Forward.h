#pragma once
// Umbrella header of the forwarding proxy. Callers put metadata into headers; targets receive the body unchanged.

#include "forward/Dialect.h"
#include "forward/ForwardCall.h"
#include "forward/Forwarder.h"
#include "forward/RetryWindow.h"
