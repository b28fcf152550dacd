#include "streams/ServiceVersions.h"

#include "streams.pb.h"

#include <algorithm>

namespace dragonfly::streams {

namespace {

    /// Room for 2,000 versions with names of 64 bytes; bounds the memory that another writer's record could take.
    constexpr size_t maxRecordBytes = 256u << 10;

    VersionPhase phaseOf(const pb::VersionInUse& entry)
    {
        if (entry.closed())
            return VersionPhase::Closed;
        return entry.opening() ? VersionPhase::Opening : VersionPhase::Open;
    }

    std::set<std::string> versionsAt(const VersionObservations::Versions& versions, const std::string& service)
    {
        const auto found = versions.find(service);
        return found == versions.end() ? std::set<std::string>() : found->second;
    }

    void planRegistered(VersionPhases& phases, const std::set<std::string>& registered)
    {
        const bool hasOthers = !phases.empty();
        for (const auto& version : registered) {
            auto& phase
                = phases.try_emplace(version, hasOthers ? VersionPhase::Opening : VersionPhase::Open).first->second;
            if (phase == VersionPhase::Closed)
                phase = VersionPhase::Open; // all instances have known it since it was opened
        }
    }

    void planPhases(VersionPhases& phases, const std::set<std::string>& settled, const std::set<std::string>& abandoned,
        const std::set<std::string>& expired)
    {
        for (auto& [version, phase] : phases) {
            if (phase == VersionPhase::Opening && settled.contains(version))
                phase = VersionPhase::Open;
        }
        const auto isOver
            = [&](const auto& entry) { return entry.second == VersionPhase::Closed && expired.contains(entry.first); };
        if (!std::ranges::all_of(phases, isOver))
            std::erase_if(phases, isOver);
        if (phases.size() < 2)
            return;
        for (auto& [version, phase] : phases) {
            if (abandoned.contains(version))
                phase = VersionPhase::Closed;
        }
    }

}

std::string encodeVersions(const ServiceVersions& versions)
{
    pb::VersionsInUse record;
    for (const auto& [service, phases] : versions) {
        auto& added = *record.add_services();
        added.set_service(service);
        for (const auto& [version, phase] : phases) {
            auto& entry = *added.add_versions();
            entry.set_version(version);
            entry.set_closed(phase == VersionPhase::Closed);
            entry.set_opening(phase == VersionPhase::Opening);
        }
    }
    return record.SerializeAsString();
}

std::optional<ServiceVersions> decodeVersions(const std::string& bytes)
{
    pb::VersionsInUse record;
    if (bytes.size() > maxRecordBytes || !record.ParseFromString(bytes))
        return std::nullopt;
    ServiceVersions versions;
    for (const auto& service : record.services()) {
        for (const auto& entry : service.versions())
            versions[service.service()][entry.version()] = phaseOf(entry);
    }
    return versions;
}

ServiceVersions planVersions(const ServiceVersions& current, const VersionObservations& observed)
{
    auto next = current;
    for (const auto& [service, versions] : observed.registered)
        planRegistered(next[service], versions);
    for (auto& [service, phases] : next)
        planPhases(phases, versionsAt(observed.settled, service), versionsAt(observed.abandoned, service),
            versionsAt(observed.expired, service));
    return next;
}

}
