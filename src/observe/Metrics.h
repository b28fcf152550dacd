#pragma once
// The Prometheus metrics of one instance. docs/metrics.md lists them for operators.

#include "base/Base.h"

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <vector>

namespace dragonfly::observe {

class Metrics {
public:
    Metrics();

    prometheus::Counter& requestsBegun;
    prometheus::Counter& requestsEnded;
    prometheus::Counter& requestsUnanswered;
    prometheus::Counter& discardedInputs;
    /// Requests that were answered completely.
    prometheus::Counter& answered;
    /// Requests that ended with an error of @p kind.
    prometheus::Counter& failed(ErrorKind kind)
    {
        return *this->failedByKind[static_cast<size_t>(kind)];
    }

    prometheus::Counter& attempts;
    prometheus::Counter& attemptsUnsent;
    prometheus::Counter& retries;
    prometheus::Counter& retriesDenied;
    prometheus::Counter& streamsResumed;
    prometheus::Counter& takeUpsRefused;
    prometheus::Counter& mismatchedAnswers;
    prometheus::Counter& callersGone;
    prometheus::Counter& promptTokens;
    prometheus::Counter& cachedTokens;
    prometheus::Counter& estimatedTokens;
    prometheus::Counter& crossRegionBytes;
    prometheus::Histogram& firstTokenSeconds;
    prometheus::Histogram& decisionSeconds;
    prometheus::Gauge& activeRequests;

    prometheus::Gauge& configRevision;
    prometheus::Counter& configApplied;
    prometheus::Counter& configRefusedOlder;
    prometheus::Counter& configFromPeers;
    prometheus::Counter& platformCalls;
    prometheus::Counter& platformFailures;
    prometheus::Counter& recordsRefused;
    prometheus::Gauge& recordsAgeSeconds;
    prometheus::Gauge& livePeers;
    prometheus::Counter& peerMessages;
    prometheus::Counter& peerBytes;
    prometheus::Counter& peerMessagesRefused;
    prometheus::Counter& probes;
    prometheus::Gauge& outdatedEngines;
    prometheus::Gauge& enginesNotLoading;
    prometheus::Gauge& claimsPending;
    prometheus::Gauge& claimsGranted;
    prometheus::Gauge& claimWrites;
    prometheus::Gauge& claimConflicts;
    prometheus::Gauge& claimsUnreachable;
    prometheus::Counter& targetEndReports;
    prometheus::Gauge& quarantinedParts;
    prometheus::Gauge& limitedTargets;
    prometheus::Gauge& brittleTargets;
    prometheus::Gauge& leavingTargets;
    prometheus::Counter& backoffs;
    prometheus::Counter& attemptsWithheld;
    prometheus::Counter& attemptsOverBufferLimit;
    prometheus::Counter& eventLoopStalls;

    const std::shared_ptr<prometheus::Registry>& registry() const
    {
        return this->sharedRegistry;
    }

private:
    explicit Metrics(std::shared_ptr<prometheus::Registry> registry);

    std::shared_ptr<prometheus::Registry> sharedRegistry;
    std::vector<prometheus::Counter*> failedByKind; ///< indexed by ErrorKind
};

}
