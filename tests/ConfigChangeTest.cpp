// Changes of the configuration beside open requests and idle connections: each request that was sent whole gets one
// whole answer, or its connection ends without the request having been read.

#include "tests/support/ForwardSite.h"
#include "tests/support/RawCaller.h"
#include "tests/support/ScriptedTarget.h"

#include <criterion/criterion.h>
#include <random>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 8s;
/// Within which a caller learns that its request gets no answer.
constexpr auto lossSlack = 200ms;

std::string requestText(const std::string& id, const std::string& path, const std::string& body = "body")
{
    std::string text = "POST " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Dragonflyarch-Attempt-Id: " + id
        + "\r\nX-Dragonflyarch-Deadline-Ms: 5000\r\nAuthorization: Bearer " + forwardKey + "\r\n";
    if (path.starts_with("/ask/") || path.starts_with("/once/"))
        text += "X-Dragonflyarch-Model: m\r\nX-Dragonflyarch-Token-Usage: 300,10\r\n"
                "X-Dragonflyarch-Prompt-Prefix: aa:200,bb:100\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The statuses of the whole answers at the beginning of @p received; -1 at the end if something incomplete follows.
std::vector<int> wholeAnswers(const std::string& received)
{
    std::vector<int> statuses;
    size_t at = 0;
    while (at < received.size()) {
        const auto headEnd = received.find("\r\n\r\n", at);
        if (headEnd == std::string::npos)
            break;
        const auto head = received.substr(at, headEnd + 2 - at);
        const auto length = head.find("\r\nContent-Length: ");
        size_t end = std::string::npos;
        if (length != std::string::npos) {
            end = headEnd + 4 + std::stoul(head.substr(length + 18));
        } else {
            const auto last = received.find("\r\n0\r\n\r\n", headEnd);
            end = last == std::string::npos ? last : last + 7;
        }
        if (end > received.size())
            break;
        statuses.push_back(std::stoi(head.substr(head.find(' ') + 1)));
        at = end;
    }
    if (at < received.size())
        statuses.push_back(-1);
    return statuses;
}

std::string toText(const std::vector<int>& statuses)
{
    std::string text;
    for (const int status : statuses)
        text += std::to_string(status) + " ";
    return text;
}

/// Receives until there are @p count whole answers, or the connection has ended.
std::vector<int> receiveAnswers(RawCaller& caller, size_t count)
{
    waitUntil(
        [&] {
            caller.receive();
            const auto statuses = wholeAnswers(caller.received);
            return caller.ended || (statuses.size() >= count && statuses.back() != -1);
        },
        patience);
    return wholeAnswers(caller.received);
}

std::string answerTo(const std::string& id, bool isRefused)
{
    return std::string(isRefused ? "HTTP/1.1 503 Service Unavailable\r\nX-Dragonflyarch-Not-Executed: 1\r\n"
                                 : "HTTP/1.1 200 OK\r\n")
        + "X-Dragonflyarch-Attempt-Id: " + id + "\r\nX-Dragonflyarch-Response-Stamp: s-" + id
        + "\r\nContent-Length: 2\r\n\r\nok";
}

using Edit = std::function<void(QJsonObject&)>;

/// Replaces the routes of the configuration by what @p change makes of each; a null value removes the route.
Edit eachRoute(const std::function<QJsonValue(QJsonObject)>& change)
{
    return [change](QJsonObject& config) {
        QJsonArray routes;
        for (const auto& route : config["routes"].toArray()) {
            const auto changed = change(route.toObject());
            if (!changed.isNull())
                routes.append(changed);
        }
        config["routes"] = routes;
    };
}

Edit withLimits(const QJsonObject& limits)
{
    return [limits](QJsonObject& config) { config["limits"] = limits; };
}

struct Change {
    const char* name;
    QStringList keys;
    int timeoutMs = 5000;
    std::vector<Edit> edits; ///< one for each configuration, published at once
    bool hangUp = false;
};

std::vector<Change> allChanges()
{
    const QStringList same { forwardKey };
    const auto moved = eachRoute([](QJsonObject route) {
        route["service"] = route["service"].toString() == "desk" ? "engines" : "desk";
        return route;
    });
    const auto removed = eachRoute(
        [](const QJsonObject& route) { return route["name"].toString() == "open" ? QJsonValue(route) : QJsonValue(); });
    const auto none = [](QJsonObject&) {};
    return { { "key removed", { "another-key" }, 5000, { none }, false },
        { "no organisations", same, 5000, { [](QJsonObject& config) { config["tenants"] = QJsonArray(); } }, false },
        { "routes removed", same, 5000, { removed }, false }, { "routes moved", same, 5000, { moved }, false },
        { "services removed", same, 5000, { [](QJsonObject& config) { config["services"] = QJsonArray(); } }, false },
        { "shorter timeout", same, 100, { none }, false }, { "shortest timeout", same, 1, { none }, false },
        { "longer timeout", same, 20000, { none }, false },
        { "smaller limits", same, 5000,
            { withLimits({ { "max_body_bytes", 2 }, { "max_header_bytes", 64 }, { "header_timeout_ms", 50 },
                { "idle_timeout_ms", 50 } }) },
            false },
        { "no limits", same, 5000, { [](QJsonObject& config) { config.remove("limits"); } }, false },
        { "no idle time", same, 5000, { withLimits({ { "idle_timeout_ms", 0 } }) }, false },
        { "several at once", { "another-key" }, 5000,
            { removed, moved, withLimits({ { "idle_timeout_ms", 100 } }), withLimits({ { "max_body_bytes", 2 } }),
                none },
            true } };
}

/// A site whose plain service consists of targets in the test, more than can refuse a request at the same time.
struct ChangingSite {
    Application application;
    ForwardSite site;
    std::map<std::string, int> arrivals; ///< by request id
    std::vector<std::unique_ptr<ScriptedTarget>> targets;

    ChangingSite()
    {
        for (int i = 0; i < 6; ++i) {
            this->targets.push_back(std::make_unique<ScriptedTarget>(
                "X-Dragonflyarch-Attempt-Id", [this](const ScriptedRequest& request, QTcpSocket& socket) {
                    const bool isRefused = request.id.starts_with("retried") && ++this->arrivals[request.id] == 1;
                    ScriptedTarget::writeLater(socket, 900ms, answerTo(request.id, isRefused));
                }));
            this->site.registerTarget("scripted-" + QString::number(i), "desk", "", this->targets.back()->address());
        }
        for (const auto& service : this->site.services)
            control(service->address(), { { "draining", true } });
        for (const auto& engine : this->site.engines)
            control(engine->address(), { { "work_ms", 500 }, { "event_ms", 150 }, { "events", 12 } });
        this->site.publish({ forwardKey }, 5000, 2000);
        this->site.startEntry();
        this->site.waitUntilInForce();
        runFor(200ms);
        std::vector<AnswerPointer> answers; // first sends, which earn retries
        for (int i = 0; i < 20; ++i)
            answers.push_back(this->site.send({ "warm-" + std::to_string(i), "/open/x" }));
        cr_assert(waitForAll(answers, patience));
    }

    void apply(const Change& change)
    {
        if (change.hangUp)
            this->site.entries[0]->hangUp();
        for (const auto& edit : change.edits) {
            this->site.editConfig = edit;
            this->site.publish(change.keys, change.timeoutMs, 2000);
        }
        if (change.hangUp)
            this->site.entries[0]->hangUp();
    }
};

void checkOpenRequests(const Change& change)
{
    ChangingSite changing;
    auto& entry = *changing.site.entries[0];
    const auto address = entry.address();
    std::map<std::string, std::unique_ptr<RawCaller>> callers;
    const auto open = [&](const std::string& name, const std::string& bytes) {
        callers[name] = std::make_unique<RawCaller>(address);
        cr_assert(callers[name]->send(bytes));
    };
    open("stream", requestText("stream", "/ask/x"));
    open("once", requestText("once", "/once/x"));
    cr_assert(callers["stream"]->receiveUntil("id: 1\n"));
    cr_assert(callers["once"]->receiveUntil("id: 1\n"));
    open("queued at an engine", requestText("queued", "/ask/x"));
    open("at a target", requestText("kept", "/book/x"));
    open("between two attempts", requestText("retried-read", "/read/x"));
    open("between two attempts, at most once", requestText("retried-book", "/book/x"));
    open("anonymous", requestText("retried-open", "/open/x"));
    open("pipelined", requestText("front", "/book/x") + requestText("behind", "/book/x"));
    const auto late = requestText("late", "/book/x", std::string(50000, 'b'));
    open("body arriving", late.substr(0, 30000));
    const auto head = requestText("head", "/book/x");
    open("head arriving", head.substr(0, 40));
    runFor(300ms);
    changing.apply(change);
    changing.site.waitUntilInForce();
    cr_assert(callers["body arriving"]->send(late.substr(30000)));
    cr_expect(callers["head arriving"]->send(head.substr(40)));
    for (const auto& [name, caller] : callers) {
        const size_t expected = name == "pipelined" ? 2 : 1;
        const auto statuses = receiveAnswers(*caller, expected);
        cr_expect_eq(statuses.size(), expected, "%s, %s: %s", change.name, name.c_str(), toText(statuses).c_str());
        const bool isWhole = !statuses.empty() && statuses.back() != -1;
        cr_expect(isWhole, "%s, %s: %s", change.name, name.c_str(), caller->received.c_str());
        // What was read whole before the change is served as it was.
        const bool wasReadBefore = name != "pipelined" && name != "head arriving" && name != "body arriving";
        if (wasReadBefore && isWhole)
            cr_expect_eq(statuses[0], 200, "%s, %s: %s", change.name, name.c_str(), toText(statuses).c_str());
        cr_expect_not(caller->wasReset, "%s, %s", change.name, name.c_str());
    }
}

/// Requests that wait unread, in the listen backlog and on a kept connection, while the configuration changes.
void checkUnreadRequests(const Change& change)
{
    ChangingSite changing;
    auto& entry = *changing.site.entries[0];
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<RawCaller>(entry.address()));
        cr_assert(callers.back()->send(requestText("first-" + std::to_string(i), "/open/x")));
    }
    for (const auto& caller : callers) {
        cr_assert_eq(receiveAnswers(*caller, 1).size(), 1);
        caller->received.clear();
    }
    entry.freeze();
    changing.apply(change);
    for (int i = 0; i < 4; ++i) {
        cr_assert(callers[static_cast<size_t>(i)]->send(requestText("kept-" + std::to_string(i), "/read/x")));
        callers.push_back(std::make_unique<RawCaller>(entry.address()));
        cr_assert(callers.back()->send(requestText("new-" + std::to_string(i), "/read/x")));
    }
    runFor(700ms);
    entry.thaw();
    for (size_t i = 0; i < callers.size(); ++i) {
        const auto statuses = receiveAnswers(*callers[i], 1);
        cr_expect(statuses.size() == 1 && statuses[0] != -1, "%s, %zu: %s", change.name, i, toText(statuses).c_str());
        cr_expect_not(callers[i]->wasReset, "%s, %zu", change.name, i);
    }
}

}

Test(configChange, openRequestsGetWholeAnswers, .timeout = 240)
{
    for (const auto& change : allChanges())
        checkOpenRequests(change);
}

Test(configChange, requestsThatWaitUnreadGetWholeAnswers, .timeout = 240)
{
    for (const auto& change : allChanges())
        checkUnreadRequests(change);
}

Test(configChange, callersThatKeepToTheLastIdleTimeLoseNoRequest, .timeout = 120)
{
    const Application application;
    ForwardSite site;
    auto& entry = site.startEntry();
    constexpr int callerCount = 24;
    struct IdleCaller {
        std::unique_ptr<RawCaller> connection;
        Clock::time_point idleSince;
        Clock::time_point due; ///< of the next request
        Clock::time_point sentAt;
        bool awaits = false;
        int sent = 0;
        int reused = 0;
    };
    std::vector<IdleCaller> callers(callerCount);
    std::mt19937 random(1);
    auto idleTime = 10000ms;
    int unanswered = 0;
    int late = 0;
    const auto step = [&](IdleCaller& caller, size_t number) {
        const auto now = Clock::now();
        if (caller.connection)
            caller.connection->receive();
        if (caller.awaits) {
            const auto statuses = wholeAnswers(caller.connection->received);
            if (statuses.size() == 1 && statuses[0] != -1) {
                caller.awaits = false;
                caller.connection->received.clear();
                caller.idleSince = now;
                std::uniform_int_distribution<int64_t> wait(0, idleTime.count() * 6 / 5);
                caller.due = now + std::chrono::milliseconds(wait(random));
            } else if (caller.connection->ended) {
                ++unanswered;
                late += now - caller.sentAt > lossSlack;
                caller.awaits = false;
            }
        }
        if (caller.awaits || now < caller.due)
            return;
        const bool isReusable
            = caller.connection && !caller.connection->ended && now - caller.idleSince <= idleTime * 4 / 5;
        if (!isReusable)
            caller.connection = std::make_unique<RawCaller>(entry.address());
        else
            ++caller.reused;
        caller.connection->send(requestText(std::to_string(number) + "-" + std::to_string(caller.sent++), "/read/x"));
        caller.sentAt = now;
        caller.awaits = true;
    };
    const auto run = [&](std::chrono::milliseconds duration) {
        const auto end = Clock::now() + duration;
        waitUntil(
            [&] {
                for (size_t i = 0; i < callers.size(); ++i)
                    step(callers[i], i);
                return Clock::now() >= end;
            },
            duration + 1s);
    };
    run(500ms);
    for (const auto next : { 400ms, 2000ms, 300ms, 1500ms, 500ms, 3000ms, 400ms }) {
        site.editConfig = withLimits({ { "idle_timeout_ms", static_cast<qint64>(next.count()) } });
        site.publish({ forwardKey });
        entry.hangUp();
        idleTime = next;
        run(2s);
    }
    int reused = 0;
    for (const auto& caller : callers)
        reused += caller.reused;
    cr_expect_gt(reused, 100, "%d", reused);
    cr_expect_eq(unanswered, 0, "%d without an answer, %d of them late", unanswered, late);
}
