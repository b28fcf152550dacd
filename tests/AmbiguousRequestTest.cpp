// The HTTP server refuses every request that two HTTP implementations could interpret differently.

#include "http/Http.h"
#include "tests/support/Process.h"

#include <QCoreApplication>
#include <QTcpSocket>
#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

struct Reply {
    std::string text;
    int handled = 0; ///< requests that reached the handler
};

/// Sends @p bytes over a new connection to a new server and reads until the head of the answer is complete, or 1 s.
Reply send(const std::string& bytes)
{
    static int count = 0;
    static QCoreApplication application(count, nullptr);
    Reply reply;
    http::Server server({}, [&reply](const http::ExchangePointer& exchange) {
        ++reply.handled;
        exchange->respond(200, {}, "ok");
    });
    const auto listening = std::get<Endpoint>(server.listenShared({ "127.0.0.1", 0 }));
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, listening.port);
    waitUntil([&] { return socket.state() == QAbstractSocket::ConnectedState; }, 1s);
    socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    waitUntil(
        [&] {
            reply.text += socket.readAll().toStdString();
            return reply.text.find("\r\n\r\n") != std::string::npos;
        },
        1s);
    runFor(30ms);
    return reply;
}

void assertRefused(const std::string& bytes)
{
    const auto reply = send(bytes);
    cr_assert_eq(reply.handled, 0, "reached the handler: %s", bytes.c_str());
    cr_assert(reply.text.starts_with("HTTP/1.1 400 "), "%s was answered by %s", bytes.c_str(), reply.text.c_str());
}

const std::string post = "POST /a HTTP/1.1\r\n";
const std::string host = "Host: a\r\n";
const std::string smuggled = "GET /b HTTP/1.1\r\nHost: a\r\n\r\n";

}

Test(ambiguousRequest, unsupportedTransferEncodingIsRefused)
{
    assertRefused(post + host + "Transfer-Encoding: xchunked\r\n\r\n" + smuggled);
    assertRefused(post + host + "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n" + smuggled);
    assertRefused(post + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    assertRefused(post + host + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n");
}

Test(ambiguousRequest, ambiguousContentLengthIsRefused)
{
    assertRefused(post + host + "Content-Length: 6, 6\r\n\r\nabcdef");
    assertRefused(post + host + "Content-Length: 6\r\nContent-Length: 6\r\n\r\nabcdef");
    assertRefused(post + host + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    assertRefused(post + host + "Content-Length: +6\r\n\r\nabcdef");
}

Test(ambiguousRequest, missingOrConflictingHostIsRefused)
{
    assertRefused("GET /a HTTP/1.1\r\n\r\n");
    assertRefused("GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
    assertRefused("GET http://b/a HTTP/1.1\r\nHost: a\r\n\r\n");
}

Test(ambiguousRequest, foldedHeaderLinesAndConnectAreRefused)
{
    assertRefused("GET /a HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n");
    assertRefused("GET /a HTTP/1.1\r\nHost: a\r\nX-A: b\r\n\tc\r\n\r\n");
    assertRefused("CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n");
}

Test(ambiguousRequest, unambiguousRequestsReachHandler)
{
    for (const auto& bytes : { "GET /a HTTP/1.1\r\n" + host + "\r\n", post + host + "Content-Length: 2\r\n\r\nab",
             post + host + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
             std::string("GET http://a/a HTTP/1.1\r\nHost: a\r\n\r\n") })
        cr_assert_eq(send(bytes).handled, 1, "%s", bytes.c_str());
}
