// What control costs an instance that serves nothing: processor time, memory, bytes to peers, calls to the
// platform, probes. Prints one JSON line for each size of the fleet.

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

constexpr std::chrono::seconds settleTime { 5 };
constexpr std::chrono::seconds measuredTime { 10 };

/// Objects beyond those of the site: more targets on the same engine, and more organisations.
std::string moreObjects(const FleetSize& size, const Endpoint& engine)
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

double sumOf(Site& site, const std::string& name)
{
    double sum = 0;
    for (size_t entry = 0; entry < site.entries.size(); ++entry)
        sum += site.metric(entry, name);
    return sum;
}

void measure(const FleetSize& size)
{
    SiteOptions options;
    options.enginesPerCentre = 1;
    options.servicesPerCentre = 0;
    options.withEngineProxies = false;
    Site site(options);
    site.writeObjects(moreObjects(size, site.engines[0]->direct()));
    require(!site.publish().exitStatus, "publish failed");
    for (int i = 0; i < size.instances; ++i)
        site.startEntry(0, false);
    runFor(settleTime);
    double processor = 0;
    for (const auto& entry : site.entries)
        processor -= entry->processorSeconds();
    const auto bytes = sumOf(site, "dragonfly_peer_bytes_total");
    const auto calls = sumOf(site, "dragonfly_platform_calls_total");
    const auto probes = sumOf(site, "dragonfly_probes_total");
    runFor(measuredTime);
    double resident = 0;
    for (const auto& entry : site.entries) {
        processor += entry->processorSeconds();
        resident += static_cast<double>(entry->residentBytes());
    }
    const auto each = size.instances * static_cast<double>(measuredTime.count());
    const QJsonObject line { { "instances", size.instances }, { "targets", size.targets },
        { "organisations", size.organisations }, { "processor_percent", 100 * processor / each },
        { "resident_mb", resident / size.instances / (1 << 20) },
        { "peer_bytes_per_second", (sumOf(site, "dragonfly_peer_bytes_total") - bytes) / each },
        { "platform_calls_per_second", (sumOf(site, "dragonfly_platform_calls_total") - calls) / each },
        { "probes_per_second", (sumOf(site, "dragonfly_probes_total") - probes) / each } };
    std::cout << QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString() << std::endl;
}

}

int main()
{
    const Application application;
    for (const FleetSize& size : { FleetSize { 3, 12, 8 }, FleetSize { 12, 12, 8 }, FleetSize { 24, 12, 8 },
             FleetSize { 48, 12, 8 }, FleetSize { 12, 120, 8 }, FleetSize { 12, 12, 2500 }, FleetSize { 12, 1300, 8 } })
        measure(size);
    return 0;
}
