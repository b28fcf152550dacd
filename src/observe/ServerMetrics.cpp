#include "observe/ServerMetrics.h"

#include "observe/Log.h"

namespace dragonfly::observe {

http::RequestObserver requestObserver(Metrics& metrics, RequestIdReader requestId)
{
    http::RequestObserver observer;
    observer.onBegun = [&metrics] { metrics.requestsBegun.Increment(); };
    observer.onEnded = [&metrics] { metrics.requestsEnded.Increment(); };
    observer.onUnanswered = [&metrics, requestId = std::move(requestId)](const http::Request& request) {
        metrics.requestsUnanswered.Increment();
        logConnection(LogLevel::Error, "request released without an answer",
            { { "request", requestId(request) }, { "path", request.target.substr(0, request.target.find('?')) },
                { "execution", std::string(toString(Execution::Unknown)) } });
    };
    observer.onInputDiscarded = [&metrics](const http::DiscardedInput& input) {
        if (input.hasWholeHead)
            metrics.discardedInputs.Increment();
        logConnection(input.hasWholeHead ? LogLevel::Warning : LogLevel::Info,
            "input of a closing connection discarded",
            { { "address", input.address }, { "bytes", std::to_string(input.bytes) },
                { "whole_head", input.hasWholeHead ? "yes" : "no" }, { "closed_because", std::string(input.reason) } });
    };
    return observer;
}

}
