// Changes of the configuration beside open requests and idle connections: each request that was sent whole gets one
// whole answer, or its connection ends without the request having been read.

#include "tests/support/ForwardSite.h"
#include "tests/support/RawCaller.h"
#include "tests/support/ScriptedTarget.h"

#include <array>
#include <criterion/criterion.h>
#include <cstdlib>
#include <random>
#include <set>

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

namespace {

constexpr std::chrono::milliseconds minHeaderTime { 200 }; ///< of the configurations of a play
constexpr size_t largeAnswerBytes = 300 << 10; ///< more than a slow caller's system buffers

/// One caller, which uses its connection for as long as the answers say that it is kept.
class KeptCaller {
public:
    KeptCaller(std::string name, const Endpoint& entry, bool isSlow, unsigned seed)
        : name(std::move(name))
        , entry(entry)
        , isSlow(isSlow)
        , random(seed)
    {
    }

    enum class Sending {
        Anywhere,
        OnKeptConnection,
        Nothing,
    };

    /// Receives what has arrived; sends the next request when it is due, and @p sending allows it.
    void step(Sending sending)
    {
        const auto now = Clock::now();
        if (this->connection)
            this->connection->receive(this->isSlow ? 2 << 10 : SIZE_MAX);
        if (!this->unsent.empty() && now >= this->restDue)
            this->sendRest(now);
        if (this->awaits)
            this->checkAnswer(now);
        const bool mayBegin
            = sending == Sending::Anywhere || (sending == Sending::OnKeptConnection && this->isReusable());
        if (!this->awaits && mayBegin && now >= this->due)
            this->begin(now);
    }

    bool awaits = false;
    std::map<int, int> answers; ///< by status
    int reused = 0;
    int timedOut = 0; ///< requests that this process, when it was busy, did not send within minHeaderTime
    std::vector<std::string> unread; ///< requests whose connections ended in time without an answer
    std::vector<std::string> lost; ///< the others without one whole answer, with what was seen

private:
    int draw(int below)
    {
        return std::uniform_int_distribution<int>(0, below - 1)(this->random);
    }
    bool isReusable() const
    {
        return this->connection && !this->connection->ended && !this->isToClose;
    }
    void begin(Clock::time_point now)
    {
        constexpr std::array paths { "/ask/x", "/once/x", "/read/x", "/read/x", "/book/x", "/open/x" };
        this->sendBegunAt = now;
        if (!this->isReusable())
            this->connection = std::make_unique<RawCaller>(this->entry, this->isSlow ? 4 << 10 : 0);
        else
            ++this->reused;
        this->connection->received.clear();
        this->isToClose = false;
        this->awaits = true;
        this->id = (this->isSlow ? "large-" : "") + this->name + "-" + std::to_string(this->sent++);
        const auto* path = this->isSlow ? "/read/x" : paths[static_cast<size_t>(this->draw(paths.size()))];
        this->unsent = requestText(this->id, path);
        this->expected = this->draw(5) ? 1 : 2;
        if (this->expected == 2)
            this->unsent += requestText(this->id + "-behind", path);
        if (!this->draw(4)) { // the head arrives in two parts
            this->connection->send(this->unsent.substr(0, 40));
            this->unsent.erase(0, 40);
            this->restDue = now + std::chrono::milliseconds(this->draw(120));
            return;
        }
        this->sendRest(now);
    }
    void sendRest(Clock::time_point now)
    {
        this->connection->send(std::exchange(this->unsent, {}));
        this->sentAt = now;
        this->isLate = now - this->sendBegunAt >= minHeaderTime;
    }
    void checkAnswer(Clock::time_point now)
    {
        const auto& received = this->connection->received;
        const auto statuses = wholeAnswers(received);
        const auto described = this->id + ": " + toText(statuses) + "after "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - this->sendBegunAt).count())
            + " ms";
        const bool isWhole = statuses.size() == this->expected && statuses.back() != -1;
        const bool isTimedOut = this->isLate && statuses == std::vector { 408 };
        if (isWhole || isTimedOut) {
            this->timedOut += isTimedOut;
            for (const auto status : statuses)
                this->answers[status] += !isTimedOut;
            this->isToClose = received.find("\r\nConnection: close\r\n") != std::string::npos;
            this->due = now + std::chrono::milliseconds(this->draw(2) ? 0 : this->draw(600));
        } else if (this->connection->ended) {
            const bool isInTime = !this->unsent.empty() || now <= this->sentAt + lossSlack;
            (received.empty() && isInTime ? this->unread : this->lost).push_back(described);
        } else if (now >= this->sendBegunAt + patience) {
            this->lost.push_back(described + ", still open");
            this->isToClose = true;
        } else {
            return;
        }
        this->awaits = false;
        this->unsent.clear();
    }

    std::string name;
    Endpoint entry;
    bool isSlow;
    std::mt19937 random;
    std::unique_ptr<RawCaller> connection;
    std::string id;
    std::string unsent;
    size_t expected = 1; ///< answers: 2 if a request was sent behind another
    Clock::time_point restDue; ///< of what is unsent
    Clock::time_point sendBegunAt;
    Clock::time_point sentAt; ///< the last byte
    Clock::time_point due; ///< the next request
    bool isToClose = false;
    bool isLate = false; ///< the current request was not sent within minHeaderTime
    int sent = 0;
};

/// A site with changing limits whose callers keep their connections.
class KeptSite {
public:
    KeptSite()
        : random(this->seed)
    {
        for (int i = 0; i < 6; ++i) {
            this->targets.push_back(std::make_unique<ScriptedTarget>("X-Dragonflyarch-Attempt-Id",
                [this](const ScriptedRequest& request, QTcpSocket& socket) { this->answer(request, socket); }));
            this->site.registerTarget("scripted-" + QString::number(i), "desk", "", this->targets.back()->address());
        }
        for (const auto& service : this->site.services)
            control(service->address(), { { "draining", true } });
        for (const auto& engine : this->site.engines)
            control(engine->address(), { { "work_ms", 20 }, { "event_ms", 60 }, { "events", 8 } });
        this->site.publish({ forwardKey }, 5000, 2000);
        this->site.startEntry();
        this->site.waitUntilInForce();
        for (unsigned i = 0; i < 24; ++i)
            this->callers.push_back(std::make_unique<KeptCaller>(
                "c" + std::to_string(i), this->entry().address(), i % 2 == 0, this->seed * 1000 + i));
    }

    Process& entry()
    {
        return *this->site.entries[0];
    }
    void run(std::chrono::milliseconds time, KeptCaller::Sending sending)
    {
        const auto end = Clock::now() + time;
        waitUntil(
            [&] {
                bool anyAwaits = false;
                for (const auto& each : this->callers) {
                    each->step(sending);
                    anyAwaits = anyAwaits || each->awaits;
                }
                return Clock::now() >= end || (sending == KeptCaller::Sending::Nothing && !anyAwaits);
            },
            time + 1s);
    }
    void changeLimits(std::chrono::milliseconds duration)
    {
        const auto end = Clock::now() + duration;
        while (Clock::now() < end) {
            this->run(std::chrono::milliseconds(50 + this->draw(500)), KeptCaller::Sending::Anywhere);
            const int kind = this->draw(10);
            for (int i = 0; i < (kind < 2 ? 6 : 1); ++i)
                this->publish();
            if (kind == 3 || kind == 4)
                this->entry().hangUp();
            if (kind == 5) {
                auto& engine = *this->site.engines[static_cast<size_t>(this->draw(2))];
                engine.freeze();
                this->run(1s, KeptCaller::Sending::Anywhere);
                engine.thaw();
            }
        }
    }
    /// @param mayRefuse whether requests may be refused as not run
    void check(bool mayRefuse)
    {
        int unread = 0;
        for (const auto& each : this->callers) {
            for (const auto& text : each->lost)
                cr_expect_fail("seed %u: %s", this->seed, text.c_str());
            for (const auto& text : each->unread)
                cr_expect(
                    !this->arrived.contains(text.substr(0, text.find(':'))), "seed %u: %s", this->seed, text.c_str());
            for (const auto& [status, count] : each->answers)
                cr_expect(!count || status == 200 || (mayRefuse && status == 503), "seed %u: %d answers %d", this->seed,
                    count, status);
            this->whole += each->answers[200];
            this->reused += each->reused;
            this->timedOut += each->timedOut;
            unread += static_cast<int>(each->unread.size());
        }
        cr_log_info("seed %u: %d whole answers, %d on used connections, %d left unread", this->seed, this->whole,
            this->reused, unread);
        cr_expect_gt(this->reused, static_cast<int>(this->callers.size()), "%d", this->reused);
        cr_expect(this->timedOut || !this->entry().printedLine("whole_head=yes"), "seed %u", this->seed);
        cr_expect_not(this->entry().printedLine("request released without an answer"), "seed %u", this->seed);
    }

    int whole = 0;
    int reused = 0;
    int timedOut = 0;

private:
    int draw(int below)
    {
        return std::uniform_int_distribution<int>(0, below - 1)(this->random);
    }
    void publish()
    {
        constexpr std::array idleTimes { 0, 0, 1, 50, 300, 2000, 10000 };
        QJsonObject limits { { "max_body_bytes", 100000 },
            { "idle_timeout_ms", idleTimes[static_cast<size_t>(this->draw(idleTimes.size()))] } };
        if (!this->draw(3))
            limits["header_timeout_ms"] = static_cast<int>(minHeaderTime.count()) + this->draw(3000);
        this->site.editConfig = withLimits(limits);
        this->site.publish({ forwardKey }, 5000, 2000);
    }
    void answer(const ScriptedRequest& request, QTcpSocket& socket)
    {
        this->arrived.insert(request.id);
        const bool isLarge = request.id.starts_with("large-");
        const auto silence = this->draw(20) ? std::chrono::milliseconds(this->draw(150)) : 1000ms;
        ScriptedTarget::writeLater(socket, silence,
            "HTTP/1.1 200 OK\r\nX-Dragonflyarch-Attempt-Id: " + request.id + "\r\nX-Dragonflyarch-Response-Stamp: s-"
                + request.id + "\r\nContent-Length: " + std::to_string(isLarge ? largeAnswerBytes : 2) + "\r\n\r\n"
                + (isLarge ? std::string(largeAnswerBytes, 'x') : "ok"));
    }

    const char* seedText = std::getenv("DRAGONFLY_TEST_SEED");
    unsigned seed = seedText ? static_cast<unsigned>(std::atoi(seedText)) : 3;
    std::mt19937 random;
    const Application application;
    ForwardSite site;
    std::set<std::string> arrived; ///< ids of requests that reached a scripted target
    std::vector<std::unique_ptr<ScriptedTarget>> targets;
    std::vector<std::unique_ptr<KeptCaller>> callers;
};

}

Test(configChange, requestsOnKeptConnectionsAreAnsweredOrLeftUnreadWhileLimitsChange, .timeout = 120)
{
    KeptSite kept;
    kept.changeLimits(8s);
    kept.run(patience + 1s, KeptCaller::Sending::Nothing);
    kept.check(false);
    const auto begun = metricOf(kept.entry(), "dragonfly_requests_begun_total");
    cr_expect_eq(begun, kept.whole, "%f begun, %d answered", begun, kept.whole);
    cr_expect_eq(metricOf(kept.entry(), "dragonfly_requests_ended_total"), begun);
    cr_expect_eq(metricOf(kept.entry(), "dragonfly_requests_unanswered_total"), 0);
    cr_expect_leq(metricOf(kept.entry(), "dragonfly_discarded_inputs_total"), kept.timedOut);
}

Test(configChange, requestsOnKeptConnectionsAreAnsweredOrLeftUnreadWhenTheInstanceStopsAfterAChange, .timeout = 120)
{
    KeptSite kept;
    kept.changeLimits(4s);
    kept.entry().terminate();
    kept.run(patience, KeptCaller::Sending::OnKeptConnection);
    kept.run(patience, KeptCaller::Sending::Nothing);
    cr_expect_eq(kept.entry().waitForExit(patience), 0);
    kept.check(true);
}
