// Invalid, oversized and slow requests receive the right error and use bounded memory and connections.

#include "tests/support/RawCaller.h"
#include "tests/support/Site.h"

#include <QTcpSocket>
#include <criterion/criterion.h>
#include <thread>

using namespace testing;
using namespace std::chrono_literals;

namespace {

/// Sends raw bytes and returns what is received until the connection closes or @p timeout has passed.
std::string exchangeRaw(const dragonfly::Endpoint& entry, const QByteArray& bytes, std::chrono::milliseconds timeout)
{
    QTcpSocket socket;
    socket.connectToHost(QString::fromStdString(entry.host), entry.port);
    cr_assert(socket.waitForConnected(2000));
    socket.write(bytes);
    std::string received;
    QObject::connect(&socket, &QTcpSocket::readyRead, [&] { received += socket.readAll().toStdString(); });
    waitUntil([&] { return socket.state() == QAbstractSocket::UnconnectedState; }, timeout);
    return received;
}

QByteArray request(const char* path, const QByteArray& body)
{
    return QByteArray("POST ") + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + apiKey
        + "\r\nContent-Type: application/json\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n"
        + body;
}

AnswerPointer postAs(const char* key, const dragonfly::Endpoint& entry, const std::string& body)
{
    Caller caller(key);
    const auto answer = caller.post(entry, "/v1/completions", body);
    cr_assert(waitFor(answer));
    return answer;
}

}

Test(badInput, invalidBodiesKeysAndPathsAreRefused, .timeout = 60)
{
    const Application application;
    Site site;
    site.startEntry();
    const auto entry = site.entry(0);
    cr_assert_eq(postAs(apiKey, entry, "{\"model\":")->status, 400);
    cr_assert_eq(postAs(apiKey, entry, "[]")->status, 400);
    cr_assert_eq(postAs(apiKey, entry, "{\"model\":\"assistant\"}")->status, 400);
    cr_assert_eq(postAs(apiKey, entry, "{\"model\":\"no-such\",\"prompt\":\"x\"}")->status, 404);
    cr_assert_eq(postAs("wrong-key", entry, "{\"model\":\"assistant\",\"prompt\":\"x\"}")->status, 401);
    cr_assert_eq(postAs("", entry, "{\"model\":\"assistant\",\"prompt\":\"x\"}")->status, 401);
    Caller caller(apiKey);
    const auto answer = caller.post(entry, "/no/such/path", "{}");
    cr_assert(waitFor(answer));
    cr_assert_eq(answer->status, 404);
    cr_assert(answer->json()["error"].toObject()["kind"].toString() == "unknown_path");
    cr_assert(answer->execution() == "not-run");
}

Test(badInput, oversizedBodyIsRefusedBeforeItIsBuffered, .timeout = 60)
{
    const Application application;
    Site site;
    site.startEntry();
    const auto before = site.entries[0]->residentBytes();
    QByteArray head = request("/v1/completions", {});
    head.replace("Content-Length: 0", "Content-Length: 300000000");
    const auto answer = exchangeRaw(site.entry(0), head + QByteArray(20 << 20, 'x'), 5s);
    cr_assert(answer.starts_with("HTTP/1.1 413"), "%s", answer.substr(0, 100).c_str());
    // The same without Content-Length: a chunked body above the limit.
    QByteArray chunked = request("/v1/completions", {});
    chunked.replace("Content-Length: 0", "Transfer-Encoding: chunked");
    for (int i = 0; i < 300; ++i)
        chunked += "10000\r\n" + QByteArray(0x10000, 'x') + "\r\n";
    const auto endless = exchangeRaw(site.entry(0), chunked, 5s);
    cr_assert(endless.starts_with("HTTP/1.1 413"), "%s", endless.substr(0, 100).c_str());
    cr_assert_leq(site.entries[0]->residentBytes(), before + (48u << 20));
}

Test(badInput, chunkExtensionsWithoutEndDoNotFillMemory, .timeout = 60)
{
    constexpr int callers = 20;
    constexpr size_t block = 64 << 10;
    constexpr size_t most = 10 << 20;
    const Application application;
    Site site;
    site.startEntry();
    const auto before = site.entries[0]->residentBytes();
    std::vector<std::unique_ptr<RawCaller>> open;
    for (int i = 0; i < callers; ++i)
        open.push_back(std::make_unique<RawCaller>(site.entry(0)));
    {
        std::vector<std::jthread> senders;
        for (const auto& caller : open)
            senders.emplace_back([&caller] {
                caller->send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4;");
                const std::string bytes(block, 'x');
                for (size_t sent = 0; sent < most && caller->send(bytes); sent += block)
                    continue;
            });
    }
    const auto after = site.entries[0]->residentBytes();
    cr_expect_leq(after, before + (48u << 20), "grew by %zu MB", (after - std::min(before, after)) >> 20);
    for (const auto& caller : open)
        cr_expect(caller->receiveUntil("HTTP/1.1 400"));
}

Test(badInput, bodiesWithoutEndAtTheAdminAddressDoNotFillMemory, .timeout = 60)
{
    constexpr size_t block = 64 << 10;
    constexpr size_t most = 150 << 20;
    const Application application;
    Site site;
    site.startEntry();
    const auto before = site.entries[0]->residentBytes();
    const RawCaller caller(site.admin(0));
    caller.send("POST /status HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n");
    const std::string bytes(block, 'x');
    for (size_t sent = 0; sent < most && caller.send(bytes); sent += block)
        continue;
    const auto after = site.entries[0]->residentBytes();
    cr_expect_leq(after, before + (48u << 20), "grew by %zu MB", (after - std::min(before, after)) >> 20);
}

Test(badInput, oversizedHeadersAreRefused, .timeout = 60)
{
    const Application application;
    Site site;
    site.startEntry();
    QByteArray bytes = "GET /v1/models HTTP/1.1\r\nHost: x\r\n";
    for (int i = 0; i < 20000; ++i)
        bytes += "X-Field-" + QByteArray::number(i) + ": value\r\n";
    const auto answer = exchangeRaw(site.entry(0), bytes, 5s);
    cr_assert(answer.starts_with("HTTP/1.1 431"), "%s", answer.substr(0, 100).c_str());
}

Test(badInput, incompleteHeadersTimeOut, .timeout = 60)
{
    const Application application;
    SiteOptions options;
    options.extraSettings = "http: { headerTime: 500ms }\n";
    Site site(options);
    site.startEntry();
    const auto answer = exchangeRaw(site.entry(0), "GET /v1/models HTT", 5s);
    cr_assert(answer.starts_with("HTTP/1.1 408"), "%s", answer.c_str());
}

Test(badInput, pipelinedRequestsAreAnsweredInOrder, .timeout = 60)
{
    const Application application;
    Site site;
    site.startEntry();
    const QByteArray slow = "{\"model\":\"assistant\",\"prompt\":\"first\",\"max_tokens\":50}";
    const QByteArray fast = "{\"model\":\"no-such\",\"prompt\":\"second\"}";
    const auto answer
        = exchangeRaw(site.entry(0), request("/v1/completions", slow) + request("/v1/completions", fast), 2s);
    const auto first = answer.find("HTTP/1.1 200");
    const auto second = answer.find("HTTP/1.1 404");
    cr_assert(first == 0 && second != std::string::npos && second > answer.find("\"usage\""), "%s", answer.c_str());
}

Test(badInput, slowReaderDoesNotFillMemory, .timeout = 90)
{
    const Application application;
    SiteOptions options;
    options.engineArguments = QStringList { "--decode-us", "1" };
    Site site(options);
    site.startEntry();
    const auto before = site.entries[0]->residentBytes();
    std::vector<std::unique_ptr<QTcpSocket>> sockets;
    for (int i = 0; i < 8; ++i) {
        auto socket = std::make_unique<QTcpSocket>();
        socket->setReadBufferSize(1024);
        socket->connectToHost(QString::fromStdString(site.entry(0).host), site.entry(0).port);
        cr_assert(socket->waitForConnected(2000));
        socket->write(request(
            "/v1/completions", "{\"model\":\"assistant\",\"prompt\":\"x\",\"max_tokens\":100000,\"stream\":true}"));
        socket->flush();
        sockets.push_back(std::move(socket));
    }
    runFor(6s);
    cr_assert_leq(site.entries[0]->residentBytes(), before + (64u << 20));
}

Test(badInput, connectionsPerAddressAreBounded, .timeout = 60)
{
    const Application application;
    SiteOptions options;
    options.extraSettings = "http: { connectionsPerAddress: 8 }\n";
    Site site(options);
    site.startEntry();
    std::vector<std::unique_ptr<QTcpSocket>> sockets;
    for (int i = 0; i < 60; ++i) {
        sockets.push_back(std::make_unique<QTcpSocket>());
        sockets.back()->connectToHost(QString::fromStdString(site.entry(0).host), site.entry(0).port);
        sockets.back()->waitForConnected(2000);
    }
    runFor(500ms);
    const auto open = std::count_if(sockets.begin(), sockets.end(),
        [](const auto& socket) { return socket->state() == QAbstractSocket::ConnectedState; });
    cr_assert_leq(open, 16, "%ld connections are open", open); // the limit is 8 per thread, of 2 threads
}

Test(badInput, everyErrorInTheSettingsIsReported, .timeout = 60)
{
    const Application application;
    QTemporaryDir folder;
    QFile file(folder.filePath("entry.yaml"));
    cr_assert(file.open(QIODevice::WriteOnly));
    file.write("instance: entry-1\nregion: r\ndataCentre: d\nplatform: [127.0.0.1]\ncolour: red\n"
               "drain: { notice: 5 }\nhttp: { body: 8MB }\nthreads: many\n");
    file.close();
    const auto checked = runToEnd("dragonflyd", { "--check", "--settings", file.fileName() }, 10s);
    cr_assert_eq(checked.exitStatus, 2);
    for (const auto* part : { "entry.yaml:5: colour: unknown field", "notice: expected a duration",
             "body: expected a size", "threads: expected a whole number", "platform: '127.0.0.1'" })
        cr_assert(checked.errors.find(part) != std::string::npos, "%s is missing in: %s", part, checked.errors.c_str());
}
