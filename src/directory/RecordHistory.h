#pragma once
// A bounded history of changes to the platform's records, for peers that follow them through this instance.

#include "store/KeyValueStore.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace dragonfly::directory {

class RecordHistory {
public:
    /// @param maxBytes limit on the size of the retained changes; the oldest are dropped above it
    explicit RecordHistory(size_t maxBytes = 1u << 20)
        : maxBytes(maxBytes)
    {
    }

    /// Records a change. Changes may arrive in any order and more than once.
    void record(const store::Change& change);
    /// Marks all changes up to @p revision as recorded.
    void advance(int64_t revision);
    /// Ends a whole read: records removals for all records that are not in @p listed and were last written at
    /// @p revision or before.
    void completeWholeRead(const std::set<std::string>& listed, int64_t revision);

    /// All recorded changes after revision @p after; nullopt if some of them are no longer retained.
    std::optional<std::vector<store::Change>> since(int64_t after) const;
    /// The revision up to which all changes are known; 0 before the first whole read.
    int64_t revision() const
    {
        return this->completeUpTo;
    }

private:
    void append(store::Change change);

    size_t maxBytes;
    size_t bytes = 0;
    int64_t completeAfter = 0; ///< all changes after this revision, up to completeUpTo, are retained
    int64_t completeUpTo = 0;
    std::deque<store::Change> changes; ///< in the order in which they were recorded
    std::unordered_map<std::string, int64_t> revisions; ///< revision of each existing record, by key
};

}
