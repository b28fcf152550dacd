#include "entry/InferenceBody.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace dragonfly::entry {

namespace {

    Error badRequest(std::string detail)
    {
        return { ErrorKind::BadRequest, std::move(detail), Execution::NotRun, {} };
    }

    QString toQString(const std::string& text)
    {
        return QString::fromStdString(text);
    }

    /// Concatenates all messages in order; empty when one lacks a string role or content.
    std::optional<std::string> joinMessages(const QJsonArray& messages)
    {
        std::string prompt;
        for (const auto& item : messages) {
            const auto message = item.toObject();
            if (!message["role"].isString() || !message["content"].isString())
                return std::nullopt;
            prompt
                += message["role"].toString().toStdString() + "\n" + message["content"].toString().toStdString() + "\n";
        }
        return prompt;
    }

}

Result<InferenceBody> parseInferenceBody(InferenceShape shape, const std::string& text)
{
    QJsonParseError failure;
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text), &failure);
    if (failure.error != QJsonParseError::NoError || !document.isObject())
        return badRequest("the body is not a JSON object: " + failure.errorString().toStdString());
    InferenceBody body;
    body.shape = shape;
    body.fields = document.object();
    if (!body.fields["model"].isString())
        return badRequest("model: a string is required");
    body.model = body.fields["model"].toString().toStdString();
    if (shape == InferenceShape::Chat) {
        const auto prompt = joinMessages(body.fields["messages"].toArray());
        if (!prompt || prompt->empty())
            return badRequest("messages: an array of objects with string fields role and content is required");
        body.prompt = *prompt;
    } else {
        if (!body.fields["prompt"].isString())
            return badRequest("prompt: a string is required");
        body.prompt = body.fields["prompt"].toString().toStdString();
    }
    body.stream = body.fields["stream"].toBool();
    body.includeUsage = body.fields["stream_options"].toObject()["include_usage"].toBool();
    return body;
}

std::string toEngineBody(const InferenceBody& body, const EngineOptions& options)
{
    auto fields = body.fields;
    fields["stream"] = true;
    fields["stream_options"] = QJsonObject { { "include_usage", true }, { "continuous_usage_stats", true } };
    fields["request_id"] = toQString(options.requestId);
    fields["cache_salt"] = toQString(options.cacheSalt);
    fields["expected_weights"] = toQString(options.weights);
    fields["priority"] = static_cast<int>(options.priority);
    if (options.resumeTokens)
        fields["resume"] = QJsonObject { { "tokens", static_cast<int>(options.resumeTokens) },
            { "text", toQString(options.resumeText) } };
    return QJsonDocument(fields).toJson(QJsonDocument::Compact).toStdString();
}

}
