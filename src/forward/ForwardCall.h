#pragma once
// One request on its way to a target and back, as it came.
//
// A request that may not be repeated goes to another target only while no byte of it was sent, or on the
// target's own word that it did not run it. A stream that may be resumed goes on at another target behind
// the last whole event that the caller has.

#include "forward/EventCursor.h"
#include "forward/ForwardContext.h"
#include "forward/TargetChooser.h"

namespace dragonfly::forward {

/// A request whose route and organisation have been found.
struct ForwardRequest {
    http::ExchangePointer exchange;
    Description description;
    directory::RouteTablePointer routes; ///< as of its arrival; keeps route and organisation alive
    const directory::Route* route = nullptr;
    const directory::Organisation* organisation = nullptr; ///< null for an anonymous request
    Clock::time_point arrived;
    Deadline deadline; ///< the final answer goes out before it
    std::optional<std::chrono::milliseconds> configAge; ///< since the configuration was proved to be the newest
};

class ForwardCall : public std::enable_shared_from_this<ForwardCall> {
public:
    ForwardCall(ForwardContext& context, ForwardRequest request);
    ~ForwardCall();

    /// Begins the first attempt. The object keeps itself alive until the request has ended.
    void start();

private:
    struct Attempt {
        TargetChoice choice;
        std::optional<http::Call> call;
        entry::TargetLoad load;
        Clock::time_point sentAt;
        http::ResponseHead head;
        AnswerNote note;
        std::string body;
        std::optional<std::chrono::milliseconds> firstEventAfter; ///< of a stream
    };

    void nextAttempt();
    bool mayAskFurtherTarget();
    void send(TargetChoice choice);
    Deadline progressDeadline() const;
    Dispatch dispatchFor(const TargetChoice& choice) const;

    void onHead(const http::ResponseHead& head);
    void onBody(std::string_view bytes);
    void onComplete();
    void onFailure(const http::CallFailure& failure);

    void relayEvents(std::string_view bytes);
    void noteFirstEvent();
    void noteDelay(Clock::time_point now);
    void finishStream();
    void answerWhole();
    void onNotRun();
    void noteAnswer();
    bool isForeignAnswer() const;

    /// Ends the attempt; the request goes on elsewhere or fails with @p error.
    void attemptFailed(const std::string& outcome, const Error& error);
    void endAttempt(const std::string& outcome);
    void fail(const Error& error);
    void end(const std::string& outcome, int status);
    void callerGone();
    void watchSlowCaller();

    bool isRepeatable() const;
    bool isStream() const
    {
        return this->request.route->kind == directory::RequestKind::Streaming;
    }
    Execution execution() const
    {
        return this->mayHaveRun ? Execution::Unknown : Execution::NotRun;
    }

    ForwardContext& context;
    ForwardRequest request;
    std::optional<Attempt> attempt;
    std::vector<std::string> tried; ///< ids of targets
    std::string trail; ///< the attempts and how they ended, for the log
    uint32_t sends = 0; ///< attempts that reached a target
    uint32_t runs = 0; ///< attempts that may have run
    EventCursor events;
    /// Some target may have run the request. Invariant: one that may not be repeated has no further attempt then.
    bool mayHaveRun = false;
    bool streamBegun = false;
    bool paused = false;
    bool ended = false;
};

}
