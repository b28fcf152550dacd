#pragma once
// Answers peers that ask this instance for changes to the platform's records.

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
        const directory::Directory& directory);

    void onQuestion(const std::string& replyTo, const pb::FollowRecords& question);
    /// Answers those whose question can be answered now: changes were seen, or the platform's service was lost.
    void answerWaiting();

private:
    struct Waiting {
        uint64_t question = 0;
        int64_t after = 0;
        Deadline until;
    };

    bool answerIfReady(const std::string& replyTo, const Waiting& waiting);
    void scheduleNext();

    membership::PeerTransport& transport;
    const RelayedSource& source;
    const directory::DirectorySync& sync;
    const directory::Directory& directory;
    std::map<std::string, Waiting> waiting; ///< by address to reply to; a new question replaces the former
    QTimer timer;
};

}
