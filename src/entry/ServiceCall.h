#pragma once
// One call to a plain service. A call that may not be repeated runs under a claim.
//
// Without a claim (idempotent routes) a failed attempt may be repeated on another target. With one, the
// call is sent at most once: another target is tried only while no byte of the call has been sent, or
// on a target's own word that it did not run it.

#include "entry/Request.h"
#include "entry/TargetLoad.h"

namespace dragonfly::entry {

class ServiceCall : public std::enable_shared_from_this<ServiceCall> {
public:
    ServiceCall(WorkerScope& scope, Request request);

    void start();

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

    void claim(std::string_view idempotencyKey);
    void onVerdict(const claims::Verdict& verdict);
    void answerAgain(const pb::StoredAnswer& answer);

    void nextAttempt();
    void send();
    http::Request targetRequest() const;
    void onHead(const http::ResponseHead& head);
    void onBody(std::string_view bytes);
    void onComplete();
    void onFailure(const http::CallFailure& failure);

    void endAttempt(const std::string& outcome, bool failed);
    void retryOrFail(const Error& error);
    void answer();
    void fail(const Error& error);
    bool isGuarded() const
    {
        return !this->request.route->idempotent;
    }
    const routing::Target& target() const;

    /// Runs @p work with the ledger, in its thread.
    template <typename Work> void withLedger(Work work);
    void keepOutcome();
    void settleClaim(const Error& error);

    WorkerScope& scope;
    Request request;
    std::optional<Attempt> attempt;
    std::vector<uint32_t> tried;
    size_t attempts = 0;
    claims::ClaimRequest claimRequest;
    bool claimHeld = false;
    /// Some target may have run the call. Invariant: a guarded call has no further attempt once this is set.
    bool mayHaveRun = false;
    bool ended = false;
};

}
