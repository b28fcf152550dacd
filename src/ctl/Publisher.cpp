#include "ctl/Publisher.h"

#include <QThread>

namespace dragonfly::ctl {

namespace {

    constexpr size_t partsPerRead = 32;
    constexpr int swapAttempts = 10;
    constexpr unsigned long retryPauseMs = 500;
    constexpr size_t mostValueBytes = 1 << 20;

    Error outOfReach()
    {
        return { ErrorKind::Internal, "the platform's service does not answer", Execution::NotRun, {} };
    }

    Status readParts(BlockingStore& store, config::Publication& publication)
    {
        const auto& references = publication.manifest.parts();
        for (int first = 0; first < references.size(); first += partsPerRead) {
            std::vector<store::ReadRequest> ranges;
            for (int i = first; i < std::min<int>(first + partsPerRead, references.size()); ++i)
                ranges.push_back({ config::partKey(references[i].sha256()) });
            const auto result = store.read(ranges);
            const auto* pairs = std::get_if<std::vector<store::KeyValue>>(&result);
            if (!pairs)
                return outOfReach();
            for (const auto& pair : *pairs)
                publication.parts.emplace(sha256(pair.value), pair.value);
        }
        return Success {};
    }

    /// Stores the parts that the publication in force does not have. Parts are named by their content, so
    /// a write that happens twice does no harm.
    std::string putParts(BlockingStore& store, const config::Publication& next, const config::Publication& current)
    {
        for (const auto& [digest, bytes] : next.parts) {
            if (current.parts.contains(digest))
                continue;
            if (bytes.size() > mostValueBytes)
                return "a part is larger than the platform's service takes: " + std::to_string(bytes.size()) + " bytes";
            if (std::holds_alternative<store::StoreFailure>(store.put(config::partKey(digest), bytes)))
                return "the platform's service does not answer; nothing was published";
        }
        return {};
    }

    /// After a swap without an answer: has it taken effect? Nothing while that cannot be said.
    std::optional<PublishOutcome> findOut(BlockingStore& store, const config::Publication& next, int64_t expected)
    {
        auto stored = readStored(store);
        if (errorOf(stored))
            return std::nullopt;
        auto& current = std::get<Stored>(stored);
        if (current.publication.manifestBytes == next.manifestBytes)
            return Published { next.manifest.revision() };
        if (current.modRevision != expected)
            return PublishConflict { std::move(current) };
        return std::nullopt;
    }

}

Result<Stored> readStored(BlockingStore& store)
{
    const auto result = store.read({ { std::string(config::manifestKey) } });
    const auto* pairs = std::get_if<std::vector<store::KeyValue>>(&result);
    if (!pairs)
        return outOfReach();
    Stored stored;
    if (pairs->empty())
        return stored;
    const auto manifest = config::parseManifest(pairs->front().value);
    if (!manifest)
        return Error { ErrorKind::Internal, "the stored manifest cannot be read", Execution::NotRun, {} };
    stored.publication.manifest = *manifest;
    stored.publication.manifestBytes = pairs->front().value;
    stored.modRevision = pairs->front().modRevision;
    if (auto status = readParts(store, stored.publication); errorOf(status))
        return *errorOf(status);
    const auto objects = config::joinParts(stored.publication);
    if (!objects)
        return Error { ErrorKind::Internal, "a part of the stored configuration is missing", Execution::NotRun, {} };
    stored.objects = *objects;
    return stored;
}

PublishOutcome publish(BlockingStore& store, const pb::ConfigPart& objects, uint64_t base, const std::string& author)
{
    auto stored = readStored(store);
    if (const auto* error = errorOf(stored))
        return PublishFailed { error->detail };
    auto& current = std::get<Stored>(stored);
    if (current.publication.manifest.revision() != base)
        return PublishConflict { std::move(current) };
    const auto next = config::buildPublication(objects, config::nextRevision(base, WallClock::now()), author);
    if (auto why = putParts(store, next, current.publication); !why.empty())
        return PublishFailed { why };
    bool wasUnknown = false;
    for (int attempt = 0; attempt < swapAttempts; ++attempt) {
        const auto result
            = store.compareAndSwap(std::string(config::manifestKey), current.modRevision, next.manifestBytes);
        if (std::holds_alternative<store::Swapped>(result))
            return Published { next.manifest.revision() };
        const auto* failure = std::get_if<store::StoreFailure>(&result);
        wasUnknown |= failure && *failure == store::StoreFailure::Unknown;
        // Also after a conflict: it may be our own earlier swap, whose answer was lost.
        if (const auto outcome = findOut(store, next, current.modRevision))
            return *outcome;
        QThread::msleep(retryPauseMs);
    }
    if (wasUnknown)
        return PublishUnknown {};
    return PublishFailed { "the platform's service does not answer; nothing was published" };
}

}
