#include "observe/Trace.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkReply>
#include <QRandomGenerator>

namespace dragonfly::observe {

namespace {

    constexpr size_t maxQueuedSpans = 4096;
    constexpr std::chrono::milliseconds exportInterval { 1000 };
    constexpr int exportTimeoutMs = 5000;
    // A traceparent has the form "00-<trace id>-<parent span id>-<flags>", with two hexadecimal digits of flags.
    constexpr size_t traceIdDigits = 32;
    constexpr size_t spanIdDigits = 16;
    constexpr size_t traceparentLength = 55;
    constexpr int otlpStatusError = 2;
    constexpr int otlpSpanKindServer = 2;

    QJsonObject attribute(const std::string& name, const std::string& value)
    {
        const QJsonObject text { { "stringValue", QString::fromStdString(value) } };
        return { { "key", QString::fromStdString(name) }, { "value", text } };
    }

    QString nanoseconds(WallClock::time_point time)
    {
        return QString::number(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
    }

    QJsonObject toJson(const Span& span)
    {
        QJsonArray attributes;
        for (const auto& field : span.attributes)
            attributes.append(attribute(field.name, field.value));
        QJsonObject object;
        object["traceId"] = QString::fromStdString(span.context.traceId);
        object["spanId"] = QString::fromStdString(span.context.spanId);
        object["parentSpanId"] = QString::fromStdString(span.context.parentId);
        object["name"] = QString::fromStdString(span.name);
        object["kind"] = otlpSpanKindServer;
        object["startTimeUnixNano"] = nanoseconds(span.start);
        object["endTimeUnixNano"] = nanoseconds(span.end);
        object["attributes"] = attributes;
        if (span.failed)
            object["status"] = QJsonObject { { "code", otlpStatusError } };
        return object;
    }

    bool isHex(std::string_view text)
    {
        return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

}

TraceContext beginTrace(std::string_view traceparent, double sampleProbability)
{
    TraceContext context;
    context.spanId = randomId().substr(0, spanIdDigits);
    const bool wellFormed = traceparent.size() >= traceparentLength && isHex(traceparent.substr(3, traceIdDigits))
        && isHex(traceparent.substr(36, spanIdDigits));
    if (wellFormed) {
        context.traceId = traceparent.substr(3, traceIdDigits);
        context.parentId = traceparent.substr(36, spanIdDigits);
        context.sampled = traceparent[traceparentLength - 1] == '1';
        return context;
    }
    context.traceId = randomId();
    context.sampled = QRandomGenerator::global()->generateDouble() < sampleProbability;
    return context;
}

TraceContext childOf(const TraceContext& parent)
{
    return { parent.traceId, randomId().substr(0, spanIdDigits), parent.spanId, parent.sampled };
}

std::string toTraceparent(const TraceContext& context)
{
    return "00-" + context.traceId + "-" + context.spanId + (context.sampled ? "-01" : "-00");
}

SpanExporter::SpanExporter(std::optional<Endpoint> collector, const std::string& instance, QObject* parent)
    : QObject(parent)
    , collector(std::move(collector))
    , instance(instance)
{
    connect(&this->timer, &QTimer::timeout, this, &SpanExporter::exportQueue);
    if (this->collector)
        this->timer.start(exportInterval);
}

void SpanExporter::submit(Span span)
{
    if (!this->collector || !span.context.sampled)
        return;
    const std::lock_guard lock(this->mutex);
    if (this->queue.size() < maxQueuedSpans)
        this->queue.push_back(std::move(span));
    else
        ++this->dropped;
}

void SpanExporter::exportQueue()
{
    std::vector<Span> spans;
    {
        const std::lock_guard lock(this->mutex);
        spans.swap(this->queue);
    }
    if (spans.empty())
        return;
    QJsonArray list;
    for (const auto& span : spans)
        list.append(toJson(span));
    const QJsonObject resource { { "attributes",
        QJsonArray { attribute("service.name", "dragonflyd"), attribute("service.instance.id", this->instance) } } };
    const QJsonObject scope { { "spans", list } };
    const QJsonObject resourceSpans { { "resource", resource }, { "scopeSpans", QJsonArray { scope } } };
    const QJsonObject body { { "resourceSpans", QJsonArray { resourceSpans } } };
    QNetworkRequest request(QUrl(QString::fromStdString("http://" + this->collector->toString() + "/v1/traces")));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setTransferTimeout(exportTimeoutMs);
    // Qt may resend this request by itself; this is harmless, as a repeated span has the same identifiers.
    auto* reply = this->network.post(request, QJsonDocument(body).toJson(QJsonDocument::Compact));
    connect(reply, &QNetworkReply::finished, reply, &QObject::deleteLater);
}

}
