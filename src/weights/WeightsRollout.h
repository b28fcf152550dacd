#pragma once
// Brings every engine to the weights that operators have named.
//
// One instance at a time holds the role of giving orders. It reads an engine's report before each order, so
// that an order which is carried out late, after another one, is refused by the engine.

#include "directory/Directory.h"
#include "http/Http.h"
#include "observe/Metrics.h"
#include "store/KeyValueStore.h"
#include "weights/EngineApi.h"
#include "weights/OrderRole.h"

#include <QObject>
#include <QTimer>

namespace dragonfly::weights {

struct RolloutSettings {
    std::string instance;
    RoleTimes role;
    std::chrono::milliseconds weightsTime { 15000 }; ///< replaced weights may answer for this long
    double parallelShare = 0.2; ///< engines of a model that load at the same time; more slow each other down
};

class WeightsRollout : public QObject {
    Q_OBJECT
public:
    static constexpr const char* keyPrefix = "dragonfly/";
    static constexpr const char* roleKey = "dragonfly/order-holder";
    /// Followed by model and version: exists while replaced weights may still answer. For instances that were
    /// started after the replacement was named.
    static constexpr std::string_view vouchPrefix = "dragonfly/may-still-answer/";

    WeightsRollout(const RolloutSettings& settings, store::WatchableStore& store, const EngineApi& api,
        directory::Directory& directory, observe::Metrics& metrics);

    /// A key of this module was seen to exist or not.
    void noteKey(const std::string& key, bool exists);
    /// Wanted weights, or those of some target, have changed.
    void noteChange();
    /// Gives the role up and calls @p done, also when the platform does not answer.
    void stop(std::function<void()> done);

private:
    /// An order on its way to one engine.
    struct Load {
        uint64_t version = 0;
        Deadline checkAt; ///< ask the engine again when its new weights were not seen by then
        bool isAsking = false; ///< a report or an order is under way
    };

    void noteRole(bool isTaken);
    void takeRole();
    void writeRole(int64_t lease, BootClock::time_point leaseAskedAt);
    void renewRole();
    void loseRole(const char* reason);

    /// Writes what instances that start now cannot know: which replaced weights may still answer, and how long.
    void vouchForReplaced();
    void vouchFor(const std::string& model, uint64_t version, std::chrono::seconds time);
    void step();
    void planModel(const std::string& model, uint64_t wanted);
    void ask(const directory::TargetPointer& target, const std::string& model, uint64_t version);
    void onReport(
        const directory::TargetPointer& target, const std::string& model, uint64_t version, const EngineReport& report);
    void order(const directory::TargetPointer& target, const LoadOrder& order);
    void onOrdered(const directory::TargetPointer& target, const LoadOrder& order, OrderOutcome outcome);
    /// Sends one call to an engine; @p done gets nothing when no whole answer came.
    void call(const directory::Target& target, const http::Request& request,
        std::function<void(const http::ResponseHead*, std::string_view)> done);
    bool isBehind() const;

    RolloutSettings settings;
    store::WatchableStore& store;
    const EngineApi& api;
    directory::Directory& directory;
    observe::Metrics& metrics;
    http::ClientPool engines;
    OrderRole role;
    QTimer takeTimer;
    QTimer renewTimer;
    QTimer stepTimer;
    std::map<std::string, Load> loads; ///< by target id
    std::map<std::string, Deadline> vouched; ///< keys that were written, and when they end
    bool isTaken = true; ///< by some instance, as far as is known
    bool isTaking = false;
    bool stopping = false;
};

}
