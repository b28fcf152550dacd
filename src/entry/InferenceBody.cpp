#include "entry/InferenceBody.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace dragonfly::entry {

namespace {

    Error badRequest(std::string detail)
    {
        return { ErrorKind::BadRequest, std::move(detail), Execution::NotRun, {} };
    }

    QString qString(const std::string& text)
    {
        return QString::fromStdString(text);
    }

    /// All messages in order; empty when they have another form than role and text.
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
        return badRequest("model: a text is required");
    body.model = body.fields["model"].toString().toStdString();
    if (shape == InferenceShape::Chat) {
        const auto prompt = joinMessages(body.fields["messages"].toArray());
        if (!prompt || prompt->empty())
            return badRequest("messages: a list of objects with the texts role and content is required");
        body.prompt = *prompt;
    } else {
        if (!body.fields["prompt"].isString())
            return badRequest("prompt: a text is required");
        body.prompt = body.fields["prompt"].toString().toStdString();
    }
    body.stream = body.fields["stream"].toBool();
    body.wantsUsage = body.fields["stream_options"].toObject()["include_usage"].toBool();
    return body;
}

std::string toEngineBody(const InferenceBody& body, const EngineOrder& order)
{
    auto fields = body.fields;
    fields["stream"] = true;
    fields["stream_options"] = QJsonObject { { "include_usage", true }, { "continuous_usage_stats", true } };
    fields["request_id"] = qString(order.attempt);
    fields["cache_salt"] = qString(order.cacheSalt);
    fields["expected_weights"] = qString(order.weights);
    fields["priority"] = static_cast<int>(order.priority);
    if (order.resumeTokens)
        fields["resume"]
            = QJsonObject { { "tokens", static_cast<int>(order.resumeTokens) }, { "text", qString(order.resumeText) } };
    return QJsonDocument(fields).toJson(QJsonDocument::Compact).toStdString();
}

}
