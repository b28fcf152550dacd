#include "daemon/MetricsEndpoint.h"

#include <iostream>

namespace dragonfly::daemon {

Status MetricsEndpoint::start(const Endpoint& at, const std::shared_ptr<prometheus::Registry>& registry)
{
    try {
        this->exposer = std::make_unique<prometheus::Exposer>(at.toString(), 1);
    } catch (const std::exception& failure) {
        return Error { ErrorKind::Internal, "cannot listen on " + at.toString() + ": " + failure.what(),
            Execution::NotRun, {} };
    }
    this->exposer->RegisterCollectable(registry);
    std::cout << "metrics " << at.host << ":" << this->exposer->GetListeningPorts().front() << std::endl;
    return Success {};
}

}
