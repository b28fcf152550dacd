#include "tests/support/ForwardSite.h"

#include <QJsonDocument>
#include <algorithm>
#include <fstream>

namespace testing {

using namespace dragonfly;

namespace {

    QString text(const std::string& value)
    {
        return QString::fromStdString(value);
    }

    QJsonObject routeOf(const char* name, const char* prefix, const char* kind, const char* service)
    {
        return { { "name", name }, { "host", "site.example" }, { "prefix", prefix }, { "kind", kind },
            { "service", service }, { "priority", 1 }, { "max_attempts", 2 } };
    }

    QJsonObject with(QJsonObject object, const char* field, const QJsonValue& value)
    {
        object[QLatin1String(field)] = value;
        return object;
    }

}

ForwardSite::ForwardSite(const QStringList& softwareVersions)
    : store(std::make_unique<Process>("standin-metadatastore", QStringList {}))
{
    this->publish({ forwardKey });
    for (const auto& softwareVersion : softwareVersions)
        this->addEngine(softwareVersion);
    this->addService();
    this->addService();
}

Process& ForwardSite::addService(const QString& dataCentre)
{
    const auto id = "service-" + QString::number(this->services.size());
    this->services.push_back(this->startTarget(id, "desk", "", dataCentre));
    return *this->services.back();
}

std::unique_ptr<Process> ForwardSite::startTarget(const QString& id, const QString& service, const QString& model,
    const QString& dataCentre, const QString& softwareVersion, uint16_t port)
{
    QStringList arguments { "--id", id, "--store", text(this->store->address().toString()), "--service", service,
        "--data-centre", dataCentre };
    if (!model.isEmpty())
        arguments += { "--model", model };
    if (!softwareVersion.isEmpty())
        arguments += { "--software", softwareVersion };
    if (port)
        arguments += { "--port", QString::number(port) };
    return std::make_unique<Process>("standin-target", arguments);
}

void ForwardSite::registerTarget(
    const QString& id, const QString& service, const QString& model, const Endpoint& endpoint)
{
    ++this->ownTargets;
    const QJsonArray models { QJsonObject { { "name", model }, { "version", 1 } } };
    const QJsonObject record { { "service", service }, { "address", text(endpoint.toString()) }, { "zone", "north-a" },
        { "slots", 8 }, { "state", "ready" }, { "models", model.isEmpty() ? QJsonArray {} : models }, { "born", 1000 },
        { "seq", 1 } };
    this->controlStore({ { "put",
        QJsonObject { { "key", "servers/" + id },
            { "value", QString::fromUtf8(QJsonDocument(record).toJson(QJsonDocument::Compact)) } } } });
}

void ForwardSite::putRecord(const std::string& key, const std::string& bytes)
{
    const auto encoded = QByteArray::fromStdString(bytes).toBase64();
    this->controlStore({ { "put", QJsonObject { { "key", text(key) }, { "bytes", QString::fromLatin1(encoded) } } } });
}

Process& ForwardSite::startEntry(
    bool waitUntilReady, const std::string& extraSettings, const std::optional<Endpoint>& storeAddress)
{
    const auto number = this->entries.size();
    this->changeSettings(number, extraSettings, storeAddress);
    const auto file = this->settingsFile(number);
    this->entries.push_back(std::make_unique<Process>("dragonflyd", QStringList { "--settings", text(file) }, "ready"));
    if (waitUntilReady)
        this->waitUntilReady(*this->entries.back());
    return *this->entries.back();
}

void ForwardSite::waitUntilReady(Process& entry) const
{
    const auto known = this->engines.size() + this->services.size() + this->ownTargets;
    const bool ready = waitUntil(
        [&] {
            const auto status = get(entry.address("admin"), "/status");
            return waitFor(status) && status->json()["targets"].toArray().size() == static_cast<qsizetype>(known);
        },
        std::chrono::seconds(10));
    require(ready, "the entry instance has not discovered all targets");
}

bool ForwardSite::knowsAsDraining(const std::string& id) const
{
    return std::ranges::all_of(this->entries, [&](const auto& entry) {
        const auto status = get(entry->address("admin"), "/status");
        const auto targets = waitFor(status) ? status->json()["targets"].toArray() : QJsonArray();
        return std::ranges::any_of(targets, [&](const auto& target) {
            return target.toObject()["id"].toString() == text(id) && target.toObject()["draining"].toBool();
        });
    });
}

void ForwardSite::restartEntry(size_t entry)
{
    this->entries[entry]->kill();
    this->entries[entry] = std::make_unique<Process>(
        "dragonflyd", QStringList { "--settings", text(this->settingsFile(entry)) }, "ready");
    this->waitUntilReady(*this->entries[entry]);
}

Process& ForwardSite::addEngine(const QString& softwareVersion)
{
    const auto id = "engine-" + QString::number(this->engines.size());
    this->engines.push_back(this->startTarget(id, "engines", "m", "north-a", softwareVersion));
    return *this->engines.back();
}

void ForwardSite::restartEngine(size_t engine, const QString& softwareVersion)
{
    auto& process = this->engines[engine];
    const auto port = process->address().port;
    process->kill();
    process = this->startTarget("engine-" + QString::number(engine), "engines", "m", "north-a", softwareVersion, port);
}

void ForwardSite::waitUntilAllKnown() const
{
    for (const auto& entry : this->entries)
        this->waitUntilReady(*entry);
}

std::string ForwardSite::settingsFile(size_t entry) const
{
    return this->folder.filePath("entry-" + QString::number(entry) + ".yaml").toStdString();
}

void ForwardSite::changeSettings(
    size_t entry, const std::string& extraSettings, const std::optional<Endpoint>& storeAddress)
{
    const bool setsDrain = extraSettings.find("drain:") != std::string::npos;
    std::ofstream(this->settingsFile(entry))
        << "interface: forwarding\ninstance: entry-" << entry
        << "\nregion: north\ndataCentre: north-a\nregions: { north-a: north, north-b: north, south-a: south "
           "}\nplatform: ["
        << storeAddress.value_or(this->store->address()).toString() << "]\nrouting: { policy: least-cost }\n"
        << (setsDrain ? "" : "drain: { notice: 300ms, time: 3s }\n") << extraSettings;
}

AnswerPointer ForwardSite::send(const ForwardRequestSpec& spec, size_t entry)
{
    http::Headers headers { { "Host", "site.example" }, { "X-Dragonflyarch-Attempt-Id", spec.id },
        { "X-Dragonflyarch-Deadline-Ms", std::to_string(spec.deadlineMs) }, { "Authorization", "Bearer " + spec.key },
        { "X-Custom", "kept" } };
    if (spec.path.starts_with("/ask/") || spec.path.starts_with("/once/")) {
        headers.add("X-Dragonflyarch-Model", "m");
        headers.add("X-Dragonflyarch-Token-Usage", "300,10");
        headers.add("X-Dragonflyarch-Prompt-Prefix", spec.prompt);
    }
    if (!spec.lastEventId.empty())
        headers.add("Last-Event-Id", spec.lastEventId);
    if (!spec.resumes.empty())
        headers.add("Resumes", spec.resumes);
    return this->caller.send(this->entries[entry]->address(), { spec.method, spec.path, headers, spec.body });
}

AnswerPointer ForwardSite::sendAndWait(const ForwardRequestSpec& spec, size_t entry)
{
    auto answer = this->send(spec, entry);
    require(waitFor(answer, std::chrono::seconds(20)), "no answer to " + spec.id);
    return answer;
}

void ForwardSite::publish(const QStringList& firstKeys, int timeoutMs, int targetLatencyMs)
{
    this->version += 3; // versions need not be consecutive
    QJsonArray routes;
    for (const auto& route : { with(routeOf("ask", "/ask/", "streaming", "engines"), "resumable", true),
             routeOf("once", "/once/", "streaming", "engines"), routeOf("book", "/book/", "non_idempotent", "desk"),
             routeOf("read", "/read/", "idempotent", "desk"),
             with(routeOf("open", "/open/", "idempotent", "desk"), "anonymous", true) })
        routes.append(with(with(route, "timeout_ms", timeoutMs), "target_latency_ms", targetLatencyMs));
    const QJsonArray services { QJsonObject { { "name", "engines" }, { "max_connections", 100 },
                                    { "engine", QJsonObject { { "slots", 8 } } } },
        QJsonObject { { "name", "desk" }, { "max_connections", 100 } } };
    const QJsonArray tenants { QJsonObject { { "name", "first" }, { "api_keys", QJsonArray::fromStringList(firstKeys) },
                                   { "priority", 0 }, { "isolated", true } },
        QJsonObject { { "name", "second" }, { "api_keys", QJsonArray { secondForwardKey } }, { "priority", 1 } } };
    QJsonObject config { { "version", this->version }, { "routes", routes }, { "services", services },
        { "tenants", tenants },
        { "limits", QJsonObject { { "max_body_bytes", 100000 }, { "idle_timeout_ms", 10000 } } } };
    if (this->editConfig)
        this->editConfig(config);
    this->controlStore({ { "put",
        QJsonObject { { "key", "op/config" },
            { "value", QString::fromUtf8(QJsonDocument(config).toJson(QJsonDocument::Compact)) } } } });
}

void ForwardSite::waitUntilInForce() const
{
    const auto isInForce = [this](const auto& entry) {
        const auto status = get(entry->address("admin"), "/status");
        return waitFor(status) && status->json()["config_version"].toInt() == this->version;
    };
    require(waitUntil([&] { return std::ranges::all_of(this->entries, isInForce); }, std::chrono::seconds(10)),
        "the configuration is not in force");
}

void ForwardSite::setWantedWeights(int wanted)
{
    this->controlStore({ { "put",
        QJsonObject {
            { "key", "op/version/m" }, { "value", QString("{\"model\":\"m\",\"version\":%1}").arg(wanted) } } } });
}

QJsonObject ForwardSite::controlStore(const QJsonObject& order)
{
    return control(this->store->address(), order);
}

}
