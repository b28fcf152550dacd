#pragma once
// Tells the other instances of a data centre which targets were given which prefixes.
//
// Each sees a share of the requests only; told of the others' placements it chooses as if it had seen
// all. What it sends is bounded in bytes a second; a placement that does not fit is dropped, and then the
// order of homes, which all compute alike, has to do.

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
    size_t affordable(size_t peers);
    bool isNews(const routing::Placement& placement, Clock::time_point now) const;

    Fleet& fleet;
    routing::PlacementQueue& queue;
    routing::PrefixIndex& prefixes;
    std::unordered_map<uint32_t, std::shared_ptr<routing::TargetState>> targets; ///< by shortened hash of the name
    routing::PrefixIndex told; ///< placements that peers know of from here
    double bytesPerSecond;
    double bytesLeft = 0;
    Clock::time_point filledAt;
    QTimer timer;
};

}
