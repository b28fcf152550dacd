#include "directory/RecordHistory.h"

#include <algorithm>

namespace dragonfly::directory {

namespace {

    size_t sizeOf(const store::Change& change)
    {
        return change.pair.key.size() + change.pair.value.size() + sizeof(change);
    }

}

void RecordHistory::record(const store::Change& change)
{
    const auto known = this->revisions.find(change.pair.key);
    const bool exists = known != this->revisions.end();
    if (exists ? change.pair.modRevision <= known->second : change.isRemoval)
        return;
    // A replayed change to a record that has been removed since.
    if (!exists && this->completeUpTo && change.pair.modRevision <= this->completeUpTo)
        return;
    if (change.isRemoval)
        this->revisions.erase(known);
    else
        this->revisions[change.pair.key] = change.pair.modRevision;
    if (this->completeUpTo)
        this->append(change);
}

void RecordHistory::advance(int64_t revision)
{
    this->completeUpTo = std::max(this->completeUpTo, revision);
}

void RecordHistory::completeWholeRead(const std::set<std::string>& listed, int64_t revision)
{
    std::vector<std::string> removed;
    for (const auto& [key, modRevision] : this->revisions) {
        if (!listed.contains(key) && modRevision <= revision)
            removed.push_back(key);
    }
    for (const auto& key : removed)
        this->record({ { key, {}, revision }, true });
    if (!this->completeUpTo)
        this->completeAfter = revision;
    this->advance(revision);
}

void RecordHistory::append(store::Change change)
{
    this->bytes += sizeOf(change);
    this->changes.push_back(std::move(change));
    while (this->bytes > this->maxBytes) {
        const auto& oldest = this->changes.front();
        this->completeAfter = std::max(this->completeAfter, oldest.pair.modRevision);
        this->bytes -= sizeOf(oldest);
        this->changes.pop_front();
    }
}

std::optional<std::vector<store::Change>> RecordHistory::since(int64_t after) const
{
    if (!this->completeUpTo || after < this->completeAfter)
        return std::nullopt;
    std::vector<store::Change> found;
    for (const auto& change : this->changes) {
        if (change.pair.modRevision > after)
            found.push_back(change);
    }
    return found;
}

}
