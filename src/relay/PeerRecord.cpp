#include "relay/PeerRecord.h"

namespace dragonfly::relay {

pb::PeerAddress toRecord(const Peer& peer)
{
    pb::PeerAddress record;
    record.set_instance(peer.instance);
    record.set_address(peer.address);
    record.set_region(peer.place.region);
    record.set_data_centre(peer.place.dataCentre);
    record.set_capacity(peer.capacity);
    record.set_tunnels(peer.tunnels);
    return record;
}

std::optional<Peer> fromRecord(const pb::PeerAddress& record)
{
    if (record.instance().empty() || !parseRemoteEndpoint(record.address()))
        return std::nullopt;
    return Peer { record.instance(), record.address(), { record.region(), record.data_centre() }, record.capacity(),
        record.tunnels() };
}

}
