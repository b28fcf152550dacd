#pragma once
// The answer of one completion: what engines have given so far, and its way to the caller.

#include "entry/InferenceBody.h"
#include "http/Http.h"

#include <QJsonObject>

namespace dragonfly::entry {

/// Collects tokens from one engine after another and writes them in the shape that the caller asked for,
/// as a stream or in one piece.
class CompletionAnswer {
public:
    CompletionAnswer(http::ExchangePointer exchange, std::string requestId, const InferenceBody& body);

    uint32_t tokens() const
    {
        return this->tokenCount;
    }
    const std::string& text() const
    {
        return this->wholeText;
    }
    uint32_t promptTokens() const
    {
        return this->prompt;
    }
    uint32_t cachedTokens() const
    {
        return this->cached;
    }
    /// The engine said why it ended: nothing is missing.
    bool isWhole() const
    {
        return !this->finishReason.isEmpty();
    }
    /// Some of it is on its way to the caller, who can no longer receive an error status.
    bool hasBegun() const
    {
        return this->streamBegun;
    }

    void setUsage(uint32_t promptTokens, uint32_t cachedTokens);
    /// Takes the next token, or the end, from @p event of an engine.
    void take(const QJsonObject& event, const std::string& targetName);
    /// Writes the end of a whole answer.
    void finish();
    /// Ends a stream that has begun with an error event and without [DONE].
    void interrupt(const Error& error);

private:
    void forward(const QJsonObject& event, const std::string& targetName);
    QJsonObject usage() const;
    std::string inOnePiece() const;

    http::ExchangePointer exchange;
    std::string requestId;
    InferenceShape shape;
    std::string model;
    bool stream;
    bool wantsUsage;
    uint32_t tokenCount = 0;
    std::string wholeText;
    QString finishReason; ///< empty until the engine gave one
    uint32_t prompt = 0; ///< tokens, by the engine's count
    uint32_t cached = 0;
    bool streamBegun = false;
};

/// The text that the first choice of @p event adds; empty when it adds none.
QString addedText(const QJsonObject& event);

}
