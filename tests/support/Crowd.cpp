#include "tests/support/Crowd.h"

#include <cstdio>
#include <fstream>

namespace testing {

uint64_t unreadBytesAt(const dragonfly::Endpoint& endpoint)
{
    constexpr unsigned listening = 0x0a;
    uint64_t sum = 0;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
        unsigned port = 0;
        unsigned state = 0;
        unsigned unread = 0;
        const int fields = std::sscanf(line.c_str(), "%*d: %*8x:%x %*8x:%*x %x %*x:%x", &port, &state, &unread);
        if (fields == 3 && port == endpoint.port && state != listening)
            sum += unread;
    }
    return sum;
}

}
