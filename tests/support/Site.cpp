#include "tests/support/Site.h"

#include <QDir>
#include <fstream>
#include <sstream>

namespace testing {

using namespace dragonfly;

namespace {

    std::string keyHash(const char* key)
    {
        return toHex(sha256(key));
    }

    std::string organisationYaml(const char* name, const char* key, int requestsPerSecond)
    {
        return std::string("---\nkind: organisation\nname: ") + name + "\nkeyHashes: [" + keyHash(key)
            + "]\npriority: normal\nrequestsPerSecond: " + std::to_string(requestsPerSecond) + "\n";
    }

}

std::string centreName(int centre)
{
    return "centre-" + std::to_string(centre);
}

Application::Application()
    : application(this->argumentCount, nullptr)
{
}

Backend::Backend(const std::string& program, const QStringList& arguments, bool withProxy)
    : program(program)
    , arguments(arguments)
    , process(std::make_unique<Process>(program, arguments))
    , listening(this->process->address())
{
    if (withProxy)
        this->proxy = std::make_unique<Process>(
            "standin-proxy", QStringList { "--to", QString::fromStdString(this->listening.toString()) }, "control");
}

Endpoint Backend::address() const
{
    return this->proxy ? this->proxy->address() : this->listening;
}

Endpoint Backend::direct() const
{
    return this->listening;
}

void Backend::fault(const QString& mode, int delayMs) const
{
    control(this->proxy->address("control"), { { "mode", mode }, { "delay_ms", delayMs } });
}

void Backend::restart()
{
    this->process->kill();
    this->process = std::make_unique<Process>(
        this->program, this->arguments + QStringList { "--port", QString::number(this->listening.port) });
}

Site::Site(const SiteOptions& options)
    : options(options)
    , platform(std::make_unique<Backend>("standin-platform", options.platformArguments, true))
{
    const QStringList engineArguments = QStringList { "--weights", weights } + options.engineArguments;
    for (int centre = 0; centre < options.dataCentres; ++centre) {
        for (int i = 0; i < options.enginesPerCentre; ++i)
            this->engines.push_back(
                std::make_unique<Backend>("standin-engine", engineArguments, options.withEngineProxies));
        for (int i = 0; i < options.servicesPerCentre; ++i)
            this->services.push_back(std::make_unique<Backend>("standin-service", QStringList {}, true));
    }
    this->writeObjects(options.extraObjects);
    const auto published = this->publish();
    require(!published.exitStatus, "publish: " + published.errors);
}

void Site::writeObjects(const std::string& extra)
{
    QDir().mkpath(QString::fromStdString(this->objectsFolder()));
    std::ofstream file(this->objectsFolder() + "/all.yaml");
    file << "kind: priority\nname: normal\nlevel: 3\n---\nkind: model\nname: assistant\nweights: " << weights << "\n"
         << organisationYaml("first", apiKey, this->options.requestsPerSecond)
         << organisationYaml("second", otherApiKey, this->options.requestsPerSecond)
         << "---\nkind: route\nname: assist\nmodel: assistant\ndeadline: 30s\nprefer: " << this->options.prefer << "\n";
    for (int centre = 0; centre < this->options.dataCentres; ++centre)
        file << "---\nkind: dataCentre\nname: " << centreName(centre) << "\nregion: region-" << centre
             << "\nlimitSharePercent: " << 100 / this->options.dataCentres << "\ninstances: 1\n";
    for (size_t i = 0; i < this->engines.size(); ++i)
        file << "---\nkind: target\nname: engine-" << i << "\naddress: " << this->engines[i]->address().toString()
             << "\ndataCentre: " << centreName(static_cast<int>(i) / this->options.enginesPerCentre)
             << "\nserves: [assistant]\n";
    std::string services;
    for (size_t i = 0; i < this->services.size(); ++i) {
        file << "---\nkind: target\nname: service-" << i << "\naddress: " << this->services[i]->address().toString()
             << "\ndataCentre: " << centreName(static_cast<int>(i) / this->options.servicesPerCentre)
             << "\nprotocol: service\n";
        services += (services.empty() ? "service-" : ", service-") + std::to_string(i);
    }
    if (!services.empty())
        file << "---\nkind: route\nname: book\npath: /book\ntargets: [" << services
             << "]\nidempotent: false\ndeadline: 5s\n"
             << "---\nkind: route\nname: history\npath: /history\ntargets: [" << services
             << "]\nidempotent: true\ndeadline: 5s\n";
    file << extra;
}

std::string Site::settingsFor(size_t number, int centre, bool viaPlatformProxy)
{
    const bool setsDrain = this->options.extraSettings.find("drain:") != std::string::npos;
    std::ostringstream text;
    text << "instance: entry-" << number << "\nregion: region-" << centre << "\ndataCentre: " << centreName(centre)
         << "\nplatform: [" << (viaPlatformProxy ? this->platform->address() : this->platform->direct()).toString()
         << "]\nthreads: " << this->options.threads << (setsDrain ? "" : "\ndrain: { notice: 300ms, time: 30s }")
         << "\nseeds: [";
    for (size_t i = 0; i < this->entries.size(); ++i)
        text << (i ? ", " : "") << this->entries[i]->address("peers").toString();
    text << "]\n" << this->options.extraSettings;
    return text.str();
}

Process& Site::startEntry(int centre, bool viaPlatformProxy, bool waitUntilReady)
{
    const auto number = this->entries.size();
    const auto file = this->folderPath() + "/entry-" + std::to_string(number) + ".yaml";
    std::ofstream(file) << this->settingsFor(number, centre, viaPlatformProxy);
    this->settingsFiles.push_back(file);
    this->entries.push_back(
        std::make_unique<Process>("dragonflyd", QStringList { "--settings", QString::fromStdString(file) }, "ready"));
    if (waitUntilReady) {
        const bool ready
            = waitUntil([&] { return get(this->admin(number), "/ready")->status == 200; }, std::chrono::seconds(10));
        require(ready, "entry-" + std::to_string(number) + " did not become ready: " + this->entries[number]->log());
    }
    return *this->entries.back();
}

Finished Site::ctl(const QStringList& arguments)
{
    return runToEnd("dragonflyctl",
        QStringList { "--platform", QString::fromStdString(this->platform->direct().toString()) } + arguments,
        std::chrono::seconds(60));
}

Finished Site::publish(const QStringList& more)
{
    return this->ctl(more + QStringList { "publish", QString::fromStdString(this->objectsFolder()) });
}

QJsonObject Site::statusOf(size_t entry)
{
    return get(this->admin(entry), "/status")->json();
}

uint64_t Site::revisionOf(size_t entry)
{
    return static_cast<uint64_t>(this->statusOf(entry)["config_revision"].toInteger());
}

bool Site::waitForRevision(size_t entry, uint64_t revision, std::chrono::milliseconds timeout)
{
    return waitUntil([&] { return this->revisionOf(entry) == revision; }, timeout);
}

double Site::metric(size_t entry, const std::string& name)
{
    return metricOf(*this->entries[entry], name);
}

double metricOf(Process& entry, const std::string& name)
{
    const auto body = get(entry.address("metrics"), "/metrics")->body;
    double sum = 0;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        const bool isNamed = line.starts_with(name + " ") || line.starts_with(name + "{");
        if (isNamed)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

std::map<std::string, int> executions(const Site& site)
{
    std::map<std::string, int> total;
    for (const auto& service : site.services) {
        const auto executionsByKey = control(service->direct())["executions"].toObject();
        for (auto entry = executionsByKey.begin(); entry != executionsByKey.end(); ++entry)
            total[entry.key().toStdString()] += entry.value().toInt();
    }
    return total;
}

}
