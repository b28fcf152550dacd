#pragma once
// One completion request: attempts at engines until the caller has the whole answer.
//
// The engine is always asked to stream. When it is lost in mid-stream, another engine with the same
// weights is asked to continue after the tokens that the caller has; if there is none, the caller's
// stream ends with an error event and without its normal end.

#include "entry/CompletionAnswer.h"
#include "entry/InferenceAttempt.h"
#include "entry/InferenceBody.h"
#include "entry/Request.h"

namespace dragonfly::entry {

class InferenceCall : public std::enable_shared_from_this<InferenceCall> {
public:
    InferenceCall(WorkerScope& scope, Request request, InferenceBody body);

    /// Begins the first attempt. The object keeps itself alive until the request has ended.
    void start();

private:
    void nextAttempt();
    http::Request engineRequest();
    void send(const routing::Target& target);
    void onHead(const http::ResponseHead& head);
    void onBody(std::string_view bytes);
    bool onEvent(std::string_view data);
    bool takeChoice(const QJsonObject& event);
    void takeUsage(const QJsonObject& usage);
    void onComplete();
    void onFailure(const http::CallFailure& failure);

    /// Ends the attempt and decides between another one and an error.
    void attemptFailed(const std::string& detail);
    void abandonAttempt(const std::string& detail);
    void endAttempt(const std::string& outcome, bool failed);
    void retryLater(const Error& lastError);

    void noteFirstToken();
    void watchSlowCaller();
    void moveProgressDeadline();
    void succeed();
    void fail(Error error);
    void callerGone();
    void learnPrefillCost(uint32_t work);
    bool expired() const;
    const routing::Target& target() const;
    const routing::Model& model() const;

    WorkerScope& scope;
    Request request;
    InferenceBody body;
    routing::PrefixChain chain;
    uint32_t promptTokens;
    std::vector<uint32_t> tried;
    std::optional<InferenceAttempt> attempt;
    size_t attempts = 0;

    CompletionAnswer answer;
    bool paused = false;
    bool ended = false;
    bool mayHaveRun = false;
};

}
