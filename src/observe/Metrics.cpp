#include "observe/Metrics.h"

namespace dragonfly::observe {

namespace {

    prometheus::Counter& counter(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
    }

    prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

    prometheus::Histogram& histogram(prometheus::Registry& registry, const char* name, const char* help,
        const prometheus::Histogram::BucketBoundaries& bounds)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, bounds);
    }

    const prometheus::Histogram::BucketBoundaries firstTokenBucketBounds { 0.01, 0.02, 0.05, 0.1, 0.2, 0.32, 0.5, 1, 2,
        5, 10 };
    const prometheus::Histogram::BucketBoundaries decisionBucketBounds { 1e-6, 2e-6, 5e-6, 1e-5, 2e-5, 5e-5, 1e-4,
        1e-3 };

}

Metrics::Metrics()
    : Metrics(std::make_shared<prometheus::Registry>())
{
}

Metrics::Metrics(std::shared_ptr<prometheus::Registry> registry)
    : requestsBegun(counter(*registry, "dragonfly_requests_begun_total", "Requests received whole"))
    , requestsEnded(counter(*registry, "dragonfly_requests_ended_total",
          "Requests received whole whose answer has ended, or whose caller has left"))
    , requestsUnanswered(counter(*registry, "dragonfly_requests_unanswered_total",
          "Requests that were released without an answer while their callers were connected"))
    , discardedInputs(counter(*registry, "dragonfly_discarded_inputs_total",
          "Connections on which the end of a head arrived after it was decided to close them"))
    , answered(counter(*registry, "dragonfly_requests_answered_total", "Requests answered in full"))
    , attempts(counter(*registry, "dragonfly_attempts_total", "Attempts at targets, including retries"))
    , attemptsUnsent(counter(*registry, "dragonfly_attempts_unsent_total",
          "Attempts of forwarded requests that ended before a byte was sent"))
    , retries(counter(*registry, "dragonfly_retries_total", "Attempts made after a failed attempt of the same request"))
    , retriesDenied(counter(*registry, "dragonfly_retries_denied_total", "Retries denied by the retry budget"))
    , streamsResumed(counter(*registry, "dragonfly_streams_resumed_total", "Streams continued on another target"))
    , takeUpsRefused(counter(*registry, "dragonfly_take_ups_refused_total",
          "Streams that were not taken up because the software version that began them is not known"))
    , mismatchedAnswers(counter(
          *registry, "dragonfly_mismatched_answers_total", "Answers discarded because they belong to another request"))
    , callersGone(counter(*registry, "dragonfly_callers_gone_total", "Requests whose caller disconnected"))
    , promptTokens(counter(*registry, "dragonfly_prompt_tokens_total", "Prompt tokens reported by the engines"))
    , cachedTokens(
          counter(*registry, "dragonfly_cached_tokens_total", "Prompt tokens reported by the engines as cached"))
    , estimatedTokens(counter(*registry, "dragonfly_believed_tokens_total", "Prompt tokens estimated to be cached"))
    , crossRegionBytes(counter(*registry, "dragonfly_cross_region_bytes_total", "Bytes sent to and from other regions"))
    , firstTokenSeconds(
          histogram(*registry, "dragonfly_first_token_seconds", "Time to the first token", firstTokenBucketBounds))
    , decisionSeconds(
          histogram(*registry, "dragonfly_decision_seconds", "Time to choose a target", decisionBucketBounds))
    , activeRequests(gauge(*registry, "dragonfly_active_requests", "Requests in progress"))
    , configRevision(gauge(*registry, "dragonfly_config_revision", "Revision of the configuration in force"))
    , configApplied(counter(*registry, "dragonfly_config_applied_total", "Configurations that came into force"))
    , configRefusedOlder(counter(*registry, "dragonfly_config_older_refused_total", "Older configurations refused"))
    , configFromPeers(
          counter(*registry, "dragonfly_config_from_peers_total", "Configurations applied that came from peers"))
    , platformCalls(counter(*registry, "dragonfly_platform_calls_total", "Calls to the platform's service"))
    , platformFailures(
          counter(*registry, "dragonfly_platform_failures_total", "Failed calls to the platform's service"))
    , recordsRefused(counter(*registry, "dragonfly_records_refused_total",
          "Records of the platform's service that could not be used, once for each content of a target's"))
    , recordsAgeSeconds(gauge(*registry, "dragonfly_records_age_seconds",
          "How long ago the instance knew all changes of the platform's records"))
    , livePeers(gauge(*registry, "dragonfly_live_peers", "Peers considered alive"))
    , peerMessages(counter(*registry, "dragonfly_peer_messages_total", "Messages sent to peers"))
    , peerBytes(counter(*registry, "dragonfly_peer_bytes_total", "Bytes sent to peers"))
    , peerMessagesRefused(counter(*registry, "dragonfly_peer_messages_refused_total", "Invalid messages from peers"))
    , probes(counter(*registry, "dragonfly_probes_total", "Probes sent to targets"))
    , outdatedEngines(gauge(*registry, "dragonfly_outdated_engines",
          "Engines without the wanted weights, if this instance rolls them out"))
    , enginesNotLoading(gauge(*registry, "dragonfly_engines_not_loading",
          "Engines that did not load the wanted weights when they should, if this instance rolls them out"))
    , claimsPending(gauge(*registry, "dragonfly_claims_pending", "Claim operations waiting for the platform's service"))
    , claimsGranted(gauge(*registry, "dragonfly_claims_granted", "Claims granted since the start"))
    , claimWrites(gauge(*registry, "dragonfly_claim_writes", "Writes of claim documents since the start"))
    , claimConflicts(
          gauge(*registry, "dragonfly_claim_conflicts", "Claim writes rejected because the document had changed"))
    , claimsUnreachable(gauge(
          *registry, "dragonfly_claims_unreachable", "Claims refused because the platform's service was unreachable"))
    , targetEndReports(counter(*registry, "dragonfly_target_end_reports_total",
          "Reports published on targets that ended while they began answers"))
    , quarantinedParts(gauge(*registry, "dragonfly_quarantined_parts",
          "Prompt parts and requests that are kept from targets because they crash them"))
    , limitedTargets(gauge(*registry, "dragonfly_limited_targets", "Targets whose answers name a limit of requests"))
    , brittleTargets(gauge(*registry, "dragonfly_brittle_targets", "Processes of targets that bear few refusals"))
    , leavingTargets(
          gauge(*registry, "dragonfly_leaving_targets", "Processes of targets that said in an answer that they leave"))
    , backoffs(counter(*registry, "dragonfly_backoffs_total", "Times without requests that targets asked for"))
    , attemptsWithheld(counter(*registry, "dragonfly_attempts_withheld_total",
          "Attempts that were stopped before their first byte, because the target no longer took requests"))
    , attemptsOverBufferLimit(counter(*registry, "dragonfly_attempts_over_buffer_limit_total",
          "Attempts that were ended because all buffers together had reached their limit"))
    , eventLoopStalls(counter(
          *registry, "dragonfly_event_loop_stalls_total", "Times that the main event loop ran 250 ms late or later"))
    , sharedRegistry(std::move(registry))
{
    auto& family = prometheus::BuildCounter()
                       .Name("dragonfly_requests_failed_total")
                       .Help("Requests that ended with an error")
                       .Register(*this->sharedRegistry);
    for (int kind = 0; kind <= static_cast<int>(ErrorKind::Internal); ++kind) {
        const auto name = std::string(answerFor(static_cast<ErrorKind>(kind)).name);
        this->failedByKind.push_back(&family.Add({ { "kind", name } }));
    }
}

}
