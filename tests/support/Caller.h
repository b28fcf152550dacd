#pragma once
// A caller that records what it received, byte by byte, and judges completeness for itself.

#include "http/Http.h"

#include <QJsonObject>

namespace testing {

struct Answer {
    bool ended = false;
    bool whole = false; ///< the HTTP message ended as it should
    int status = 0;
    dragonfly::http::Headers headers;
    std::string body;
    dragonfly::Clock::time_point sentAt;
    dragonfly::Clock::time_point firstByteAt;
    dragonfly::Clock::time_point endedAt;

    std::string header(std::string_view name) const
    {
        return std::string(this->headers.valueOr(name, ""));
    }
    QJsonObject json() const;
    std::string execution() const
    {
        return this->header("Dragonfly-Execution");
    }
    std::chrono::milliseconds took() const;
};

using AnswerPointer = std::shared_ptr<Answer>;

/// What a streamed completion said, read from the recorded bytes.
struct StreamContent {
    std::string text;
    uint32_t tokens = 0;
    bool done = false; ///< ended with [DONE]
    bool failed = false; ///< ended with an error event
    bool foreign = false; ///< an event bore another request's id
};

StreamContent readStream(const Answer& answer, const std::string& requestId);

class Caller {
public:
    explicit Caller(std::string apiKey);

    /// Sends a request and returns at once; the answer fills in while the event loop runs.
    AnswerPointer send(const dragonfly::Endpoint& entry, const dragonfly::http::Request& request,
        std::chrono::milliseconds patience = std::chrono::seconds(60));
    AnswerPointer post(const dragonfly::Endpoint& entry, const std::string& path, const std::string& body,
        const dragonfly::http::Headers& headers = {});
    AnswerPointer complete(const dragonfly::Endpoint& entry, const std::string& model, const std::string& prompt,
        uint32_t tokens, const std::string& requestId, bool stream = true);

    /// Goes away in the middle of all requests under way.
    void hangUp();

private:
    std::string apiKey;
    std::unique_ptr<dragonfly::http::ClientPool> pool;
};

/// Waits for one answer, at most @p time.
bool waitFor(const AnswerPointer& answer, std::chrono::milliseconds time = std::chrono::seconds(30));
bool waitForAll(const std::vector<AnswerPointer>& answers, std::chrono::milliseconds time);

/// Sends @p order to the control port of a stand-in and returns its answer.
QJsonObject control(const dragonfly::Endpoint& standin, const QJsonObject& order = {});
/// GET without a key, for admin and metrics ports.
AnswerPointer get(const dragonfly::Endpoint& endpoint, const std::string& path);

}
