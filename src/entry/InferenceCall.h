#pragma once
// One completion request: tries engines until the caller has a complete answer.
//
// Engines always answer with a stream. When an engine is lost in mid-stream, the request resumes on another engine
// with the same weights, after the last token that was received. Without such an engine the caller's stream ends with
// an error event and without [DONE].

#include "entry/CompletionAnswer.h"
#include "entry/InferenceAttempt.h"
#include "entry/InferenceBody.h"
#include "entry/Request.h"

namespace dragonfly::entry {

class InferenceCall : public std::enable_shared_from_this<InferenceCall> {
public:
    InferenceCall(WorkerScope& scope, Request request, InferenceBody body);

    /// Starts the first attempt. The object keeps itself alive until the request has ended.
    void start();
    /// Withdraws the request and gives its caller a final answer, because the instance stops.
    void endForStop();

private:
    void nextAttempt();
    http::Request engineRequest();
    void send(const routing::Target& target);
    void onHead(const http::ResponseHead& head);
    void onBody(std::string_view bytes);
    /// Handles one event of the engine's stream. Returns false when the attempt is over.
    bool onEvent(std::string_view data);
    bool handleChoice(const QJsonObject& event);
    /// Updates cache statistics from the engine's reported cache hits; only the first report counts.
    void handleUsage(const QJsonObject& usage);
    void onComplete();
    void onFailure(const http::CallFailure& failure);
    /// Keeps an attempt that makes no progress until the request's deadline if it is the last one: its target may still
    /// be at work.
    void onOverdue();

    /// Records the failure and ends the attempt; then retries or fails the request.
    void attemptFailed(const std::string& detail);
    /// Cancels an attempt whose answer is unusable and treats it as failed.
    void abandonAttempt(const std::string& detail);
    void endAttempt(const std::string& outcome, bool failed);
    /// Schedules the next attempt, or fails the request when attempts or the retry budget are exhausted.
    void retryOrFail(const Error& lastError);

    void recordFirstToken();
    /// Pauses reading from the engine while the caller reads slowly, so that unsent bytes stay bounded.
    void updateBackpressure();
    void extendProgressDeadline();
    void succeed();
    void fail(Error error);
    void markEnded();
    void onCallerGone();
    /// Updates the target's estimated prefill cost from the time it took for @p tokens, including tokens queued
    /// before this request.
    void updatePrefillCost(uint32_t tokens);
    bool expired() const;
    const routing::Target& target() const;
    const routing::Model& model() const;

    WorkerScope& scope;
    Request request;
    InferenceBody body;
    routing::PrefixChain chain;
    uint32_t promptTokens; ///< estimated from the prompt's length in bytes
    std::vector<uint32_t> triedTargets; ///< indices into the view's targets
    std::optional<InferenceAttempt> attempt;
    size_t attemptCount = 0;

    CompletionAnswer answer;
    bool paused = false; ///< reading from the engine is paused
    bool ended = false;
    bool mayHaveRun = false; ///< some engine may have started to execute the request
};

}
