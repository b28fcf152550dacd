#pragma once
// The prefix cache of the engine stand-in: an LRU cache of blocks of tokens, with a fixed capacity in blocks.

#include "base/Base.h"

#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace standins {

/// Evicts the least recently used blocks. A block is a hit only if all preceding blocks of the prompt are cached.
class PrefixCache {
public:
    static constexpr uint32_t blockTokens = 16;
    static constexpr uint32_t bytesPerToken = 4;

    /// @param capacity maximum number of cached blocks
    explicit PrefixCache(size_t capacity)
        : capacity(capacity)
    {
    }

    /// Counts the cached tokens of @p prompt in whole blocks and marks these blocks as recently used.
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

    /// Counts the cached tokens of @p prompt in whole blocks and leaves the order of eviction unchanged.
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
        // The last block goes in first, so that the ends of prompts are evicted before their beginnings.
        for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
            if (this->touch(*hash))
                continue;
            this->lruOrder.push_front(*hash);
            this->blocks[*hash] = this->lruOrder.begin();
        }
        while (this->blocks.size() > this->capacity) {
            this->blocks.erase(this->lruOrder.back());
            this->lruOrder.pop_back();
            ++this->evictedBlocks;
        }
    }

    void clear()
    {
        this->blocks.clear();
        this->lruOrder.clear();
    }

    size_t size() const
    {
        return this->blocks.size();
    }
    uint64_t evictions() const
    {
        return this->evictedBlocks;
    }

private:
    /// Hash of each whole block, chained with the hashes of the blocks before it.
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
        this->lruOrder.splice(this->lruOrder.begin(), this->lruOrder, found->second);
        return true;
    }

    size_t capacity;
    std::list<uint64_t> lruOrder; ///< block hashes, most recently used first
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> blocks;
    uint64_t evictedBlocks = 0;
};

}
