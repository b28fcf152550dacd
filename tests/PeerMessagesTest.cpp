// What an instance keeps of messages of peers that it has not handled is bounded.

#include "membership/ZmqTransport.h"
#include "tests/support/Process.h"
#include "tests/support/Site.h"

#include <QThread>
#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

Test(peerMessages, peerThatNeverStopsSendingDoesNotFillMemoryBeforeItIsRead, .timeout = 60)
{
    constexpr size_t messageBytes = 1 << 20;
    constexpr int most = 200;
    constexpr int allowed = 64; // what an instance queues for a peer
    const Application application;
    observe::Metrics metrics;
    membership::ZmqTransport transport(metrics);
    const auto bound = transport.bind({ "127.0.0.1", 0 });
    cr_assert_not(errorOf(bound));
    zmq::context_t context;
    zmq::socket_t peer(context, zmq::socket_type::push);
    peer.set(zmq::sockopt::linger, 0);
    peer.set(zmq::sockopt::sndhwm, 1);
    peer.connect("tcp://" + std::get<Endpoint>(bound).toString());
    const std::string bytes(messageBytes, 'x');
    int sent = 0;
    // The event loop does not run, as while the process is busy.
    for (const auto end = Clock::now() + 5s; Clock::now() < end && sent < most;) {
        if (peer.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
            ++sent;
        else
            QThread::msleep(1);
    }
    // Some more are in the sockets and on the sender's side.
    cr_assert_lt(sent, allowed + 32, "%d messages of 1 MiB taken", sent);
}
