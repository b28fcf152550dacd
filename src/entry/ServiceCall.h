#pragma once
// One call to a plain service. Calls on non-idempotent routes run under a claim.
//
// On idempotent routes a failed attempt may be retried on another target. Under a claim the call is executed at most
// once: it is retried only while no byte of it was sent, or after the target reported that it did not run it.

#include "entry/Request.h"
#include "entry/TargetLoad.h"

namespace dragonfly::entry {

class ServiceCall : public std::enable_shared_from_this<ServiceCall> {
public:
    ServiceCall(WorkerScope& scope, Request request);

    /// Acquires a claim where the route needs one, then sends the call. The object keeps itself alive until the
    /// request has ended.
    void start();
    /// Withdraws the call and gives its caller a final answer, because the instance stops.
    void endForStop();

private:
    struct Attempt {
        routing::Choice choice;
        std::string id;
        std::optional<http::Call> call;
        TargetLoad load;
        http::ResponseHead head;
        std::string body;
        observe::TraceContext trace;
        WallClock::time_point started;
    };

    void acquireClaim(std::string_view idempotencyKey);
    void onClaimResult(const claims::Verdict& verdict);
    /// Responds with the stored answer of an earlier request with the same idempotency key.
    void sendStoredAnswer(const pb::StoredAnswer& answer);

    void nextAttempt();
    void send();
    http::Request targetRequest() const;
    void onHead(const http::ResponseHead& head);
    void onMismatchedAnswer();
    void onBody(std::string_view bytes);
    void onComplete();
    void onFailure(const http::CallFailure& failure);
    /// Keeps an attempt that makes no progress until the request's deadline if it is the last one: its target may still
    /// be at work.
    void onOverdue();

    void endAttempt(const std::string& outcome, bool failed);
    /// Schedules the next attempt, or fails the request when a retry is unsafe or attempts or the retry budget are
    /// exhausted.
    void retryOrFail(const Error& error);
    void succeed();
    void fail(const Error& error);
    void markEnded();
    /// True on non-idempotent routes.
    bool needsClaim() const
    {
        return !this->request.route->idempotent;
    }
    const routing::Target& target() const;

    /// Runs @p work with the ledger, in the ledger's thread.
    template <typename Work> void withLedger(Work work);
    /// Stores the answer with the claim, for repeats with the same idempotency key.
    void storeAnswer();
    /// Releases the claim when the call certainly did not run; otherwise marks its outcome as lost, which blocks the
    /// key permanently.
    void resolveClaim(const Error& error);

    WorkerScope& scope;
    Request request;
    std::optional<Attempt> attempt;
    std::vector<uint32_t> triedTargets;
    size_t attemptCount = 0;
    claims::ClaimRequest claimRequest;
    bool claimHeld = false;
    /// Some target may have run the call. Invariant: a call under a claim has no further attempt once this is set.
    bool mayHaveRun = false;
    bool ended = false;
};

}
