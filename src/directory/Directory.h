#pragma once
// What an instance knows of the deployment: routes, targets and the weights that are wanted.
//
// Lives in the thread of the event loop. A configuration never gives way to an older one.

#include "directory/Freshness.h"
#include "directory/RouteTable.h"
#include "directory/Target.h"

#include <functional>
#include <map>
#include <set>

namespace dragonfly::directory {

/// Kept off the time within which replaced weights may answer: a request may wait at its engine before it begins.
inline constexpr std::chrono::milliseconds weightsMargin { 2000 };

class Directory {
public:
    explicit Directory(std::chrono::milliseconds proofValidity)
        : freshness(proofValidity)
    {
    }

    Freshness freshness;

    /// The routes in force; null before the first configuration.
    const RouteTablePointer& routes() const
    {
        return this->table;
    }
    /// Puts @p deployment in force unless it is older than what is. True when it did.
    bool apply(Deployment deployment);

    /// Targets of @p service, in the order of their ids.
    std::vector<TargetPointer> targetsOf(std::string_view service) const;
    const std::map<std::string, TargetPointer>& targets() const
    {
        return this->byId;
    }
    void registerTarget(Registration registration);
    void removeTarget(const std::string& id);
    /// Removes every target that is not in @p ids: a whole list was read.
    void keepOnly(const std::set<std::string>& ids);

    /// The version of @p model that operators want; 0 while none was named.
    uint64_t wantedWeights(const std::string& model) const;
    /// When this instance heard of the first version that replaces @p version; nothing while none does.
    std::optional<Clock::time_point> replacedAt(const std::string& model, uint64_t version) const;
    /// @param namedAt not after the moment at which operators named them; the epoch when that is not known
    void nameWeights(const NamedWeights& named, Clock::time_point namedAt);
    /// Another instance vouches, or no longer does, that @p version was replaced so recently that it may still
    /// answer. For instances that did not hear of its replacement themselves.
    void vouchFor(const std::string& model, uint64_t version, bool mayStillAnswer);
    bool isVouchedFor(const std::string& model, uint64_t version) const;
    const std::map<std::string, uint64_t>& allWantedWeights() const
    {
        return this->wanted;
    }

    std::function<void()> onRoutesChanged;
    std::function<void()> onWeightsChanged; ///< wanted ones or a target's

private:
    RouteTablePointer table;
    std::map<std::string, TargetPointer> byId;
    std::map<std::string, uint64_t> wanted;
    /// When each version was named, by model; the epoch for what was named before this instance started.
    std::map<std::string, std::map<uint64_t, Clock::time_point>> namingTimes;
    std::map<std::string, std::set<uint64_t>> vouchedFor; ///< versions, by model
};

}
