#pragma once
// Serves the metrics of one instance to whoever collects them.

#include "base/Base.h"

#include <memory>
#include <prometheus/exposer.h>
#include <prometheus/registry.h>

namespace dragonfly::daemon {

class MetricsEndpoint {
public:
    /// Listens at @p at and prints the real address on standard output. An error when the address is taken.
    Status start(const Endpoint& at, const std::shared_ptr<prometheus::Registry>& registry);

private:
    std::unique_ptr<prometheus::Exposer> exposer;
};

}
