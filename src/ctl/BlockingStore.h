#pragma once
// The platform's service for a command-line tool: each call waits for its answer.

#include "store/Store.h"

namespace dragonfly::ctl {

class BlockingStore {
public:
    explicit BlockingStore(store::KeyValueStore& store);

    store::ReadResult read(const std::vector<store::ReadRequest>& ranges);
    store::SwapResult compareAndSwap(const std::string& key, int64_t expected, const std::string& value);
    store::WriteResult put(const std::string& key, const std::string& value);

private:
    store::KeyValueStore& store;
};

/// The body of the answer to a GET, when its status was 200.
Result<std::string> fetch(const Endpoint& endpoint, const std::string& path);

}
