#pragma once
// HTTP endpoint that exports the metrics of an instance to Prometheus.

#include "base/Base.h"

#include <memory>
#include <prometheus/exposer.h>
#include <prometheus/registry.h>

namespace dragonfly::daemon {

class MetricsEndpoint {
public:
    /// Listens on @p address and prints the bound address to standard output. Fails when the address is in use.
    Status start(const Endpoint& address, const std::shared_ptr<prometheus::Registry>& registry);

private:
    std::unique_ptr<prometheus::Exposer> exposer;
};

}
