#pragma once
// Holds the configuration in force and replaces it by newer revisions only.
//
// A newer manifest comes from the platform or from any peer. Parts that are missing locally are fetched
// from the source of the manifest. The new configuration is applied only after all of its parts have
// arrived and match the digests in the manifest.

#include "config/Publication.h"
#include "membership/PeerTransport.h"
#include "observe/Metrics.h"
#include "store/KeyValueStore.h"

#include <QObject>
#include <QTimer>
#include <optional>

namespace dragonfly::membership {

/// Applies a complete publication; the second argument holds the objects of all its parts.
using ApplyConfig = std::function<void(const config::Publication&, const pb::ConfigPart&)>;

class ConfigKeeper : public QObject {
    Q_OBJECT
public:
    ConfigKeeper(std::string ownAddress, store::KeyValueStore& store, PeerTransport& peers, observe::Metrics& metrics,
        ApplyConfig apply);

    uint64_t revision() const
    {
        return this->current ? this->current->manifest.revision() : 0;
    }
    std::string manifestDigest() const
    {
        return this->current ? this->current->digest() : std::string();
    }
    WallClock::time_point inForceSince() const
    {
        return this->appliedAt;
    }

    /// Compares the manifest stored in the platform's service with the one in force: fetches and applies a
    /// newer one, and overwrites an older one.
    void reconcileWithPlatform(const store::KeyValue& stored);
    /// Requests the manifest of a peer that advertises @p revision, if that is newer than the one in force.
    void requestManifestIfNewer(const std::string& peerAddress, uint64_t revision);

    void sendReply(const pb::FetchManifest& request, const std::string& replyTo);
    void sendReply(const pb::FetchParts& request, const std::string& replyTo);
    void handleReply(const pb::ManifestReply& reply, const std::string& peerAddress);
    void handleReply(const pb::PartsReply& reply, const std::string& peerAddress);

    /// Called after a newer configuration was applied.
    std::function<void()> onApplied;

private:
    /// A newer publication of which parts are still missing.
    struct Pending {
        config::Publication publication;
        std::vector<std::string> missing; ///< digests of the parts that have not arrived yet
        Deadline deadline; ///< when the fetch is abandoned, so that another source can be used
        std::string peer; ///< address of the source; empty for the platform
    };

    bool isNewer(uint64_t revision) const;
    const std::string* findPart(const std::string& digest) const;
    void startFetch(std::string_view manifestBytes, const std::string& peer);
    void fetchFromPlatform();
    void fetchFromPeer(const std::string& peerAddress);
    void addPart(const std::string& digest, const std::string& bytes);
    void applyWhenComplete();
    void restoreManifest(int64_t storedModRevision);
    void putPartsThenManifest(
        std::shared_ptr<const config::Publication> publication, size_t part, int64_t storedModRevision);

    std::string ownAddress; ///< address that peers send their replies to
    store::KeyValueStore& store;
    PeerTransport& peers;
    observe::Metrics& metrics;
    ApplyConfig apply;
    std::shared_ptr<const config::Publication> current; ///< publication in force; null before the first one
    WallClock::time_point appliedAt;
    std::optional<Pending> pending;
    Deadline manifestReplyDeadline; ///< no other manifest is requested before it, unless the reply arrives
    bool restoring = false; ///< whether a write of our manifest to the platform is scheduled or in progress
};

/// An empty message with the protocol version and the reply address set.
pb::PeerMessage newMessage(const std::string& ownAddress);

}
