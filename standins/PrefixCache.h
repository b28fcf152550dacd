#pragma once
// The prefix cache of the engine stand-in: blocks of a fixed number of tokens in limited memory.

#include "base/Base.h"

#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace standins {

/// Least recently used blocks are evicted. A block is found only when all blocks before it are cached.
class PrefixCache {
public:
    static constexpr uint32_t blockTokens = 16;
    static constexpr uint32_t bytesPerToken = 4;

    explicit PrefixCache(size_t capacity)
        : capacity(capacity)
    {
    }

    /// Tokens of @p prompt that are cached, in whole blocks.
    uint32_t cachedTokens(std::string_view prompt, uint64_t salt)
    {
        uint32_t blocks = 0;
        for (const auto hash : blockHashes(prompt, salt)) {
            if (!this->touch(hash))
                break;
            ++blocks;
        }
        return blocks * blockTokens;
    }

    /// The same, without making the blocks more recently used.
    uint32_t peekTokens(std::string_view prompt, uint64_t salt) const
    {
        uint32_t blocks = 0;
        for (const auto hash : blockHashes(prompt, salt)) {
            if (!this->blocks.contains(hash))
                break;
            ++blocks;
        }
        return blocks * blockTokens;
    }

    void insert(std::string_view prompt, uint64_t salt)
    {
        const auto hashes = blockHashes(prompt, salt);
        // Last block first, so that eviction takes the ends of prompts before their beginnings.
        for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
            if (this->touch(*hash))
                continue;
            this->order.push_front(*hash);
            this->blocks[*hash] = this->order.begin();
        }
        while (this->blocks.size() > this->capacity) {
            this->blocks.erase(this->order.back());
            this->order.pop_back();
            ++this->evicted;
        }
    }

    void clear()
    {
        this->blocks.clear();
        this->order.clear();
    }

    size_t size() const
    {
        return this->blocks.size();
    }
    uint64_t evictions() const
    {
        return this->evicted;
    }

private:
    static std::vector<uint64_t> blockHashes(std::string_view prompt, uint64_t salt)
    {
        std::vector<uint64_t> hashes;
        auto hash = salt;
        const size_t blockBytes = blockTokens * bytesPerToken;
        for (size_t start = 0; start + blockBytes <= prompt.size(); start += blockBytes) {
            hash = dragonfly::fastHash(prompt.substr(start, blockBytes), hash);
            hashes.push_back(hash);
        }
        return hashes;
    }

    bool touch(uint64_t hash)
    {
        const auto found = this->blocks.find(hash);
        if (found == this->blocks.end())
            return false;
        this->order.splice(this->order.begin(), this->order, found->second);
        return true;
    }

    size_t capacity;
    std::list<uint64_t> order; ///< most recently used first
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> blocks;
    uint64_t evicted = 0;
};

}
