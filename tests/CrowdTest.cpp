// Clients that send legal requests and do not behave: the memory and the descriptors of the instance, and whether an
// ordinary request is answered after them. The crowds and the bounds are small, so that the settings are too.

#include "tests/support/Crowd.h"
#include "tests/support/EndlessTarget.h"
#include "tests/support/ForwardSite.h"

#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

/// The memory of the instance, which its settings name.
constexpr uint64_t memoryBytes = 64u << 20;
constexpr size_t bodyLimit = 1u << 20;
constexpr size_t headLimit = 16u << 10;
/// What the instance opens for itself: its event loop, its listening sockets, the store and its peers.
constexpr size_t ownDescriptors = 64;
constexpr size_t callersLimit = 1000;
/// Each request has one connection of its caller and one for each of two attempts.
constexpr size_t descriptorLimit = 3 * callersLimit + ownDescriptors;
/// Of a request of the platform's own callers.
constexpr size_t ordinaryBodyBytes = 90'000;
/// A caller's part of a round of sending: a crowd sends piece by piece, all at once.
constexpr size_t pieceBytes = 64u << 10;

std::string line(const std::string& name, const std::string& value)
{
    return name + ": " + value + "\r\n";
}

/// The head of an ordinary request, without its end.
std::string headOf(const std::string& id, const std::string& path)
{
    return "POST " + path + " HTTP/1.1\r\n" + line("Host", "site.example") + line("X-Dragonflyarch-Attempt-Id", id)
        + line("X-Dragonflyarch-Deadline-Ms", "30000") + line("Authorization", std::string("Bearer ") + forwardKey);
}

/// Fills @p head up to @p bytes with @p lines, over and over.
std::string filled(std::string head, const std::string& lines, size_t bytes)
{
    while (head.size() + lines.size() <= bytes)
        head += lines;
    return head;
}

/// Room for what the instance adds to a head and to its lines, where a stand-in with the same limit receives it.
constexpr size_t addedHeadBytes = headLimit / 4;

std::string withLength(const std::string& head, size_t bytes)
{
    return head + line("Content-Length", std::to_string(bytes)) + "\r\n";
}

std::string chunked(const std::string& head)
{
    return head + line("Transfer-Encoding", "chunked") + "\r\n";
}

std::string chunkOf(const std::string& bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

struct CrowdSite {
    int argumentCount = 0;
    QCoreApplication application { argumentCount, nullptr };
    ForwardSite site;
    Process* entry = nullptr;
    Crowd crowd;
    uint64_t mostHeld = 0; ///< resident memory of the instance, and what it has not read
    uint64_t mostUnread = 0;

    /// @param httpSettings further fields of the section "http"
    explicit CrowdSite(const std::string& httpSettings = "")
    {
        this->publish(bodyLimit);
        this->entry = &this->site.startEntry(true,
            "memory: 64MiB\nhttp: { connections: " + std::to_string(callersLimit)
                + ", connectionsPerAddress: " + std::to_string(callersLimit) + httpSettings + " }\n");
        this->site.waitUntilInForce();
    }

    void publish(size_t bodyBytes)
    {
        this->site.editConfig = [bodyBytes](QJsonObject& config) {
            config["limits"] = QJsonObject { { "max_body_bytes", static_cast<qint64>(bodyBytes) },
                { "max_header_bytes", static_cast<qint64>(headLimit) }, { "header_timeout_ms", 60000 },
                { "idle_timeout_ms", 60000 } };
        };
        this->site.publish({ forwardKey }, 30000);
    }
    /// Lets the targets of plain services take requests and answer none.
    void silenceServices()
    {
        for (const auto& service : this->site.services)
            control(service->address(), { { "answer", "silent" } });
    }
    void sample()
    {
        const auto unread = unreadBytesAt(this->entry->address());
        this->mostUnread = std::max(this->mostUnread, unread);
        this->mostHeld = std::max(this->mostHeld, this->entry->residentBytes() + unread);
    }
    void add(size_t count, const std::function<std::string(size_t)>& bytesOf)
    {
        for (size_t i = 0; i < count; ++i) {
            this->crowd.add(this->entry->address(), bytesOf(i));
            if (i % 50 == 49)
                runFor(1ms);
        }
    }
    /// Sends until nothing more is taken, and then waits until that is handled.
    void sendAll(size_t piece = pieceBytes)
    {
        waitUntil(
            [&] {
                const bool hasEnded = this->crowd.sendSome(piece);
                this->sample();
                return hasEnded;
            },
            10s);
        for (int i = 0; i < 20; ++i) {
            runFor(50ms);
            this->sample();
        }
    }
    /// Checks the promises after the crowd has sent, while it stays.
    void check(const char* name, size_t maxDescriptors = descriptorLimit)
    {
        const auto descriptors = this->entry->descriptorCount();
        const auto held = std::max(this->mostHeld, this->entry->peakResidentBytes());
        const auto first = this->crowd.peek(0);
        std::fprintf(stderr,
            "%s: held %.1f MiB of 64, unread up to %.1f, %zu descriptors, %d of %zu callers answered or closed, the "
            "first with \"%s\"\n",
            name, static_cast<double>(held) / (1 << 20), static_cast<double>(this->mostUnread) / (1 << 20), descriptors,
            this->crowd.answered(), this->crowd.size(), first.substr(0, first.find("\r\n")).c_str());
        cr_expect(this->entry->isRunning(), "%s: the process has ended", name);
        cr_expect_leq(held, memoryBytes, "%s: %.1f MiB", name, static_cast<double>(held) / (1 << 20));
        cr_expect_leq(descriptors, maxDescriptors, "%s: %zu descriptors", name, descriptors);
        const auto answer = this->site.send(
            { .id = "ordinary", .path = "/ask/x", .body = std::string(ordinaryBodyBytes, 'o'), .deadlineMs = 15000 });
        waitFor(answer, 20s);
        cr_expect(answer->whole && answer->status == 200, "%s: the ordinary request got %d %s", name, answer->status,
            answer->body.c_str());
    }
};

std::string idOf(size_t number)
{
    return "crowd-" + std::to_string(number);
}

}

/// Guards against what a head takes beyond its bytes, for each of its lines.
Test(crowd, headsOfManyShortLinesWithBodiesThatStopShort, .timeout = 120)
{
    CrowdSite site;
    site.add(200, [](size_t i) {
        return withLength(filled(headOf(idOf(i), "/read/x"), "a:\r\n", headLimit - 64), 100) + std::string(99, 'x');
    });
    site.sendAll();
    site.check("heads of short lines");
}

/// The same for requests that are received whole and wait at their targets.
Test(crowd, requestsOfManyShortLinesThatWaitAtTargets, .timeout = 120)
{
    CrowdSite site;
    site.silenceServices();
    site.add(200, [](size_t i) {
        return withLength(filled(headOf(idOf(i), "/read/x"), "a:\r\n", headLimit - addedHeadBytes), 1) + "x";
    });
    site.sendAll();
    site.check("whole requests of short lines");
}

/// Guards against names and values that are kept once for each part of a prompt.
Test(crowd, promptsOfManyPartsThatWaitAtTargets, .timeout = 120)
{
    CrowdSite site;
    for (const auto& engine : site.site.engines)
        control(engine->address(), { { "work_ms", 3000 } });
    site.add(300, [](size_t i) {
        const auto head = headOf(idOf(i), "/ask/x") + line("X-Dragonflyarch-Model", "m")
            + line("X-Dragonflyarch-Token-Usage", "300,10") + "X-Dragonflyarch-Prompt-Prefix: ";
        return withLength(filled(head, "a:1,", headLimit - addedHeadBytes) + "b:1\r\n", 1) + "x";
    });
    site.sendAll();
    for (const auto& engine : site.site.engines)
        control(engine->address(), { { "work_ms", 1 } });
    site.check("prompts of many parts");
}

Test(crowd, bodiesOfALengthThatStopShort, .timeout = 120)
{
    CrowdSite site;
    site.add(120,
        [](size_t i) { return withLength(headOf(idOf(i), "/read/x"), bodyLimit) + std::string(bodyLimit - 1, 'x'); });
    site.sendAll();
    site.check("bodies of a length");
}

Test(crowd, bodiesInChunksThatStopShort, .timeout = 120)
{
    CrowdSite site;
    std::string body;
    while (body.size() + 5000 < bodyLimit)
        body += chunkOf(std::string(4096, 'x'));
    site.add(120, [&](size_t i) { return chunked(headOf(idOf(i), "/read/x")) + body; });
    site.sendAll();
    site.check("bodies in chunks");
}

/// Guards against chunks whose framing is larger than their data.
Test(crowd, bodiesInSingleBytesThatStopShort, .timeout = 120)
{
    CrowdSite site;
    std::string body;
    for (int i = 0; i < 20000; ++i)
        body += "1;n=value\r\nx\r\n";
    site.add(120, [&](size_t i) { return chunked(headOf(idOf(i), "/read/x")) + body; });
    site.sendAll();
    site.check("bodies in single bytes");
}

/// Guards against the sum of bodies that were received whole.
Test(crowd, wholeBodiesThatWaitAtTargets, .timeout = 120)
{
    CrowdSite site;
    site.silenceServices();
    site.add(
        60, [](size_t i) { return withLength(headOf(idOf(i), "/read/x"), bodyLimit) + std::string(bodyLimit, 'x'); });
    site.sendAll();
    site.check("whole bodies");
}

/// Guards against what each connection takes by itself.
Test(crowd, smallBodiesOfManyConnectionsThatStopShort, .timeout = 120)
{
    CrowdSite site;
    site.add(callersLimit - 10,
        [](size_t i) { return withLength(headOf(idOf(i), "/read/x"), 12000) + std::string(11999, 'x'); });
    site.sendAll();
    site.check("small bodies of many connections");
}

/// Guards against complete answers that wait for their callers.
Test(crowd, answersThatAreNotRead, .timeout = 120)
{
    constexpr size_t answerBytes = 8'000'000; // the largest that is relayed when it is complete, almost
    const EndlessTarget target([](const std::string& head) {
        const std::string name = "\r\nX-Dragonflyarch-Attempt-Id: ";
        const auto begin = head.find(name) + name.size();
        const auto id = head.substr(begin, head.find("\r\n", begin) - begin);
        return EndlessAnswer { "HTTP/1.1 200 OK\r\nX-Dragonflyarch-Response-Stamp: stamp\r\n"
                + line("X-Dragonflyarch-Attempt-Id", id) + withLength("", answerBytes) + std::string(answerBytes, 'y'),
            "" };
    });
    CrowdSite site;
    site.site.registerTarget("large-answers", "desk", "", target.address());
    for (const auto& service : site.site.services)
        control(service->address(), { { "draining", true } });
    runFor(500ms);
    // One after the other, so that the answers pass the limit on what targets send at the same time.
    for (size_t i = 0; i < 30; ++i) {
        site.add(1, [&](size_t) { return headOf(idOf(i), "/read/x") + "Content-Length: 0\r\n\r\n"; });
        site.crowd.sendSome(pieceBytes);
        runFor(50ms);
        site.sample();
    }
    site.sendAll();
    site.check("answers that are not read");
}

/// Guards against requests behind an open answer, which are not read.
Test(crowd, requestsBehindOpenAnswers, .timeout = 120)
{
    CrowdSite site;
    site.silenceServices();
    const auto request = withLength(headOf("behind", "/read/x"), 20000) + std::string(20000, 'x');
    site.add(150,
        [&](size_t i) { return withLength(headOf(idOf(i), "/read/x"), 1) + "x" + filled("", request, 600u << 10); });
    site.sendAll();
    site.check("requests behind open answers");
}

/// Guards against callers that make no progress and leave no connection for others.
Test(crowd, unfinishedHeadsOnAllConnections, .timeout = 120)
{
    CrowdSite site;
    site.add(callersLimit + 100, [](size_t i) { return headOf(idOf(i), "/read/x"); });
    site.sendAll();
    site.check("unfinished heads", callersLimit + ownDescriptors + 16);
}

/// The same for callers that have sent nothing at all, or wait between two requests.
Test(crowd, idleCallersOnAllConnections, .timeout = 120)
{
    CrowdSite site;
    site.add(callersLimit + 100,
        [](size_t i) { return i % 2 ? "" : headOf(idOf(i), "/nowhere/x") + "Content-Length: 0\r\n\r\n"; });
    site.sendAll();
    site.check("idle callers", callersLimit + ownDescriptors + 16);
}

/// Guards against bodies on all connections that grow by a byte now and then.
Test(crowd, slowBodiesOnAllConnections, .timeout = 120)
{
    CrowdSite site;
    site.add(callersLimit + 100, [](size_t i) { return withLength(headOf(idOf(i), "/read/x"), 5000) + "x"; });
    site.sendAll();
    for (int round = 0; round < 5; ++round) {
        for (size_t i = 0; i < site.crowd.size(); ++i)
            site.crowd.append(i, "x");
        site.sendAll();
    }
    site.check("slow bodies", callersLimit + ownDescriptors + 16);
}

/// Guards against heads whose lines are compared with each option of the connection.
Test(crowd, headsOfManyOptionsBesideManyLines, .timeout = 120)
{
    CrowdSite site;
    site.silenceServices();
    site.add(100, [](size_t i) {
        const auto head = filled(headOf(idOf(i), "/read/x") + "Connection: ", "ab,", headLimit / 2) + "a\r\n";
        return withLength(filled(head, "zz:\r\n", headLimit - addedHeadBytes), 1) + "x";
    });
    site.sendAll();
    site.check("options of the connection");
}

/// Guards against an instance that stops accepting for good once it has no descriptors left.
Test(crowd, callersThatTakeAllDescriptors, .timeout = 120)
{
    constexpr size_t limit = 200;
    CrowdSite site;
    site.entry->limitDescriptors(limit);
    site.add(2 * limit, [](size_t i) { return headOf(idOf(i), "/read/x"); });
    site.sendAll();
    site.check("all descriptors", limit);
}

/// Guards against a bound that changes while callers hold more than the new one allows.
Test(crowd, limitsThatChangeUnderACrowd, .timeout = 120)
{
    CrowdSite site;
    const auto sendBodies = [&](size_t bytes) {
        site.add(
            40, [&](size_t i) { return withLength(headOf(idOf(i), "/read/x"), bytes) + std::string(bytes - 1, 'x'); });
        site.sendAll();
    };
    sendBodies(bodyLimit);
    site.publish(4 * bodyLimit);
    site.site.waitUntilInForce();
    sendBodies(4 * bodyLimit);
    site.publish(bodyLimit / 4);
    site.site.waitUntilInForce();
    sendBodies(bodyLimit / 4);
    site.check("limits that change");
}

/// Guards against a stop that waits for callers that never finish.
Test(crowd, instanceStopsUnderACrowd, .timeout = 120)
{
    CrowdSite site;
    site.silenceServices();
    site.add(100, [](size_t i) {
        return withLength(headOf(idOf(i), "/read/x"), bodyLimit) + std::string(i % 2 ? bodyLimit - 1 : 20000, 'x');
    });
    site.sendAll();
    cr_expect_leq(std::max(site.mostHeld, site.entry->peakResidentBytes()), memoryBytes);
    site.entry->terminate();
    cr_expect_eq(site.entry->waitForExit(60s), 0, "the instance did not stop");
}

namespace {

/// What a target has received of a request.
struct ReceivedRequest {
    std::string head;
    size_t bodyBytes = 0;
    bool isUnchanged = true; ///< each byte of the body is the one that was sent there
};

char byteAt(size_t position)
{
    return static_cast<char>('a' + position % 23);
}

/// Receives one request with a length and answers it.
void receiveOne(int listener, ReceivedRequest& request)
{
    const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    char bytes[16 << 10];
    size_t length = SIZE_MAX;
    std::string id;
    while (connection >= 0 && request.bodyBytes < length) {
        const auto count = read(connection, bytes, sizeof(bytes));
        if (count <= 0)
            break;
        std::string_view rest(bytes, static_cast<size_t>(count));
        if (length == SIZE_MAX) {
            request.head.append(rest);
            const auto end = request.head.find("\r\n\r\n");
            if (end == std::string::npos)
                continue;
            rest = rest.substr(rest.size() - (request.head.size() - end - 4));
            request.head.resize(end + 2);
            const auto valueOf = [&](const std::string& name) {
                const auto begin = request.head.find("\r\n" + name + ": ") + name.size() + 4;
                return request.head.substr(begin, request.head.find("\r\n", begin) - begin);
            };
            length = std::stoul(valueOf("Content-Length"));
            id = valueOf("X-Dragonflyarch-Attempt-Id");
        }
        for (const char byte : rest)
            request.isUnchanged = request.isUnchanged && byte == byteAt(request.bodyBytes++);
    }
    const auto answer = "HTTP/1.1 200 OK\r\nX-Dragonflyarch-Response-Stamp: s\r\n"
        + line("X-Dragonflyarch-Attempt-Id", id) + withLength("", 2) + "ok";
    send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    close(connection);
}

/// Sends one request with @p head and a body of the largest size, in calm, and checks what its target receives.
void checkSingle(const char* name, const std::string& head, bool isInSingleBytes, size_t expectedLines)
{
    CrowdSite site;
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    cr_assert(!bind(listener, reinterpret_cast<sockaddr*>(&address), length) && !listen(listener, 8));
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    site.site.registerTarget("recorder", "desk", "", { "127.0.0.1", ntohs(address.sin_port) });
    for (const auto& service : site.site.services)
        control(service->address(), { { "draining", true } });
    runFor(500ms);
    ReceivedRequest request;
    std::thread target([&] { receiveOne(listener, request); });
    std::string text = isInSingleBytes ? chunked(head) : withLength(head, bodyLimit);
    for (size_t i = 0; i < bodyLimit; ++i) {
        if (isInSingleBytes)
            text += "1\r\n";
        text += byteAt(i);
        if (isInSingleBytes)
            text += "\r\n";
    }
    if (isInSingleBytes)
        text += "0\r\n\r\n";
    site.add(1, [&](size_t) { return text; });
    cr_expect(waitUntil([&] { return site.crowd.sendSome(pieceBytes); }, 30s), "%s: not taken", name);
    cr_expect(waitUntil([&] { return site.crowd.answered() == 1; }, 30s), "%s: no answer", name);
    const auto answer = site.crowd.peek(0);
    shutdown(listener, SHUT_RDWR);
    target.join();
    close(listener);
    cr_expect(answer.starts_with("HTTP/1.1 200"), "%s: %s", name, answer.c_str());
    cr_expect_eq(request.bodyBytes, bodyLimit, "%s: %zu bytes", name, request.bodyBytes);
    cr_expect(request.isUnchanged, "%s: other bytes", name);
    size_t lines = 0;
    for (auto at = request.head.find("\r\na:"); at != std::string::npos; at = request.head.find("\r\na:", at + 1))
        ++lines;
    cr_expect_eq(lines, expectedLines, "%s: %zu lines", name, lines);
    site.sample();
    site.check(name);
}

std::string largestHead()
{
    return filled(headOf("single", "/book/x"), "a:\r\n", headLimit - 64);
}

size_t linesIn(const std::string& head)
{
    size_t lines = 0;
    for (auto at = head.find("\na:"); at != std::string::npos; at = head.find("\na:", at + 1))
        ++lines;
    return lines;
}

}

Test(crowd, singleRequestWithTheLargestBodyIsServed, .timeout = 120)
{
    checkSingle("largest body", headOf("single", "/book/x"), false, 0);
}

Test(crowd, singleRequestWithTheLargestBodyInSingleBytesIsServed, .timeout = 120)
{
    checkSingle("largest body in single bytes", headOf("single", "/book/x"), true, 0);
}

Test(crowd, singleRequestWithTheLargestHeadAndBodyIsServed, .timeout = 120)
{
    const auto head = largestHead();
    checkSingle("largest head and body", head, false, linesIn(head));
}

Test(crowd, singleRequestWithTheLargestHeadAndBodyInSingleBytesIsServed, .timeout = 120)
{
    const auto head = largestHead();
    checkSingle("largest head, body in single bytes", head, true, linesIn(head));
}
