#pragma once
// Spans, one for each hop of a sampled request, exported in the OTLP/HTTP JSON format.
//
// Exporting never holds up a request: the queue is bounded, and what does not fit is counted and dropped.

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
    std::string spanId; ///< 16 hexadecimal digits: the span that is open now
    std::string parentId; ///< the caller's span; empty at the root
    bool sampled = false;
};

/// Continues the context in @p traceparent, or begins one that is sampled with probability @p sample.
TraceContext beginTrace(std::string_view traceparent, double sample);
/// A span below @p parent.
TraceContext childOf(const TraceContext& parent);
/// The header value that carries @p context on.
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

class SpanExporter : public QObject {
    Q_OBJECT
public:
    /// @param collector receives POST /v1/traces; nothing is exported without one
    SpanExporter(std::optional<Endpoint> collector, const std::string& instance, QObject* parent = nullptr);

    /// From any thread.
    void submit(Span span);

private:
    void post();

    std::optional<Endpoint> collector;
    std::string instance;
    QNetworkAccessManager network;
    QTimer timer;
    std::mutex mutex;
    std::vector<Span> waiting; ///< guarded by mutex
    uint64_t dropped = 0; ///< guarded by mutex
};

}
