#include "directory/Directory.h"

#include "observe/Log.h"

namespace dragonfly::directory {

using observe::logChange;
using observe::LogLevel;

namespace {

    std::string formatWeights(const Registration& registration)
    {
        std::string weights;
        for (const auto& [model, version] : registration.weights)
            weights += (weights.empty() ? "" : ",") + model + ":" + std::to_string(version);
        return weights;
    }

    void logTarget(const char* event, const Registration& registration)
    {
        logChange(LogLevel::Info, event,
            { { "target", registration.id }, { "service", registration.service },
                { "address", registration.endpoint.toString() }, { "data_centre", registration.dataCentre },
                { "draining", registration.isDraining ? "yes" : "no" }, { "software", registration.softwareVersion },
                { "weights", formatWeights(registration) } });
    }

    bool isSameProcess(const Registration& a, const Registration& b)
    {
        return a.endpoint == b.endpoint && a.service == b.service && a.startedUnixMs == b.startedUnixMs
            && a.softwareVersion == b.softwareVersion;
    }

}

bool Directory::apply(Deployment deployment)
{
    if (this->table && deployment.version <= this->table->version())
        return false;
    logChange(LogLevel::Info, "configuration in force",
        { { "version", std::to_string(deployment.version) },
            { "previous", std::to_string(this->table ? this->table->version() : 0) },
            { "routes", std::to_string(deployment.routes.size()) },
            { "organisations", std::to_string(deployment.organisations.size()) } });
    this->table = std::make_shared<const RouteTable>(std::move(deployment));
    if (this->onRoutesChanged)
        this->onRoutesChanged();
    return true;
}

std::vector<TargetPointer> Directory::targetsOf(std::string_view service) const
{
    std::vector<TargetPointer> found;
    for (const auto& [id, target] : this->byId) {
        if (target->registration.service == service)
            found.push_back(target);
    }
    return found;
}

void Directory::registerTarget(Registration registration)
{
    auto& target = this->byId[registration.id];
    const bool isNew = !target || !isSameProcess(target->registration, registration);
    if (isNew)
        target = std::make_shared<Target>();
    const bool changesWeights = isNew || target->registration.weights != registration.weights;
    if (isNew || changesWeights || target->registration.isDraining != registration.isDraining)
        logTarget(isNew ? "target registered" : "target changed", registration);
    if (changesWeights)
        target->refusingUntil = {};
    if (!isNew && !target->registration.isDraining && registration.isDraining)
        target->resumesUntil = Clock::now() + this->lateResumption;
    if (registration.sequence != target->registration.sequence)
        target->isDoubted = false;
    target->registration = std::move(registration);
    if (changesWeights && this->onWeightsChanged)
        this->onWeightsChanged();
    if (isNew && this->onTargetAdded)
        this->onTargetAdded();
}

void Directory::removeTarget(const std::string& id)
{
    const auto found = this->byId.find(id);
    if (found == this->byId.end())
        return;
    logTarget("target removed", found->second->registration);
    // Running requests still hold the target and must not select it again.
    found->second->registration.isDraining = true;
    this->byId.erase(found);
    if (this->onWeightsChanged)
        this->onWeightsChanged();
}

void Directory::removeTargetsExcept(const std::set<std::string>& ids)
{
    std::vector<std::string> gone;
    for (const auto& [id, target] : this->byId) {
        if (!ids.contains(id))
            gone.push_back(id);
    }
    for (const auto& id : gone)
        this->removeTarget(id);
}

uint64_t Directory::wantedWeights(const std::string& model) const
{
    const auto found = this->wanted.find(model);
    return found == this->wanted.end() ? 0 : found->second;
}

std::optional<Replacement> Directory::replacementOf(const std::string& model, uint64_t version) const
{
    const auto versions = this->replacements.find(model);
    if (versions == this->replacements.end())
        return std::nullopt;
    const auto next = versions->second.upper_bound(version);
    if (next == versions->second.end())
        return std::nullopt;
    return next->second;
}

void Directory::confirmReplacedVersion(const std::string& model, uint64_t version, bool mayStillAnswer)
{
    auto& confirmed = this->confirmedReplacedVersions[model];
    const bool changes = mayStillAnswer ? confirmed.insert(version).second : confirmed.erase(version) > 0;
    if (changes && this->onWeightsChanged)
        this->onWeightsChanged();
}

bool Directory::isReplacedVersionConfirmed(const std::string& model, uint64_t version) const
{
    const auto versions = this->confirmedReplacedVersions.find(model);
    return versions != this->confirmedReplacedVersions.end() && versions->second.contains(version);
}

void Directory::setWantedWeights(const WantedWeights& weights, BootClock::time_point since)
{
    auto& version = this->wanted[weights.model];
    if (weights.version <= version)
        return;
    version = weights.version;
    const Replacement replacement { since, BootClock::now() };
    this->replacements[weights.model].emplace(weights.version, replacement);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(replacement.notAfter - since);
    logChange(LogLevel::Info, "wanted weights changed",
        { { "model", weights.model }, { "version", std::to_string(weights.version) },
            { "max_age_ms", replacement.isTimeKnown() ? std::to_string(age.count()) : "unknown" } });
    if (this->onWeightsChanged)
        this->onWeightsChanged();
}

}
