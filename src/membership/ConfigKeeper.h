#pragma once
// Holds the configuration in force and moves it forward, never back.
//
// A newer manifest may come from the platform or from any peer; its parts come from wherever the
// manifest came from, and only those that are not here yet. Nothing is in force before all parts have
// arrived with the digests that the manifest names.

#include "config/Publication.h"
#include "membership/PeerTransport.h"
#include "observe/Metrics.h"
#include "store/KeyValueStore.h"

#include <QObject>
#include <QTimer>
#include <optional>

namespace dragonfly::membership {

/// Puts a whole publication in force.
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

    /// What the platform holds under the manifest's key; an older one than ours is written over again.
    void offerFromPlatform(const store::KeyValue& stored);
    /// A peer says that it has @p revision in force.
    void hearOfRevision(const std::string& peerAddress, uint64_t revision);

    void answer(const pb::FetchManifest& request, const std::string& replyTo);
    void answer(const pb::FetchParts& request, const std::string& replyTo);
    void take(const pb::ManifestReply& reply, const std::string& peerAddress);
    void take(const pb::PartsReply& reply, const std::string& peerAddress);

    /// Called once a newer configuration is in force.
    std::function<void()> onApplied;

private:
    /// A newer publication whose parts are still arriving.
    struct Pending {
        config::Publication publication;
        std::vector<std::string> missing; ///< digests
        Deadline deadline; ///< given up then, so that another source may be asked
        std::string peer; ///< empty when it comes from the platform
    };

    bool isNews(uint64_t revision) const;
    const std::string* findPart(const std::string& digest) const;
    void begin(std::string_view manifestBytes, const std::string& peer);
    void fetchFromPlatform();
    void fetchFromPeer(const std::string& peerAddress);
    void addPart(const std::string& digest, const std::string& bytes);
    void applyWhenWhole();
    void restorePlatform(int64_t storedModRevision);
    void putPartsThenManifest(
        std::shared_ptr<const config::Publication> publication, size_t part, int64_t storedModRevision);

    std::string ownAddress; ///< where peers send their replies to
    store::KeyValueStore& store;
    PeerTransport& peers;
    observe::Metrics& metrics;
    ApplyConfig apply;
    std::shared_ptr<const config::Publication> current; ///< null before the first one
    WallClock::time_point appliedAt;
    std::optional<Pending> pending;
    Deadline peerAskedUntil; ///< a manifest was asked for and may still come
    bool restoring = false;
};

pb::PeerMessage newMessage(const std::string& ownAddress);

}
