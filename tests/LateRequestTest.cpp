// Requests that arrive during a planned stop: each gets its whole answer or a final refusal, whenever it arrives and
// however long its target works.

#include "forward/StopTimes.h"
#include "tests/support/ForwardSite.h"
#include "tests/support/ScriptedTarget.h"

#include <QPointer>
#include <QTcpSocket>
#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace dragonfly::forward;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// Longer than any grace period here: what a target with this work answers comes too late.
constexpr milliseconds endless { 60000 };
constexpr milliseconds shortWork { 50 };
constexpr int targetLatencyMs = 200;
/// An answer that needs no target comes within this time.
constexpr milliseconds atOnce { 300 };
/// The platform excuses the cut of an answer whose target is still at work, from the last sixth of the grace period on,
/// if the request was sent by this time after the signal.
constexpr milliseconds excusedAge { 3000 };
constexpr milliseconds beforeSignal { 500 }; ///< from the preparation of the requests to the signal
constexpr milliseconds waitBehindAnswer { 100 }; ///< from sending a request to the end of the answer before it
constexpr const char* idField = "X-Dragonflyarch-Attempt-Id";

enum class Way {
    NewConnection,
    KeptConnection, ///< an earlier answer has ended
    BehindAnswer, ///< sent while an earlier answer is on its way
    LateBody, ///< the head and the first half of the body were sent before the signal
};

/// A request that is sent during a stop.
struct Late {
    std::string id;
    std::string path;
    Way way = Way::NewConnection;
    milliseconds at { 0 }; ///< when it is sent, from the signal on
    milliseconds work { 0 }; ///< time that the target takes for the answer
    milliseconds deadline { 0 };
    std::shared_ptr<QTcpSocket> socket = std::make_shared<QTcpSocket>();
    bool isBehindAnswer = false; ///< an earlier answer on its connection has not ended
    std::string received; ///< on its connection, without a whole earlier answer
    std::optional<Clock::time_point> sentAt; ///< of the last byte; unset if the connection had ended by then
    std::optional<Clock::time_point> endedAt; ///< of the answer or the connection

    bool isStream() const
    {
        return this->path.starts_with("/once/") || this->path.starts_with("/ask/");
    }
    bool isRepeatable() const
    {
        return this->path.starts_with("/read/") || this->path.starts_with("/ask/");
    }
    int status() const
    {
        return !this->isBehindAnswer && this->received.starts_with("HTTP/1.1 ") ? std::atoi(this->received.c_str() + 9)
                                                                                : 0;
    }
    bool has(const std::string& part) const
    {
        return this->received.find(part) != std::string::npos;
    }
    bool isWhole() const
    {
        const auto headEnd = this->received.find("\r\n\r\n");
        if (this->isBehindAnswer || headEnd == std::string::npos)
            return false;
        if (this->has("Transfer-Encoding: chunked"))
            return this->received.ends_with("\r\n0\r\n\r\n");
        const auto length = this->received.find("Content-Length: ");
        return length < headEnd
            && this->received.size() - headEnd - 4 >= std::strtoul(this->received.c_str() + length + 16, nullptr, 10);
    }
};

std::string textOf(const Late& late, const std::string& id, const std::string& body)
{
    std::string text = "POST " + late.path + " HTTP/1.1\r\nHost: site.example\r\n" + idField + ": " + id
        + "\r\nX-Dragonflyarch-Deadline-Ms: " + std::to_string(late.deadline.count()) + "\r\nAuthorization: Bearer "
        + forwardKey;
    if (late.isStream())
        text += "\r\nX-Dragonflyarch-Model: m\r\nX-Dragonflyarch-Token-Usage: 300,10\r\n"
                "X-Dragonflyarch-Prompt-Prefix: aa:200,bb:100";
    return text + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunkOf(const std::string& text)
{
    return QByteArray::number(static_cast<qulonglong>(text.size()), 16).toStdString() + "\r\n" + text + "\r\n";
}

void write(QTcpSocket& socket, const std::string& bytes)
{
    socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket.flush();
}

void writeAfter(QTcpSocket& socket, milliseconds delay, const std::string& bytes)
{
    QTimer::singleShot(delay, Qt::PreciseTimer, &socket, [&socket, bytes] { write(socket, bytes); });
}

/// A target that works for the time that the test sets for each request, behind an instance that is stopped.
class StoppedSite {
private:
    const Application application;

public:
    explicit StoppedSite(milliseconds grace)
        : grace(grace)
    {
        this->site.registerTarget("scripted-service", "desk", "", this->target.address());
        this->site.registerTarget("scripted-engine", "engines", "m", this->target.address());
        for (const auto* targets : { &this->site.services, &this->site.engines }) {
            for (const auto& each : *targets)
                control(each->address(), { { "draining", true } });
        }
        this->site.publish({ forwardKey }, static_cast<int>(endless.count()), targetLatencyMs);
        this->site.startEntry(true, "drain: { grace: " + std::to_string(grace / 1s) + "s }\n");
        runFor(200ms);
    }

    Late& add(Late late)
    {
        late.id = "r" + std::to_string(this->requests.size()) + late.path.substr(0, late.path.size() - 2) + "-"
            + std::to_string(late.at.count());
        std::ranges::replace(late.id, '/', '-');
        this->requests.push_back(std::make_unique<Late>(std::move(late)));
        this->works[this->requests.back()->id] = this->requests.back()->work;
        return *this->requests.back();
    }

    /// Sends every request at its time of a stop, and waits for the end of the process.
    void stop()
    {
        for (const auto& late : this->requests)
            this->prepare(*late);
        runFor(beforeSignal);
        this->signalledAt = Clock::now();
        this->site.entries[0]->terminate();
        for (const auto& late : this->requests)
            QTimer::singleShot(
                late->at - this->age(), Qt::PreciseTimer, &this->context, [this, &late = *late] { this->send(late); });
        cr_assert_eq(this->site.entries[0]->waitForExit(this->grace + 5s), 0);
        cr_assert_lt(this->age().count(), this->grace.count());
        runFor(200ms);
    }

    milliseconds age(std::optional<Clock::time_point> time = std::nullopt) const
    {
        return std::chrono::duration_cast<milliseconds>(time.value_or(Clock::now()) - this->signalledAt);
    }

    const milliseconds grace;
    std::vector<std::unique_ptr<Late>> requests;
    /// The deadline that the target was given with each request, as a time.
    std::map<std::string, Clock::time_point> deadlines;

    int arrivalsOf(const Late& late) const
    {
        return this->target.arrivalsOf(late.id);
    }
    Process& entry() const
    {
        return *this->site.entries[0];
    }

private:
    void prepare(Late& late)
    {
        if (late.way == Way::NewConnection)
            return;
        this->connect(late);
        if (late.way == Way::LateBody) {
            const auto text = textOf(late, late.id, "body");
            write(*late.socket, text.substr(0, text.size() - 2));
            return;
        }
        Late earlier;
        earlier.path = "/once/x";
        earlier.deadline = endless;
        const auto id = "earlier-" + late.id;
        late.isBehindAnswer = true;
        this->works[id] = late.way == Way::BehindAnswer ? beforeSignal + late.at + waitBehindAnswer : 0ms;
        write(*late.socket, textOf(earlier, id, "body"));
    }

    void connect(Late& late)
    {
        late.socket->connectToHost("127.0.0.1", this->site.entries[0]->address().port);
        late.socket->waitForConnected(1000);
        late.socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        QObject::connect(late.socket.get(), &QTcpSocket::readyRead, &this->context, [this, &late] {
            late.received += late.socket->readAll().toStdString();
            this->skipEarlierAnswer(late);
            if (late.isWhole() && !late.endedAt)
                late.endedAt = Clock::now();
        });
        QObject::connect(late.socket.get(), &QTcpSocket::disconnected, &this->context, [&late] {
            late.received += late.socket->readAll().toStdString();
            if (!late.endedAt)
                late.endedAt = Clock::now();
        });
    }

    static void skipEarlierAnswer(Late& late)
    {
        constexpr std::string_view end = "earlier\n\n\r\n0\r\n\r\n";
        const auto at = late.received.find(end);
        if (at == std::string::npos)
            return;
        late.received.erase(0, at + end.size());
        late.isBehindAnswer = false;
    }

    void send(Late& late)
    {
        if (late.way == Way::NewConnection)
            this->connect(late);
        if (late.socket->state() != QAbstractSocket::ConnectedState)
            return;
        late.sentAt = Clock::now();
        late.endedAt.reset();
        write(*late.socket, late.way == Way::LateBody ? "dy" : textOf(late, late.id, "body"));
    }

    void answer(const ScriptedRequest& request, QTcpSocket& socket)
    {
        const auto left = std::atoi(ScriptedTarget::fieldOf(request, "X-Dragonflyarch-Deadline-Ms").c_str());
        this->deadlines[request.id] = Clock::now() + milliseconds(left);
        const auto work = this->works.at(request.id);
        const std::string fields = "HTTP/1.1 200 OK\r\nX-Dragonflyarch-Weight-Versions: 1\r\n"
                                   "X-Dragonflyarch-Response-Stamp: stamp\r\n"
            + std::string(idField) + ": " + request.id + "\r\n";
        if (!request.path.starts_with("/once/") && !request.path.starts_with("/ask/")) {
            writeAfter(socket, work, fields + "Content-Length: 4\r\n\r\ndone");
            return;
        }
        ScriptedTarget::write(socket,
            fields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunkOf("id: 1\ndata: first\n\n"));
        const std::string last = request.id.starts_with("earlier-") ? "earlier" : "last";
        writeAfter(socket, work, chunkOf("id: 2\ndata: " + last + "\n\n") + "0\r\n\r\n");
    }

    ForwardSite site;
    QObject context;
    Clock::time_point signalledAt;
    std::map<std::string, milliseconds> works; ///< by request id
    ScriptedTarget target { idField,
        [this](const ScriptedRequest& request, QTcpSocket& socket) { this->answer(request, socket); } };
};

constexpr std::array allWays { Way::NewConnection, Way::KeptConnection, Way::BehindAnswer, Way::LateBody };
constexpr std::array allPaths { "/book/x", "/read/x", "/once/x", "/ask/x" };

/// Why @p late did not get what a stop owes it; empty if it did.
std::string faultOf(const StoppedSite& site, const Late& late)
{
    if (!late.sentAt)
        return {}; // the connection had ended before
    const bool isWhole = late.isWhole();
    const bool isAtTarget = site.arrivalsOf(late) > 0;
    if (isWhole && late.status() == 200)
        return {};
    if (isWhole && late.status() == 503) {
        if (isAtTarget)
            return "refused as not run, although a target got it";
        if (!late.has("Dragonfly-Execution: not-run") || !late.has("Retry-After: "))
            return "the refusal does not say that another instance may run it";
        const bool waited = late.way == Way::BehindAnswer;
        return waited || *late.endedAt - *late.sentAt < atOnce ? "" : "not refused at once";
    }
    if (!isAtTarget)
        return late.status() ? "failed without having been sent" : ""; // it crossed the close of the connection
    if (site.age(late.endedAt) * 6 < site.grace * 5)
        return "cut before the last sixth of the grace period";
    if (!isWhole && (!late.isStream() || site.age(late.sentAt) > excusedAge))
        return "passed on, and cut without a final answer";
    return {};
}

void checkAll(const StoppedSite& site)
{
    std::string faults;
    int count = 0;
    for (const auto& late : site.requests) {
        const auto fault = faultOf(site, *late);
        if (fault.empty())
            continue;
        if (++count <= 20)
            faults += "\n" + late->id + " (status " + std::to_string(late->status()) + ", sent at "
                + std::to_string(site.age(late->sentAt).count()) + " ms): " + fault;
    }
    cr_expect_eq(count, 0, "%d of %zu:%s", count, site.requests.size(), faults.c_str());
}

/// Requests of every kind, in every way, in each tenth of the grace period, whose target works for @p work.
void addAll(StoppedSite& site, milliseconds work, milliseconds deadline)
{
    for (const auto way : allWays) {
        for (const auto* path : allPaths) {
            for (int tenth = 0; tenth < 10; ++tenth) {
                Late late;
                late.path = path;
                late.way = way;
                late.at = site.grace * (2 * tenth + 1) / 20;
                late.work = work;
                late.deadline = deadline;
                site.add(std::move(late));
            }
        }
    }
}

void checkLongWork(milliseconds grace)
{
    StoppedSite site(grace);
    addAll(site, endless, endless);
    site.stop();
    checkAll(site);
    int passedOn = 0;
    int beyond = 0;
    for (const auto& late : site.requests) {
        if (!late->sentAt || !site.arrivalsOf(*late))
            continue;
        ++passedOn;
        beyond += site.age(site.deadlines.at(late->id)) > grace;
    }
    cr_assert_gt(passedOn, 0);
    cr_assert_eq(beyond, 0, "%d of %d targets may work on after the process is gone", beyond, passedOn);
}

void checkShortWork(milliseconds grace)
{
    StoppedSite site(grace);
    addAll(site, shortWork, endless);
    addAll(site, shortWork, 1000ms);
    site.stop();
    checkAll(site);
    // By then the time that is left is a multiple of the target latency.
    const auto timely = grace - grace / 8 - 1300ms;
    for (const auto& late : site.requests) {
        const bool isExcused = !late->isStream() || late->deadline < endless || late->at < excusedAge - 700ms;
        const bool wasClosed = late->way == Way::NewConnection || late->way == Way::KeptConnection;
        if (late->at < timely && isExcused && (!wasClosed || late->at < std::min(grace / 4, milliseconds(2000))))
            cr_expect(late->isWhole() && late->status() == 200, "%s: status %d", late->id.c_str(), late->status());
    }
}

/// Requests that arrive 0.3 s before the end of the drain.
void checkLastMoment(milliseconds grace)
{
    StoppedSite site(grace);
    const auto end = grace - std::min(grace / 8, 1000ms);
    for (const auto* path : allPaths) {
        Late late;
        late.path = path;
        late.way = Way::LateBody;
        late.at = end - 300ms;
        late.work = endless;
        late.deadline = endless;
        site.add(std::move(late));
    }
    site.stop();
    checkAll(site);
    for (const auto& late : site.requests) {
        cr_expect_eq(late->status(), 503, "%s: status %d", late->id.c_str(), late->status());
        const auto line = site.entry().awaitLine("request=" + late->id);
        cr_expect(line.find("the instance stops in ") != std::string::npos, "%s", line.c_str());
    }
}

}

Test(stopTimes, requestWhoseDeadlineEndsBeforeTheStopIsSent)
{
    const StopTimes stop { BootClock::time_point(100s), BootClock::time_point(107s) };
    const Clock::time_point now(50s);
    for (const auto kind : { directory::RequestKind::Idempotent, directory::RequestKind::NonIdempotent,
             directory::RequestKind::Streaming }) {
        const AttemptTimes attempt { kind, false, 500ms, now, now + 300ms };
        cr_assert_not(findStopConflict(stop, attempt, now, stop.end - 300ms));
        cr_assert(findStopConflict(stop, attempt, now, stop.end - 299ms));
        cr_assert(findStopConflict(stop, attempt, now, stop.end + 1ms));
    }
}

Test(stopTimes, timeThatIsLeftIsComparedWithTheTargetLatency)
{
    const StopTimes stop { BootClock::time_point(100s), BootClock::time_point(107s) };
    const Clock::time_point now(50s);
    const auto isSent = [&](bool isRepeatable, milliseconds targetLatency, milliseconds left) {
        const auto kind = isRepeatable ? directory::RequestKind::Idempotent : directory::RequestKind::NonIdempotent;
        return !findStopConflict(stop, { kind, isRepeatable, targetLatency, now, now + 60s }, now, stop.end - left);
    };
    cr_assert(isSent(false, 200ms, 2s));
    cr_assert_not(isSent(false, 200ms, 300ms));
    cr_assert(isSent(true, 200ms, 400ms));
    cr_assert_not(isSent(true, 200ms, 399ms));
    cr_assert(isSent(true, 1s, 2s));
    cr_assert_not(isSent(true, 1s, 1900ms));
    cr_assert_not(isSent(false, 1s, 2s), "a cut one is lost");
    cr_assert_not(isSent(true, 1ms, 300ms), "connecting takes time too");
}

Test(stopTimes, streamThatTheStopMayCutIsSentOnlyIfItArrivedSoonAfterTheSignal)
{
    const StopTimes stop { BootClock::time_point(100s), BootClock::time_point(129s) };
    const Clock::time_point now(50s);
    const auto isSent = [&](milliseconds age, milliseconds waited, milliseconds timeout) {
        const AttemptTimes attempt { directory::RequestKind::Streaming, true, 200ms, now - waited, now + timeout };
        return !findStopConflict(stop, attempt, now, stop.signalledAt + age + waited);
    };
    cr_assert(isSent(-1s, 2s, 60s));
    cr_assert(isSent(3s, 0ms, 60s));
    cr_assert(isSent(3s, 5s, 60s), "the time of the arrival decides, not that of a retry");
    cr_assert_not(isSent(3001ms, 0ms, 60s));
    cr_assert(isSent(20s, 0ms, 9s));
    cr_assert_not(isSent(20s, 0ms, 9001ms));
}

Test(lateRequest, isNotPassedOnAndCutWithinAGracePeriodOf4Seconds, .timeout = 60)
{
    checkLongWork(4s);
}

Test(lateRequest, isNotPassedOnAndCutWithinAGracePeriodOf8Seconds, .timeout = 60)
{
    checkLongWork(8s);
}

Test(lateRequest, isNotPassedOnAndCutWithinAGracePeriodOf30Seconds, .timeout = 90)
{
    checkLongWork(30s);
}

Test(lateRequest, thatFitsIsServedWithinAGracePeriodOf4Seconds, .timeout = 60)
{
    checkShortWork(4s);
}

Test(lateRequest, thatFitsIsServedWithinAGracePeriodOf8Seconds, .timeout = 60)
{
    checkShortWork(8s);
}

Test(lateRequest, thatFitsIsServedWithinAGracePeriodOf30Seconds, .timeout = 90)
{
    checkShortWork(30s);
}

Test(lateRequest, thatCannotEndInTimeIsRefusedAtOnce, .timeout = 90)
{
    for (const auto grace : { 4s, 8s })
        checkLastMoment(grace);
}

namespace {

/// A target that ends every connection at @p at of a grace period of 4 s, while another one could take the requests.
void checkFurtherAttempts(milliseconds at, bool areMade)
{
    const Application application;
    ForwardSite site;
    std::vector<QPointer<QTcpSocket>> connections;
    ScriptedTarget target(idField, [&](const ScriptedRequest& request, QTcpSocket& socket) {
        connections.emplace_back(&socket);
        if (request.path.starts_with("/ask/"))
            write(socket,
                "HTTP/1.1 200 OK\r\nX-Dragonflyarch-Weight-Versions: 1\r\nX-Dragonflyarch-Response-Stamp: stamp\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                    + std::string(idField) + ": " + request.id + "\r\n\r\n" + chunkOf("id: 1\ndata: first\n\n"));
    });
    site.registerTarget("scripted-service", "desk", "", target.address());
    site.registerTarget("scripted-engine", "engines", "m", target.address());
    const auto setDraining = [&](bool draining) {
        for (const auto* targets : { &site.services, &site.engines })
            control(targets->front()->address(), { { "draining", draining } });
    };
    for (const auto* targets : { &site.services, &site.engines })
        control(targets->back()->address(), { { "draining", true } });
    setDraining(true);
    site.publish({ forwardKey }, static_cast<int>(endless.count()), 1000);
    auto& entry = site.startEntry(true, "drain: { grace: 4s }\n");
    runFor(200ms);
    ForwardRequestSpec stream { "stream", "/ask/x" };
    ForwardRequestSpec reading { "reading", "/read/x" };
    stream.deadlineMs = reading.deadlineMs = static_cast<int>(endless.count());
    const std::vector<AnswerPointer> answers { site.send(stream), site.send(reading) };
    cr_assert(waitUntil([&] { return connections.size() == 2; }, 5s));
    setDraining(false);
    control(site.engines.front()->address(), { { "events", 3 }, { "event_ms", 20 } });
    runFor(200ms);
    const auto signalled = Clock::now();
    entry.terminate();
    QTimer timer;
    timer.setTimerType(Qt::PreciseTimer);
    timer.setSingleShot(true);
    timer.callOnTimeout([&] {
        for (const auto& connection : connections)
            connection->disconnectFromHost();
    });
    timer.start(at);
    cr_assert(waitForAll(answers, 10s));
    for (const auto& answer : answers)
        cr_expect_lt((answer->endedAt - signalled) / 1ms, (at + atOnce) / 1ms);
    for (const auto* targets : { &site.services, &site.engines }) {
        const auto state = control(targets->front()->address());
        cr_expect_eq(state["arrivals"].toArray().size(), areMade ? 1 : 0);
        const auto left = state["last"]["headers"]["X-Dragonflyarch-Deadline-Ms"].toString().toInt();
        cr_expect(!areMade || at + milliseconds(left) < 4s, "%d ms at %ld ms", left, static_cast<long>(at.count()));
    }
    cr_expect_eq(answers[0]->whole, areMade);
    cr_expect(answers[1]->whole && answers[1]->status == (areMade ? 200 : 502), "status %d", answers[1]->status);
    cr_assert_eq(entry.waitForExit(5s), 0);
    if (!areMade)
        cr_assert(
            entry.findLine("event=\"request failed\" request=reading").find("no other target asked: the instance stops")
            != std::string::npos);
}

}

Test(lateRequest, furtherAttemptsAreMadeOnlyIfTheyCanEndInTime, .timeout = 60)
{
    checkFurtherAttempts(200ms, true);
    checkFurtherAttempts(3200ms, false);
}
