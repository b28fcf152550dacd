#include "tests/support/RawServer.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace testing {

RawServer::RawServer(std::vector<RawAnswer> answers, std::chrono::milliseconds takesNoneFor)
    : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    bind(this->listener, reinterpret_cast<sockaddr*>(&address), length);
    listen(this->listener, takesNoneFor.count() ? 0 : 16);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
    this->endpoint = { "127.0.0.1", ntohs(address.sin_port) };
    if (takesNoneFor.count())
        this->fillQueue();
    this->thread = std::thread([this, answers = std::move(answers), takesNoneFor] {
        std::this_thread::sleep_for(takesNoneFor);
        if (this->filler >= 0)
            close(accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC));
        this->run(answers);
    });
}

void RawServer::fillQueue()
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
    this->filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connect(this->filler, reinterpret_cast<sockaddr*>(&address), length);
}

RawServer::~RawServer()
{
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
    close(this->filler);
    for (const int descriptor : this->keptOpen)
        close(descriptor);
}

bool RawServer::answer(int connection, const RawAnswer& answer)
{
    char request[4096];
    const auto writeAll = [connection](std::string_view bytes) {
        while (!bytes.empty()) {
            const auto written = send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (written <= 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(written));
        }
        return true;
    };
    if (read(connection, request, sizeof(request)) <= 0 || !writeAll(answer.bytes))
        return false;
    std::this_thread::sleep_for(answer.endDelay);
    return writeAll(answer.rest);
}

void RawServer::run(const std::vector<RawAnswer>& answers)
{
    int connection = -1;
    for (const auto& answer : answers) {
        if (connection < 0)
            connection = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            return;
        const bool isAnswered = RawServer::answer(connection, answer);
        if (isAnswered && answer.ending == Ending::Reuse)
            continue;
        if (isAnswered && answer.ending == Ending::KeepOpen) {
            this->keptOpen.push_back(std::exchange(connection, -1));
            continue;
        }
        if (isAnswered && answer.ending == Ending::Reset) {
            const linger immediately { 1, 0 };
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        }
        close(std::exchange(connection, -1));
    }
    if (connection >= 0)
        this->keptOpen.push_back(connection);
}

}
