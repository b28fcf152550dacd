#include "entry/CompletionAnswer.h"

#include "entry/EventStream.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace dragonfly::entry {

namespace {

    constexpr int statusOk = 200;

    std::string toCompactJson(const QJsonObject& object)
    {
        return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
    }

    QJsonObject firstChoice(const QJsonObject& event)
    {
        return event["choices"].toArray().first().toObject();
    }

}

QString addedText(const QJsonObject& event)
{
    const auto choice = firstChoice(event);
    return choice.contains("delta") ? choice["delta"].toObject()["content"].toString() : choice["text"].toString();
}

CompletionAnswer::CompletionAnswer(http::ExchangePointer exchange, std::string requestId, const InferenceBody& body)
    : exchange(std::move(exchange))
    , requestId(std::move(requestId))
    , shape(body.shape)
    , model(body.model)
    , stream(body.stream)
    , wantsUsage(body.wantsUsage)
{
}

void CompletionAnswer::setUsage(uint32_t promptTokens, uint32_t cachedTokens)
{
    this->prompt = promptTokens;
    this->cached = cachedTokens;
}

void CompletionAnswer::take(const QJsonObject& event, const std::string& targetName)
{
    const auto added = addedText(event);
    if (!added.isEmpty()) {
        ++this->tokenCount;
        this->wholeText += added.toStdString();
    }
    const auto choice = firstChoice(event);
    const QJsonValue reason = choice["finish_reason"];
    if (reason.isString())
        this->finishReason = reason.toString();
    if (this->stream && (!added.isEmpty() || this->isWhole()))
        this->forward(event, targetName);
}

void CompletionAnswer::forward(const QJsonObject& event, const std::string& targetName)
{
    if (!this->streamBegun) {
        this->streamBegun = true;
        this->exchange->beginStream(statusOk,
            { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" },
                { "X-Request-Id", this->requestId }, { "Dragonfly-Target", targetName } });
    }
    auto own = event;
    own["id"] = QString::fromStdString(this->requestId);
    own.remove("token_index");
    own.remove("usage");
    this->exchange->write(toEvent(toCompactJson(own)));
}

QJsonObject CompletionAnswer::usage() const
{
    return { { "prompt_tokens", static_cast<int>(this->prompt) },
        { "completion_tokens", static_cast<int>(this->tokenCount) },
        { "total_tokens", static_cast<int>(this->prompt + this->tokenCount) },
        { "prompt_tokens_details", QJsonObject { { "cached_tokens", static_cast<int>(this->cached) } } } };
}

std::string CompletionAnswer::inOnePiece() const
{
    const bool isChat = this->shape == InferenceShape::Chat;
    const auto content = QString::fromStdString(this->wholeText);
    QJsonObject choice { { "index", 0 }, { "finish_reason", this->finishReason } };
    if (isChat)
        choice["message"] = QJsonObject { { "role", "assistant" }, { "content", content } };
    else
        choice["text"] = content;
    QJsonObject answer;
    answer["id"] = QString::fromStdString(this->requestId);
    answer["object"] = isChat ? "chat.completion" : "text_completion";
    answer["model"] = QString::fromStdString(this->model);
    answer["choices"] = QJsonArray { choice };
    answer["usage"] = this->usage();
    return toCompactJson(answer);
}

void CompletionAnswer::finish()
{
    if (!this->stream) {
        this->exchange->respond(statusOk,
            { { "Content-Type", "application/json" }, { "X-Request-Id", this->requestId } }, this->inOnePiece());
        return;
    }
    if (this->wantsUsage) {
        const QJsonObject last { { "id", QString::fromStdString(this->requestId) }, { "choices", QJsonArray() },
            { "usage", this->usage() } };
        this->exchange->write(toEvent(toCompactJson(last)));
    }
    this->exchange->write(toEvent("[DONE]"));
    this->exchange->finish();
}

void CompletionAnswer::interrupt(const Error& error)
{
    this->exchange->write(toNamedEvent("error", http::errorBody(error, this->requestId)));
    this->exchange->finish();
}

}
