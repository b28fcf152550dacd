#pragma once
// State shared by all forwarded requests of one instance. Used only from the thread of the event loop.

#include "backoff/Backoff.h"
#include "base/BufferBudget.h"
#include "directory/Directory.h"
#include "entry/TargetLoad.h"
#include "forward/Dialect.h"
#include "forward/RetryWindow.h"
#include "forward/StopTimes.h"
#include "http/Http.h"
#include "observe/LogRateLimiter.h"
#include "observe/Observe.h"
#include "paths/TargetPaths.h"
#include "quarantine/Quarantine.h"
#include "routing/Routing.h"
#include "streams/StreamOrigins.h"

#include <set>
#include <unordered_set>

namespace dragonfly::forward {

struct ForwardSettings {
    std::string instance;
    routing::Place place;
    std::map<std::string, std::string> regions; ///< region of each data centre
    routing::Policy policy;
    RetryBudgetLimits retryBudget;
    std::chrono::milliseconds replacedWeightsTtl { 15000 }; ///< how long replaced weights may still answer
    size_t prefixSlots = 1u << 14; ///< capacity of the prefix index
    size_t bufferBytes = 64u << 20; ///< limit on what is buffered of all answers together
};

/// Retry-After of a request that an instance did not send because it stops. Short, because the retry reaches another
/// instance.
inline constexpr std::chrono::milliseconds retryAfterStop { 50 };

class ForwardCall;

struct ForwardContext {
    ForwardContext(const ForwardSettings& settings, directory::Directory& directory, const Dialect& dialect,
        observe::Metrics& metrics, quarantine::PromptQuarantine& quarantine, limits::RequestLimits& limits,
        backoff::SendGate& gate, streams::StreamOrigins& origins)
        : settings(settings)
        , directory(directory)
        , dialect(dialect)
        , metrics(metrics)
        , quarantine(quarantine)
        , limits(limits)
        , gate(gate)
        , origins(origins)
        , prefixIndex(settings.prefixSlots)
        , buffers(settings.bufferBytes)
    {
    }

    /// The retry budget of @p service, created on first use.
    RetryWindow& retryWindowOf(const std::string& service)
    {
        return this->retryWindows.try_emplace(service, this->settings.retryBudget).first->second;
    }

    const ForwardSettings& settings;
    directory::Directory& directory;
    const Dialect& dialect;
    observe::Metrics& metrics;
    quarantine::PromptQuarantine& quarantine;
    limits::RequestLimits& limits; ///< updated by answers; asked through the gate
    backoff::SendGate& gate;
    streams::StreamOrigins& origins;
    routing::PrefixIndex prefixIndex;
    BufferBudget buffers; ///< destroyed after the calls, which the callbacks of `targets` own
    observe::LogRateLimiter bufferLines { 1, 1, 0 }; ///< of lines on attempts that were ended for the buffer limit
    http::ClientPool targets;
    paths::TargetPaths paths;
    QObject loop; ///< context object of deferred calls, which are dropped when it is destroyed
    int activeRequests = 0;
    std::optional<StopTimes> stop; ///< set once a planned stop was ordered
    bool isStopping = false; ///< nothing is sent to targets any more
    std::unordered_set<ForwardCall*> calls; ///< those that have not been destroyed
    std::set<ForwardCall*> awaitingEngines; ///< calls sent to an engine that has not begun to answer

private:
    std::map<std::string, RetryWindow> retryWindows; ///< by service
};

}
