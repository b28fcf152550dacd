#pragma once
// Forwards requests as they came: callers describe them in headers, and targets receive the same bytes.

#include "forward/Dialect.h"
#include "forward/ForwardCall.h"
#include "forward/Forwarder.h"
#include "forward/RetryWindow.h"
