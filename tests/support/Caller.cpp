#include "tests/support/Caller.h"

#include "tests/support/Process.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

namespace testing {

using namespace dragonfly;

QJsonObject Answer::json() const
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(this->body)).object();
}

std::chrono::milliseconds Answer::took() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->endedAt - this->sentAt);
}

StreamContent readStream(const Answer& answer, const std::string& requestId)
{
    StreamContent content;
    const auto lines = QString::fromStdString(answer.body).split('\n');
    for (const auto& line : lines) {
        content.failed |= line == "event: error";
        if (!line.startsWith("data: "))
            continue;
        const auto data = line.mid(6);
        if (data == "[DONE]") {
            content.done = true;
            continue;
        }
        const auto event = QJsonDocument::fromJson(data.toUtf8()).object();
        const auto choices = event["choices"].toArray();
        if (choices.isEmpty())
            continue;
        content.foreign |= event["id"].toString().toStdString() != requestId;
        const auto choice = choices.first().toObject();
        const auto text
            = choice.contains("delta") ? choice["delta"].toObject()["content"].toString() : choice["text"].toString();
        content.tokens += !text.isEmpty();
        content.text += text.toStdString();
    }
    return content;
}

Caller::Caller(std::string apiKey)
    : apiKey(std::move(apiKey))
    , pool(std::make_unique<http::ClientPool>())
{
}

AnswerPointer Caller::send(const Endpoint& entry, const http::Request& request, std::chrono::milliseconds timeout)
{
    auto answer = std::make_shared<Answer>();
    answer->sentAt = Clock::now();
    auto authorized = request;
    if (!this->apiKey.empty())
        authorized.headers.add("Authorization", "Bearer " + this->apiKey);
    http::CallEvents events;
    events.onHead = [answer](const http::ResponseHead& head) {
        answer->status = head.status;
        answer->headers = head.headers;
    };
    events.onBody = [answer](std::string_view bytes) {
        if (answer->body.empty())
            answer->firstByteAt = Clock::now();
        answer->body.append(bytes);
    };
    const auto end = [answer](bool isComplete) {
        answer->whole = isComplete;
        answer->endedAt = Clock::now();
        answer->ended = true;
    };
    events.onComplete = [end] { end(true); };
    events.onFailure = [end](const http::CallFailure&) { end(false); };
    const auto deadline = Clock::now() + timeout;
    this->pool->send(entry, authorized, { deadline, deadline, false }, std::move(events));
    return answer;
}

AnswerPointer Caller::post(
    const Endpoint& entry, const std::string& path, const std::string& body, const http::Headers& headers)
{
    auto allHeaders = headers;
    allHeaders.add("Content-Type", "application/json");
    return this->send(entry, { "POST", path, allHeaders, body });
}

AnswerPointer Caller::complete(const Endpoint& entry, const std::string& model, const std::string& prompt,
    uint32_t tokens, const std::string& requestId, bool stream)
{
    const QJsonObject body { { "model", QString::fromStdString(model) }, { "prompt", QString::fromStdString(prompt) },
        { "max_tokens", static_cast<int>(tokens) }, { "stream", stream } };
    return this->post(entry, "/v1/completions", QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString(),
        { { "X-Request-Id", requestId } });
}

void Caller::hangUp()
{
    this->pool = std::make_unique<http::ClientPool>();
}

bool waitFor(const AnswerPointer& answer, std::chrono::milliseconds timeout)
{
    return waitUntil([&] { return answer->ended; }, timeout);
}

bool waitForAll(const std::vector<AnswerPointer>& answers, std::chrono::milliseconds timeout)
{
    const auto ended = [](const AnswerPointer& answer) { return answer->ended; };
    return waitUntil([&] { return std::all_of(answers.begin(), answers.end(), ended); }, timeout);
}

QJsonObject control(const Endpoint& standin, const QJsonObject& command)
{
    Caller caller("");
    const auto answer
        = caller.post(standin, "/control", QJsonDocument(command).toJson(QJsonDocument::Compact).toStdString());
    require(waitFor(answer) && answer->status == 200, "a stand-in did not accept a control command");
    return answer->json();
}

AnswerPointer get(const Endpoint& endpoint, const std::string& path)
{
    Caller caller("");
    const auto answer = caller.send(endpoint, { "GET", path, {}, {} }, std::chrono::seconds(5));
    waitFor(answer);
    return answer;
}

}
