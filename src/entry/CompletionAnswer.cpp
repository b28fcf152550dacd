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

QString deltaText(const QJsonObject& event)
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
    , includeUsage(body.includeUsage)
{
}

void CompletionAnswer::setUsage(uint32_t promptTokens, uint32_t cachedTokens)
{
    this->promptTokenCount = promptTokens;
    this->cachedTokenCount = cachedTokens;
}

void CompletionAnswer::append(const QJsonObject& event, const std::string& targetName)
{
    const auto delta = deltaText(event);
    if (!delta.isEmpty()) {
        ++this->completionTokenCount;
        this->accumulatedText += delta.toStdString();
    }
    const auto choice = firstChoice(event);
    const QJsonValue reason = choice["finish_reason"];
    if (reason.isString())
        this->finishReason = reason.toString();
    if (this->stream && (!delta.isEmpty() || this->isComplete()))
        this->writeEvent(event, targetName);
}

void CompletionAnswer::writeEvent(const QJsonObject& event, const std::string& targetName)
{
    if (!this->streamStarted) {
        this->streamStarted = true;
        this->exchange->beginStream(statusOk,
            { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" },
                { "X-Request-Id", this->requestId }, { "Dragonfly-Target", targetName } });
    }
    auto outgoing = event;
    outgoing["id"] = QString::fromStdString(this->requestId);
    outgoing.remove("token_index");
    outgoing.remove("usage");
    this->exchange->write(toEvent(toCompactJson(outgoing)));
}

QJsonObject CompletionAnswer::usage() const
{
    return { { "prompt_tokens", static_cast<int>(this->promptTokenCount) },
        { "completion_tokens", static_cast<int>(this->completionTokenCount) },
        { "total_tokens", static_cast<int>(this->promptTokenCount + this->completionTokenCount) },
        { "prompt_tokens_details", QJsonObject { { "cached_tokens", static_cast<int>(this->cachedTokenCount) } } } };
}

std::string CompletionAnswer::toResponseBody() const
{
    const bool isChat = this->shape == InferenceShape::Chat;
    const auto content = QString::fromStdString(this->accumulatedText);
    QJsonObject choice { { "index", 0 }, { "finish_reason", this->finishReason } };
    if (isChat)
        choice["message"] = QJsonObject { { "role", "assistant" }, { "content", content } };
    else
        choice["text"] = content;
    QJsonObject body;
    body["id"] = QString::fromStdString(this->requestId);
    body["object"] = isChat ? "chat.completion" : "text_completion";
    body["model"] = QString::fromStdString(this->model);
    body["choices"] = QJsonArray { choice };
    body["usage"] = this->usage();
    return toCompactJson(body);
}

void CompletionAnswer::complete()
{
    if (!this->stream) {
        this->exchange->respond(statusOk,
            { { "Content-Type", "application/json" }, { "X-Request-Id", this->requestId } }, this->toResponseBody());
        return;
    }
    if (this->includeUsage) {
        const QJsonObject usageEvent { { "id", QString::fromStdString(this->requestId) }, { "choices", QJsonArray() },
            { "usage", this->usage() } };
        this->exchange->write(toEvent(toCompactJson(usageEvent)));
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
