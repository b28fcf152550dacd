#include "membership/ConfigKeeper.h"

#include "observe/Log.h"

#include <QRandomGenerator>
#include <algorithm>

namespace dragonfly::membership {

namespace {

    constexpr uint32_t protocolVersion = 1;
    constexpr std::chrono::milliseconds fetchTime { 2000 };
    constexpr std::chrono::milliseconds manifestTime { 500 };
    constexpr std::chrono::milliseconds storeTime { 2000 };
    constexpr int longestRestoreDelayMs = 3000;
    constexpr size_t partsPerRead = 32;
    constexpr size_t mostReplyBytes = 1 << 20;

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

bool ConfigKeeper::isNews(uint64_t revision) const
{
    if (revision <= this->revision())
        return false;
    if (!this->pending || this->pending->deadline <= Clock::now())
        return true;
    return revision > this->pending->publication.manifest.revision();
}

void ConfigKeeper::offerFromPlatform(const store::KeyValue& stored)
{
    const auto manifest = config::parseManifest(stored.value);
    if (!manifest)
        return;
    if (this->isNews(manifest->revision())) {
        this->begin(stored.value, {});
    } else if (manifest->revision() < this->revision()) {
        this->metrics.configRefusedOlder.Increment();
        this->restorePlatform(stored.modRevision);
    }
}

void ConfigKeeper::hearOfRevision(const std::string& peerAddress, uint64_t revision)
{
    const auto now = Clock::now();
    if (!this->isNews(revision) || now < this->peerAskedUntil)
        return;
    this->peerAskedUntil = now + manifestTime;
    auto message = newMessage(this->ownAddress);
    message.mutable_fetch_manifest();
    this->peers.send(peerAddress, message);
}

void ConfigKeeper::answer(const pb::FetchManifest&, const std::string& replyTo)
{
    if (!this->current)
        return;
    auto message = newMessage(this->ownAddress);
    message.mutable_manifest_reply()->set_manifest(this->current->manifestBytes);
    this->peers.send(replyTo, message);
}

void ConfigKeeper::answer(const pb::FetchParts& request, const std::string& replyTo)
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
        if (bytes > mostReplyBytes && reply->parts_size())
            break;
        reply->add_parts(found->second);
    }
    this->peers.send(replyTo, message);
}

void ConfigKeeper::take(const pb::ManifestReply& reply, const std::string& peerAddress)
{
    this->peerAskedUntil = {};
    const auto manifest = config::parseManifest(reply.manifest());
    if (!manifest || !this->isNews(manifest->revision()))
        return;
    this->begin(reply.manifest(), peerAddress);
    if (this->pending)
        this->fetchFromPeer(peerAddress);
}

/// Asks for the next few missing parts; their arrival asks for those that follow.
void ConfigKeeper::fetchFromPeer(const std::string& peerAddress)
{
    auto message = newMessage(this->ownAddress);
    const auto& missing = this->pending->missing;
    for (size_t i = 0; i < std::min(partsPerRead, missing.size()); ++i)
        message.mutable_fetch_parts()->add_sha256(missing[i]);
    this->peers.send(peerAddress, message);
}

/// A part that is here already: of the configuration in force, or of an attempt that was given up.
const std::string* ConfigKeeper::findPart(const std::string& digest) const
{
    const auto in = [&digest](const config::Publication& publication) {
        const auto found = publication.parts.find(digest);
        return found == publication.parts.end() ? nullptr : &found->second;
    };
    const auto* part = this->current ? in(*this->current) : nullptr;
    return part || !this->pending ? part : in(this->pending->publication);
}

/// Starts to collect the parts of a newer manifest that are not here yet.
void ConfigKeeper::begin(std::string_view manifestBytes, const std::string& peer)
{
    Pending next;
    next.publication.manifest = *config::parseManifest(manifestBytes);
    next.publication.manifestBytes = manifestBytes;
    next.deadline = Clock::now() + fetchTime;
    next.peer = peer;
    for (const auto& reference : next.publication.manifest.parts()) {
        if (const auto* part = this->findPart(reference.sha256()))
            next.publication.parts.emplace(reference.sha256(), *part);
        else
            next.missing.push_back(reference.sha256());
    }
    this->pending = std::move(next);
    this->applyWhenWhole();
    if (this->pending && peer.empty())
        this->fetchFromPlatform();
}

void ConfigKeeper::fetchFromPlatform()
{
    const auto& missing = this->pending->missing;
    for (size_t first = 0; first < missing.size(); first += partsPerRead) {
        std::vector<store::ReadRequest> ranges;
        for (size_t i = first; i < std::min(first + partsPerRead, missing.size()); ++i)
            ranges.push_back({ config::partKey(missing[i]) });
        this->metrics.platformCalls.Increment();
        this->store.read(ranges, Clock::now() + fetchTime, [this](store::ReadResult result) {
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

void ConfigKeeper::take(const pb::PartsReply& reply, const std::string& peerAddress)
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
    this->applyWhenWhole();
}

void ConfigKeeper::applyWhenWhole()
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

/// The platform lost a manifest that is in force here: give it back, unless somebody else does so first.
void ConfigKeeper::restorePlatform(int64_t storedModRevision)
{
    if (this->restoring)
        return;
    this->restoring = true;
    observe::logChange(observe::LogLevel::Warning, "the platform holds an older configuration; restoring ours",
        { { "revision", std::to_string(this->revision()) } });
    const auto delay = QRandomGenerator::global()->bounded(longestRestoreDelayMs);
    QTimer::singleShot(delay, this, [this, publication = this->current, storedModRevision] {
        this->putPartsThenManifest(publication, 0, storedModRevision);
    });
}

void ConfigKeeper::putPartsThenManifest(
    std::shared_ptr<const config::Publication> publication, size_t part, int64_t storedModRevision)
{
    const auto deadline = Clock::now() + storeTime;
    this->metrics.platformCalls.Increment();
    if (part == publication->parts.size()) {
        // A newer manifest that was published meanwhile makes this swap fail, as it should.
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
