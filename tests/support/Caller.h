#pragma once
// An HTTP client for tests that records answers byte by byte and checks by itself whether they are complete.

#include "http/Http.h"

#include <QJsonObject>

namespace testing {

struct Answer {
    bool ended = false; ///< received completely or failed
    bool whole = false; ///< the HTTP message was received completely
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
    /// Time from sending the request to the end of the answer.
    std::chrono::milliseconds took() const;
};

using AnswerPointer = std::shared_ptr<Answer>;

/// Contents of a streamed completion, parsed from the recorded bytes.
struct StreamContent {
    std::string text;
    uint32_t tokens = 0;
    bool done = false; ///< contained [DONE]
    bool failed = false; ///< contained an error event
    bool foreign = false; ///< an event carried the id of another request
};

StreamContent readStream(const Answer& answer, const std::string& requestId);

class Caller {
public:
    /// @param apiKey key sent with every request; empty for none
    explicit Caller(std::string apiKey);

    /// Sends a request and returns immediately; the event loop fills the answer in.
    AnswerPointer send(const dragonfly::Endpoint& entry, const dragonfly::http::Request& request,
        std::chrono::milliseconds timeout = std::chrono::seconds(60));
    AnswerPointer post(const dragonfly::Endpoint& entry, const std::string& path, const std::string& body,
        const dragonfly::http::Headers& headers = {});
    AnswerPointer complete(const dragonfly::Endpoint& entry, const std::string& model, const std::string& prompt,
        uint32_t tokens, const std::string& requestId, bool stream = true);

    /// Closes the connections of all requests in flight.
    void hangUp();

private:
    std::string apiKey;
    std::unique_ptr<dragonfly::http::ClientPool> pool;
};

/// Waits for the end of an answer; false if it did not end within @p timeout.
bool waitFor(const AnswerPointer& answer, std::chrono::milliseconds timeout = std::chrono::seconds(30));
bool waitForAll(const std::vector<AnswerPointer>& answers, std::chrono::milliseconds timeout);

/// Posts @p command to the control interface of a stand-in and returns its answer.
QJsonObject control(const dragonfly::Endpoint& standin, const QJsonObject& command = {});
/// Sends a GET request without an API key, for admin and metrics ports, and waits for the answer.
AnswerPointer get(const dragonfly::Endpoint& endpoint, const std::string& path);

}
