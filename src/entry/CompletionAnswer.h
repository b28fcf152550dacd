#pragma once
// The answer to one completion request: collected from engines and written to the caller.

#include "entry/InferenceBody.h"
#include "http/Http.h"

#include <QJsonObject>

namespace dragonfly::entry {

/// Collects tokens from the engines of successive attempts and writes them as the caller requested: as an event
/// stream or as a single JSON body.
class CompletionAnswer {
public:
    CompletionAnswer(http::ExchangePointer exchange, std::string requestId, const InferenceBody& body);

    /// Number of tokens received so far.
    uint32_t completionTokens() const
    {
        return this->completionTokenCount;
    }
    const std::string& text() const
    {
        return this->accumulatedText;
    }
    /// Length of the prompt as the engine counts it; 0 until an engine has reported it.
    uint32_t promptTokens() const
    {
        return this->promptTokenCount;
    }
    uint32_t cachedTokens() const
    {
        return this->cachedTokenCount;
    }
    /// True once an engine has sent a finish reason.
    bool isComplete() const
    {
        return !this->finishReason.isEmpty();
    }
    /// True once the response headers of a stream were sent; an error status is no longer possible.
    bool hasStarted() const
    {
        return this->streamStarted;
    }

    void setUsage(uint32_t promptTokens, uint32_t cachedTokens);
    /// Appends the token and the finish reason in @p event of an engine, and forwards them to a streaming caller.
    void append(const QJsonObject& event, const std::string& targetName);
    /// Ends a complete answer: sends the body, or the last events of a stream.
    void complete();
    /// Ends a started stream with an error event and without [DONE].
    void interrupt(const Error& error);

private:
    void writeEvent(const QJsonObject& event, const std::string& targetName);
    QJsonObject usage() const;
    std::string toResponseBody() const;

    http::ExchangePointer exchange;
    std::string requestId;
    InferenceShape shape;
    std::string model;
    bool stream;
    bool includeUsage;
    uint32_t completionTokenCount = 0;
    std::string accumulatedText;
    QString finishReason; ///< empty until an engine has sent one
    uint32_t promptTokenCount = 0; ///< as reported by the engine
    uint32_t cachedTokenCount = 0; ///< prompt tokens found in the engine's KV cache
    bool streamStarted = false;
};

/// The text that the first choice of @p event appends; empty when there is none.
QString deltaText(const QJsonObject& event);

}
