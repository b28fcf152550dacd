#pragma once
// Answers the queries of peers for changes to the platform's records.

#include "directory/DirectorySync.h"
#include "membership/PeerTransport.h"
#include "relay/RelayedSource.h"

#include <QObject>
#include <QTimer>
#include <map>

namespace dragonfly::relay {

class RecordRelay : public QObject {
    Q_OBJECT
public:
    RecordRelay(membership::PeerTransport& transport, const RelayedSource& source, const directory::DirectorySync& sync,
        const directory::Directory& directory, PeerRanking& ranking);

    /// Answers at once when there are changes or none can be supplied; otherwise waits for changes for as long as the
    /// query allows.
    void onQuery(const std::string& replyTo, const pb::FollowRecords& query);
    /// Answers the pending queries that have become answerable, because there are changes, the connection to the
    /// platform's service was lost, or their wait is over.
    void answerPendingQueries();

private:
    struct PendingQuery {
        uint64_t number = 0; ///< chosen by the peer, returned in the reply
        int64_t after = 0; ///< revision behind which changes are wanted
        Deadline until; ///< end of the wait; the reply may be empty then
    };

    bool answerIfReady(const std::string& replyTo, const PendingQuery& query);
    void scheduleNext();

    membership::PeerTransport& transport;
    const RelayedSource& source;
    const directory::DirectorySync& sync;
    const directory::Directory& directory;
    PeerRanking& ranking;
    /// Keyed by reply address; a new query replaces the peer's former one.
    std::map<std::string, PendingQuery> pendingQueries;
    QTimer timer;
};

}
