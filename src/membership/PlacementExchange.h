#pragma once
// Advertises placements, the targets that were chosen for prefixes, to the other instances of a data centre.
//
// Each instance sees only a share of the requests; with the placements of the others it routes as if it had
// seen all. A token bucket limits the bytes sent per second. Placements beyond it are dropped; the instances
// then agree through the order of preferred targets, which all of them compute alike.

#include "membership/Fleet.h"
#include "routing/Placement.h"

#include <QObject>
#include <QTimer>

namespace dragonfly::membership {

class PlacementExchange : public QObject {
    Q_OBJECT
public:
    PlacementExchange(
        Fleet& fleet, routing::PlacementQueue& queue, routing::PrefixIndex& prefixes, uint64_t bytesPerSecond);

    void setView(const routing::ViewPointer& view);
    void start();

private:
    void tick();
    void receive(const pb::PlacementNews& news);
    size_t placementsWithinBudget(size_t peers);
    bool shouldAdvertise(const routing::Placement& placement, Clock::time_point now) const;

    Fleet& fleet;
    routing::PlacementQueue& queue;
    routing::PrefixIndex& prefixes;
    std::unordered_map<uint32_t, std::shared_ptr<routing::TargetState>>
        targets; ///< by 32-bit hash of the target's name
    routing::PrefixIndex advertised; ///< placements that were sent to peers
    double bytesPerSecond;
    double availableBytes = 0; ///< fill level of the token bucket
    Clock::time_point refilledAt; ///< when the bucket was last refilled
    QTimer timer;
};

}
