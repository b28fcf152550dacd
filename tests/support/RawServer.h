#pragma once
// A target that answers each connection with given bytes and ends it in a given way.

#include "base/Base.h"

#include <string>
#include <thread>
#include <vector>

namespace testing {

enum class Ending {
    Close,
    Reset,
    Silence, ///< the connection stays open without another byte
};

/// What one accepted connection gets, in order.
struct RawAnswer {
    std::string bytes;
    Ending ending = Ending::Close;
    std::chrono::milliseconds endsAfter { 0 };
};

/// Serves one connection after the other from a thread of its own.
class RawServer {
public:
    explicit RawServer(std::vector<RawAnswer> answers);
    ~RawServer();

    dragonfly::Endpoint address() const
    {
        return this->endpoint;
    }

private:
    void run(const std::vector<RawAnswer>& answers);

    int listener = -1;
    dragonfly::Endpoint endpoint;
    std::vector<int> silent; ///< connections that are kept open until the end
    std::thread thread;
};

}
