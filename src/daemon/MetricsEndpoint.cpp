#include "daemon/MetricsEndpoint.h"

#include <iostream>

namespace dragonfly::daemon {

Status MetricsEndpoint::start(const Endpoint& address, const std::shared_ptr<prometheus::Registry>& registry)
{
    try {
        this->exposer = std::make_unique<prometheus::Exposer>(address.toString(), 1);
    } catch (const std::exception& failure) {
        return Error { ErrorKind::Internal, "cannot listen on " + address.toString() + ": " + failure.what(),
            Execution::NotRun, {} };
    }
    this->exposer->RegisterCollectable(registry);
    std::cout << "metrics " << address.host << ":" << this->exposer->GetListeningPorts().front() << std::endl;
    return Success {};
}

}
