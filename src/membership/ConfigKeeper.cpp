#include "membership/ConfigKeeper.h"

#include "observe/Log.h"

#include <QRandomGenerator>
#include <algorithm>

namespace dragonfly::membership {

namespace {

    constexpr uint32_t protocolVersion = 1;
    constexpr std::chrono::milliseconds fetchTimeout { 2000 };
    constexpr std::chrono::milliseconds manifestReplyTimeout { 500 };
    constexpr std::chrono::milliseconds writeTimeout { 2000 };
    constexpr int maxRestoreDelayMs = 3000;
    constexpr size_t maxPartsPerRequest = 32;
    constexpr size_t maxReplyBytes = 1 << 20;

}

pb::PeerMessage newMessage(const std::string& ownAddress)
{
    pb::PeerMessage message;
    message.set_protocol_version(protocolVersion);
    message.set_reply_to(ownAddress);
    return message;
}

ConfigKeeper::ConfigKeeper(std::string ownAddress, store::KeyValueStore& store, PeerTransport& peers,
    observe::Metrics& metrics, ApplyConfig apply)
    : ownAddress(std::move(ownAddress))
    , store(store)
    , peers(peers)
    , metrics(metrics)
    , apply(std::move(apply))
{
}

bool ConfigKeeper::isNewer(uint64_t revision) const
{
    if (revision <= this->revision())
        return false;
    if (!this->pending || this->pending->deadline <= Clock::now())
        return true;
    return revision > this->pending->publication.manifest.revision();
}

void ConfigKeeper::reconcileWithPlatform(const store::KeyValue& stored)
{
    const auto manifest = config::parseManifest(stored.value);
    if (!manifest)
        return;
    if (this->isNewer(manifest->revision())) {
        this->startFetch(stored.value, {});
    } else if (manifest->revision() < this->revision()) {
        this->metrics.configRefusedOlder.Increment();
        this->restoreManifest(stored.modRevision);
    }
}

void ConfigKeeper::requestManifestIfNewer(const std::string& peerAddress, uint64_t revision)
{
    const auto now = Clock::now();
    if (!this->isNewer(revision) || now < this->manifestReplyDeadline)
        return;
    this->manifestReplyDeadline = now + manifestReplyTimeout;
    auto message = newMessage(this->ownAddress);
    message.mutable_fetch_manifest();
    this->peers.send(peerAddress, message);
}

void ConfigKeeper::sendReply(const pb::FetchManifest&, const std::string& replyTo)
{
    if (!this->current)
        return;
    auto message = newMessage(this->ownAddress);
    message.mutable_manifest_reply()->set_manifest(this->current->manifestBytes);
    this->peers.send(replyTo, message);
}

void ConfigKeeper::sendReply(const pb::FetchParts& request, const std::string& replyTo)
{
    if (!this->current)
        return;
    auto message = newMessage(this->ownAddress);
    auto* reply = message.mutable_parts_reply();
    size_t bytes = 0;
    for (const auto& digest : request.sha256()) {
        const auto found = this->current->parts.find(digest);
        if (found == this->current->parts.end())
            continue;
        bytes += found->second.size();
        if (bytes > maxReplyBytes && reply->parts_size())
            break;
        reply->add_parts(found->second);
    }
    this->peers.send(replyTo, message);
}

void ConfigKeeper::handleReply(const pb::ManifestReply& reply, const std::string& peerAddress)
{
    this->manifestReplyDeadline = {};
    const auto manifest = config::parseManifest(reply.manifest());
    if (!manifest || !this->isNewer(manifest->revision()))
        return;
    this->startFetch(reply.manifest(), peerAddress);
    if (this->pending)
        this->fetchFromPeer(peerAddress);
}

/// Requests the next missing parts. The handler of the reply requests those that follow.
void ConfigKeeper::fetchFromPeer(const std::string& peerAddress)
{
    auto message = newMessage(this->ownAddress);
    const auto& missing = this->pending->missing;
    for (size_t i = 0; i < std::min(maxPartsPerRequest, missing.size()); ++i)
        message.mutable_fetch_parts()->add_sha256(missing[i]);
    this->peers.send(peerAddress, message);
}

/// Returns a part that is available locally, from the configuration in force or from the pending publication; null if
/// there is none.
const std::string* ConfigKeeper::findPart(const std::string& digest) const
{
    const auto partOf = [&digest](const config::Publication& publication) {
        const auto found = publication.parts.find(digest);
        return found == publication.parts.end() ? nullptr : &found->second;
    };
    const auto* part = this->current ? partOf(*this->current) : nullptr;
    return part || !this->pending ? part : partOf(this->pending->publication);
}

/// Starts to fetch the parts of a newer manifest that are not available locally.
void ConfigKeeper::startFetch(std::string_view manifestBytes, const std::string& peer)
{
    Pending next;
    next.publication.manifest = *config::parseManifest(manifestBytes);
    next.publication.manifestBytes = manifestBytes;
    next.deadline = Clock::now() + fetchTimeout;
    next.peer = peer;
    for (const auto& reference : next.publication.manifest.parts()) {
        if (const auto* part = this->findPart(reference.sha256()))
            next.publication.parts.emplace(reference.sha256(), *part);
        else
            next.missing.push_back(reference.sha256());
    }
    this->pending = std::move(next);
    this->applyWhenComplete();
    if (this->pending && peer.empty())
        this->fetchFromPlatform();
}

void ConfigKeeper::fetchFromPlatform()
{
    const auto& missing = this->pending->missing;
    for (size_t first = 0; first < missing.size(); first += maxPartsPerRequest) {
        std::vector<store::ReadRequest> ranges;
        for (size_t i = first; i < std::min(first + maxPartsPerRequest, missing.size()); ++i)
            ranges.push_back({ config::partKey(missing[i]) });
        this->metrics.platformCalls.Increment();
        this->store.read(ranges, Clock::now() + fetchTimeout, [this](store::ReadResult result) {
            const auto* pairs = std::get_if<std::vector<store::KeyValue>>(&result);
            if (!pairs) {
                this->metrics.platformFailures.Increment();
                return;
            }
            for (const auto& pair : *pairs)
                this->addPart(sha256(pair.value), pair.value);
        });
    }
}

void ConfigKeeper::handleReply(const pb::PartsReply& reply, const std::string& peerAddress)
{
    for (const auto& part : reply.parts())
        this->addPart(sha256(part), part);
    if (this->pending && reply.parts_size())
        this->fetchFromPeer(peerAddress);
}

void ConfigKeeper::addPart(const std::string& digest, const std::string& bytes)
{
    if (!this->pending || !std::erase(this->pending->missing, digest))
        return;
    this->pending->publication.parts.emplace(digest, bytes);
    this->applyWhenComplete();
}

void ConfigKeeper::applyWhenComplete()
{
    if (!this->pending || !this->pending->missing.empty())
        return;
    const auto objects = config::joinParts(this->pending->publication);
    if (!objects) {
        this->pending.reset();
        return;
    }
    const bool fromPeer = !this->pending->peer.empty();
    this->current = std::make_shared<config::Publication>(std::move(this->pending->publication));
    this->pending.reset();
    this->appliedAt = WallClock::now();
    this->metrics.configApplied.Increment();
    this->metrics.configRevision.Set(static_cast<double>(this->revision()));
    if (fromPeer)
        this->metrics.configFromPeers.Increment();
    observe::logChange(observe::LogLevel::Info, "configuration in force",
        { { "revision", std::to_string(this->revision()) }, { "source", fromPeer ? "peer" : "platform" },
            { "author", this->current->manifest.author() } });
    this->apply(*this->current, *objects);
    if (this->onApplied)
        this->onApplied();
}

/// Writes the configuration in force back to the platform, which holds an older one. A random delay lets one instance
/// write first; the compare-and-swap of the others then fails.
void ConfigKeeper::restoreManifest(int64_t storedModRevision)
{
    if (this->restoring)
        return;
    this->restoring = true;
    observe::logChange(observe::LogLevel::Warning, "platform holds an older configuration, restoring the one in force",
        { { "revision", std::to_string(this->revision()) } });
    const auto delay = QRandomGenerator::global()->bounded(maxRestoreDelayMs);
    QTimer::singleShot(delay, this, [this, publication = this->current, storedModRevision] {
        this->putPartsThenManifest(publication, 0, storedModRevision);
    });
}

void ConfigKeeper::putPartsThenManifest(
    std::shared_ptr<const config::Publication> publication, size_t part, int64_t storedModRevision)
{
    const auto deadline = Clock::now() + writeTimeout;
    this->metrics.platformCalls.Increment();
    if (part == publication->parts.size()) {
        // The swap fails if another manifest was written meanwhile; that one must not be overwritten.
        this->store.compareAndSwap(std::string(config::manifestKey), storedModRevision, publication->manifestBytes,
            deadline, [this](const store::SwapResult&) { this->restoring = false; });
        return;
    }
    const auto& [digest, bytes] = *std::next(publication->parts.begin(), static_cast<ptrdiff_t>(part));
    this->store.put(config::partKey(digest), bytes, 0, deadline,
        [this, publication, part, storedModRevision](const store::WriteResult& result) {
            if (std::holds_alternative<store::StoreFailure>(result)) {
                this->restoring = false;
                return;
            }
            this->putPartsThenManifest(publication, part + 1, storedModRevision);
        });
}

}
