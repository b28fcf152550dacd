// Measures the overhead of the control plane in idle instances: processor time, memory, bytes sent to peers, calls
// to the platform's service and probes. Prints one JSON line for each fleet size.

#include "tests/support/Site.h"

#include <QJsonDocument>
#include <iostream>
#include <sstream>

namespace {

using namespace testing;
using namespace dragonfly;

struct FleetSize {
    int instances;
    int targets;
    int organisations;
};

constexpr std::chrono::seconds settleDuration { 5 };
constexpr std::chrono::seconds measurementDuration { 10 };

/// Additional configuration objects: targets that share the address of one engine, and organisations.
std::string additionalObjects(const FleetSize& size, const Endpoint& engine)
{
    std::ostringstream text;
    for (int i = 0; i < size.targets; ++i)
        text << "---\nkind: target\nname: more-" << i << "\naddress: " << engine.toString()
             << "\ndataCentre: " << centreName(0) << "\nserves: [assistant]\n";
    for (int i = 0; i < size.organisations; ++i)
        text << "---\nkind: organisation\nname: more-" << i << "\nkeyHashes: ["
             << toHex(sha256("more-" + std::to_string(i))) << "]\npriority: normal\nrequestsPerSecond: 100\n";
    return text.str();
}

/// Sum of a metric over all entry instances.
double totalOf(Site& site, const std::string& name)
{
    double sum = 0;
    for (size_t entry = 0; entry < site.entries.size(); ++entry)
        sum += site.metric(entry, name);
    return sum;
}

void measureFleet(const FleetSize& size)
{
    SiteOptions options;
    options.enginesPerCentre = 1;
    options.servicesPerCentre = 0;
    options.withEngineProxies = false;
    Site site(options);
    site.writeObjects(additionalObjects(size, site.engines[0]->direct()));
    require(!site.publish().exitStatus, "publish failed");
    for (int i = 0; i < size.instances; ++i)
        site.startEntry(0, false);
    runFor(settleDuration);
    double usedProcessorSeconds = 0;
    for (const auto& entry : site.entries)
        usedProcessorSeconds -= entry->processorSeconds();
    const auto bytes = totalOf(site, "dragonfly_peer_bytes_total");
    const auto calls = totalOf(site, "dragonfly_platform_calls_total");
    const auto probes = totalOf(site, "dragonfly_probes_total");
    runFor(measurementDuration);
    double resident = 0;
    for (const auto& entry : site.entries) {
        usedProcessorSeconds += entry->processorSeconds();
        resident += static_cast<double>(entry->residentBytes());
    }
    const auto instanceSeconds = size.instances * static_cast<double>(measurementDuration.count());
    const QJsonObject line { { "instances", size.instances }, { "targets", size.targets },
        { "organisations", size.organisations }, { "processor_percent", 100 * usedProcessorSeconds / instanceSeconds },
        { "resident_mb", resident / size.instances / (1 << 20) },
        { "peer_bytes_per_second", (totalOf(site, "dragonfly_peer_bytes_total") - bytes) / instanceSeconds },
        { "platform_calls_per_second", (totalOf(site, "dragonfly_platform_calls_total") - calls) / instanceSeconds },
        { "probes_per_second", (totalOf(site, "dragonfly_probes_total") - probes) / instanceSeconds } };
    std::cout << QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString() << std::endl;
}

}

int main()
{
    const Application application;
    for (const FleetSize& size : { FleetSize { 3, 12, 8 }, FleetSize { 12, 12, 8 }, FleetSize { 24, 12, 8 },
             FleetSize { 48, 12, 8 }, FleetSize { 12, 120, 8 }, FleetSize { 12, 12, 2500 }, FleetSize { 12, 1300, 8 } })
        measureFleet(size);
    return 0;
}
