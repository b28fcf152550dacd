#pragma once
// The latest changes to the platform's records, for peers that learn of them from this instance.

#include "store/KeyValueStore.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace dragonfly::directory {

class RecordHistory {
public:
    /// @param mostBytes of keys and values that are kept
    explicit RecordHistory(size_t mostBytes = 1u << 20)
        : mostBytes(mostBytes)
    {
    }

    /// Takes a change that was seen, in any order and any number of times.
    void note(const store::Change& change);
    /// Every change up to @p revision has been noted.
    void advance(int64_t revision);
    /// A whole read has ended: what it did not list and was not written after @p revision is gone.
    void finishWholeRead(const std::set<std::string>& listed, int64_t revision);

    /// The changes behind @p after, as far as they were seen; nothing when some of them are no longer kept.
    std::optional<std::vector<store::Change>> since(int64_t after) const;
    /// All changes up to here are known; 0 before the first whole read.
    int64_t revision() const
    {
        return this->knownTo;
    }

private:
    void append(store::Change change);

    size_t mostBytes;
    size_t bytes = 0;
    int64_t knownFrom = 0; ///< all changes behind this revision and up to knownTo are kept
    int64_t knownTo = 0;
    std::deque<store::Change> changes; ///< in the order in which they were seen
    std::unordered_map<std::string, int64_t> revisions; ///< of each record that exists
};

}
