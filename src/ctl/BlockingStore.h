#pragma once
// The platform's service for a command-line tool: each call waits for its answer.

#include "platform/Platform.h"

namespace dragonfly::ctl {

class BlockingStore {
public:
    explicit BlockingStore(platform::KeyValueStore& store);

    platform::ReadResult read(const std::vector<platform::ReadRequest>& ranges);
    platform::SwapResult compareAndSwap(const std::string& key, int64_t expected, const std::string& value);
    platform::WriteResult put(const std::string& key, const std::string& value);

private:
    platform::KeyValueStore& store;
};

/// The body of the answer to a GET, when its status was 200.
Result<std::string> fetch(const Endpoint& endpoint, const std::string& path);

}
