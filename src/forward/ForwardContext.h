#pragma once
// What all forwarded requests of one instance share. Lives in the thread of the event loop.

#include "directory/Directory.h"
#include "entry/TargetLoad.h"
#include "forward/Dialect.h"
#include "forward/RetryWindow.h"
#include "http/Http.h"
#include "observe/Observe.h"
#include "routing/Routing.h"

namespace dragonfly::forward {

struct ForwardSettings {
    std::string instance;
    routing::Place place;
    std::map<std::string, std::string> regions; ///< data centre to region
    routing::Policy policy;
    RetryBudgetLimits retryBudget;
    std::chrono::milliseconds weightsTime { 15000 }; ///< replaced weights may answer for this long
    size_t prefixSlots = 1u << 14;
};

struct ForwardContext {
    ForwardContext(const ForwardSettings& settings, directory::Directory& directory, const Dialect& dialect,
        observe::Metrics& metrics)
        : settings(settings)
        , directory(directory)
        , dialect(dialect)
        , metrics(metrics)
        , memory(settings.prefixSlots)
    {
    }

    RetryWindow& retriesOf(const std::string& service)
    {
        return this->retryWindows.try_emplace(service, this->settings.retryBudget).first->second;
    }

    const ForwardSettings& settings;
    directory::Directory& directory;
    const Dialect& dialect;
    observe::Metrics& metrics;
    routing::PrefixMemory memory;
    http::ClientPool targets;
    QObject loop; ///< receives deferred calls, and drops them when the context goes
    int activeRequests = 0;

private:
    std::map<std::string, RetryWindow> retryWindows; ///< by service
};

}
