#include "tests/support/RawServer.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace testing {

RawServer::RawServer(std::vector<RawAnswer> answers)
    : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    bind(this->listener, reinterpret_cast<sockaddr*>(&address), length);
    listen(this->listener, 16);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
    this->endpoint = { "127.0.0.1", ntohs(address.sin_port) };
    this->thread = std::thread([this, answers = std::move(answers)] { this->run(answers); });
}

RawServer::~RawServer()
{
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
    for (const int descriptor : this->keptOpen)
        close(descriptor);
}

void RawServer::run(const std::vector<RawAnswer>& answers)
{
    for (const auto& answer : answers) {
        const int connection = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            return;
        char request[4096];
        if (read(connection, request, sizeof(request)) < 0
            || write(connection, answer.bytes.data(), answer.bytes.size()) < 0) {
            close(connection);
            continue;
        }
        std::this_thread::sleep_for(answer.endDelay);
        if (answer.ending == Ending::KeepOpen) {
            this->keptOpen.push_back(connection);
            continue;
        }
        if (answer.ending == Ending::Reset) {
            const linger immediately { 1, 0 };
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        }
        close(connection);
    }
}

}
