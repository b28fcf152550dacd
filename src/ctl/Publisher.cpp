#include "ctl/Publisher.h"

#include <QThread>

namespace dragonfly::ctl {

namespace {

    constexpr size_t partsPerRead = 32;
    constexpr int maxSwapAttempts = 10;
    constexpr unsigned long swapRetryBackoffMs = 500;
    constexpr size_t maxValueBytes = 1 << 20;

    Error unreachableError()
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
                return unreachableError();
            for (const auto& pair : *pairs)
                publication.parts.emplace(sha256(pair.value), pair.value);
        }
        return Success {};
    }

    /// Stores the parts that the publication in force does not contain, and returns an error text, empty on success.
    /// The key of a part is the digest of its content, so repeating a write is harmless.
    std::string putParts(BlockingStore& store, const config::Publication& next, const config::Publication& current)
    {
        for (const auto& [digest, bytes] : next.parts) {
            if (current.parts.contains(digest))
                continue;
            if (bytes.size() > maxValueBytes)
                return "a part is larger than the platform's service accepts: " + std::to_string(bytes.size())
                    + " bytes";
            if (std::holds_alternative<store::StoreFailure>(store.put(config::partKey(digest), bytes)))
                return "the platform's service does not answer; nothing was published";
        }
        return {};
    }

    /// Reads back whether a swap took effect. Nothing if that is not known, or if the swap can be repeated.
    std::optional<PublishOutcome> checkSwapOutcome(
        BlockingStore& store, const config::Publication& next, int64_t expected)
    {
        auto stored = readStoredConfig(store);
        if (errorOf(stored))
            return std::nullopt;
        auto& current = std::get<StoredConfig>(stored);
        if (current.publication.manifestBytes == next.manifestBytes)
            return Published { next.manifest.revision() };
        if (current.modRevision != expected)
            return PublishConflict { std::move(current) };
        return std::nullopt;
    }

}

Result<StoredConfig> readStoredConfig(BlockingStore& store)
{
    const auto result = store.read({ { std::string(config::manifestKey) } });
    const auto* pairs = std::get_if<std::vector<store::KeyValue>>(&result);
    if (!pairs)
        return unreachableError();
    StoredConfig stored;
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
    auto stored = readStoredConfig(store);
    if (const auto* error = errorOf(stored))
        return PublishFailed { error->detail };
    auto& current = std::get<StoredConfig>(stored);
    if (current.publication.manifest.revision() != base)
        return PublishConflict { std::move(current) };
    const auto next = config::buildPublication(objects, config::nextRevision(base, WallClock::now()), author);
    if (auto reason = putParts(store, next, current.publication); !reason.empty())
        return PublishFailed { reason };
    bool anySwapUnknown = false;
    for (int attempt = 0; attempt < maxSwapAttempts; ++attempt) {
        const auto result
            = store.compareAndSwap(std::string(config::manifestKey), current.modRevision, next.manifestBytes);
        if (std::holds_alternative<store::Swapped>(result))
            return Published { next.manifest.revision() };
        const auto* failure = std::get_if<store::StoreFailure>(&result);
        anySwapUnknown |= failure && *failure == store::StoreFailure::Unknown;
        // After a conflict too: the stored manifest may come from an earlier swap of this call, whose answer was lost.
        if (const auto outcome = checkSwapOutcome(store, next, current.modRevision))
            return *outcome;
        QThread::msleep(swapRetryBackoffMs);
    }
    if (anySwapUnknown)
        return PublishUnknown {};
    return PublishFailed { "the platform's service does not answer; nothing was published" };
}

}
