// For a sampled request the collector receives one span for each hop, each a child of the one before, and the
// first a child of the caller's span.

#include "tests/support/Site.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <criterion/criterion.h>

using namespace testing;
using namespace std::chrono_literals;

namespace {

constexpr const char* callerTraceId = "0af7651916cd43dd8448eb211c80319c";
constexpr const char* callerSpanId = "b7ad6b7169203331";

/// The spans in @p exports, the bodies of the requests that the collector received.
std::vector<QJsonObject> spansOf(const std::vector<std::string>& exports)
{
    std::vector<QJsonObject> spans;
    for (const auto& body : exports) {
        const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
        for (const auto& resource : document["resourceSpans"].toArray()) {
            for (const auto& scope : resource.toObject()["scopeSpans"].toArray()) {
                for (const auto& span : scope.toObject()["spans"].toArray())
                    spans.push_back(span.toObject());
            }
        }
    }
    return spans;
}

}

Test(trace, entryAndAttemptSpansAreLinkedToCallerSpan, .timeout = 60)
{
    const Application application;
    std::vector<std::string> exports;
    dragonfly::http::Server collector({}, [&exports](const dragonfly::http::ExchangePointer& exchange) {
        exports.push_back(exchange->request().body);
        exchange->respond(200, {}, "{}");
    });
    const auto listening = collector.listenShared({ "127.0.0.1", 0 });
    SiteOptions options;
    options.extraSettings
        = "trace: { collectors: [" + std::get<dragonfly::Endpoint>(listening).toString() + "], sample: 0 }\n";
    Site site(options);
    site.startEntry();
    Caller caller(apiKey);
    const auto parent = std::string("00-") + callerTraceId + "-" + callerSpanId + "-01";
    const auto traced = caller.post(
        site.entry(0), "/v1/completions", R"({"model":"assistant","prompt":"hello"})", { { "traceparent", parent } });
    const auto untraced = caller.complete(site.entry(0), "assistant", "hello", 1, "untraced");
    cr_assert(waitForAll({ traced, untraced }, 10s));
    cr_assert(waitUntil([&] { return spansOf(exports).size() >= 2; }, 5s));
    runFor(1500ms);
    const auto spans = spansOf(exports);
    cr_assert_eq(spans.size(), 2, "one span for the entry, one for the attempt, none for the request not sampled");
    const auto& entry = spans[0]["name"].toString() == "entry" ? spans[0] : spans[1];
    const auto& attempt = spans[0]["name"].toString() == "entry" ? spans[1] : spans[0];
    cr_assert(entry["traceId"].toString() == callerTraceId && attempt["traceId"].toString() == callerTraceId);
    cr_assert(entry["parentSpanId"].toString() == callerSpanId);
    cr_assert(attempt["parentSpanId"] == entry["spanId"]);
}
