#pragma once
// Logs, metrics and traces.

#include "observe/Log.h"
#include "observe/Metrics.h"
#include "observe/ServerMetrics.h"
#include "observe/Trace.h"
