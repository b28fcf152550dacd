#pragma once
// Sends health probes to targets. A few instances of its data centre probe each target and gossip the result.

#include "http/Http.h"
#include "membership/Fleet.h"

#include <QObject>
#include <QTimer>

namespace dragonfly::membership {

/// Called with the headers of a target's answer to a probe, in the control thread.
using ProbeObserver = std::function<void(const routing::Target&, const http::Headers&)>;

class Prober : public QObject {
    Q_OBJECT
public:
    Prober(Fleet& fleet, http::ClientPool& pool, observe::Metrics& metrics, ProbeObserver observer);

    void setView(routing::ViewPointer view)
    {
        this->view = std::move(view);
    }
    void start();

private:
    void tick();
    void probe(const routing::Target& target);
    bool isAssigned(const routing::Target& target, const std::vector<Member>& live) const;

    Fleet& fleet;
    http::ClientPool& pool;
    observe::Metrics& metrics;
    ProbeObserver observer;
    routing::ViewPointer view;
    QTimer timer;
};

}
