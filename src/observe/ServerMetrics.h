#pragma once
// Metrics and log lines about the requests that a server receives and does not answer.

#include "http/Server.h"
#include "observe/Metrics.h"

namespace dragonfly::observe {

using RequestIdReader = std::function<std::string(const http::Request&)>;

/// Counts the requests of a server in @p metrics, which must outlive it. @p requestId gives the id for log lines.
http::RequestObserver requestObserver(Metrics& metrics, RequestIdReader requestId);

}
