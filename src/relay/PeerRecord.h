#pragma once
// The form in which instances are described to each other, in their records and in their queries.

#include "peer.pb.h"
#include "relay/PeerRanking.h"

namespace dragonfly::relay {

pb::PeerAddress toRecord(const Peer& peer);
/// Nothing if the record lacks the instance's name or has no valid address.
std::optional<Peer> fromRecord(const pb::PeerAddress& record);

}
