#pragma once
// Trace spans of sampled requests, one for each hop, exported in the OTLP/HTTP JSON format.
//
// Exporting never delays a request: the queue is bounded, and spans that exceed it are dropped and counted.

#include "base/Base.h"

#include <QNetworkAccessManager>
#include <QObject>
#include <QTimer>
#include <mutex>
#include <optional>
#include <vector>

namespace dragonfly::observe {

/// The W3C trace context of one request.
struct TraceContext {
    std::string traceId; ///< 32 hexadecimal digits
    std::string spanId; ///< 16 hexadecimal digits; the current span
    std::string parentId; ///< the parent span; empty for a root span
    bool sampled = false;
};

/// Continues the trace in @p traceparent, or starts a new one when it is malformed or empty. A new trace is sampled
/// with probability @p sampleProbability.
TraceContext beginTrace(std::string_view traceparent, double sampleProbability);
/// The context of a new child span of @p parent.
TraceContext childOf(const TraceContext& parent);
/// The value of the traceparent header for @p context.
std::string toTraceparent(const TraceContext& context);

struct SpanAttribute {
    std::string name;
    std::string value;
};

struct Span {
    TraceContext context;
    std::string name;
    WallClock::time_point start;
    WallClock::time_point end;
    std::vector<SpanAttribute> attributes;
    bool failed = false;
};

/// Collects spans and sends them to a collector at regular intervals.
class SpanExporter : public QObject {
    Q_OBJECT
public:
    /// @param collector receives the spans at POST /v1/traces; without one nothing is exported
    SpanExporter(std::optional<Endpoint> collector, const std::string& instance, QObject* parent = nullptr);

    /// Queues @p span for export when its trace is sampled. Thread-safe.
    void submit(Span span);

private:
    void exportQueue();

    std::optional<Endpoint> collector;
    std::string instance;
    QNetworkAccessManager network;
    QTimer timer;
    std::mutex mutex;
    std::vector<Span> queue; ///< guarded by mutex
    uint64_t dropped = 0; ///< spans that exceeded the queue; guarded by mutex
};

}
