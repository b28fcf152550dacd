#pragma once
// A small forwarding site for tests: a metadata store, targets and entry instances, each a process.

#include "tests/support/Caller.h"
#include "tests/support/Process.h"
#include "tests/support/Site.h"

#include <QJsonArray>
#include <functional>

namespace testing {

inline constexpr const char* forwardKey = "key-of-first";
inline constexpr const char* secondForwardKey = "key-of-second";

/// A request in the platform's header format.
struct ForwardRequestSpec {
    std::string id;
    std::string path;
    std::string method = "POST";
    std::string body = "body of the request";
    std::string key = forwardKey;
    int deadlineMs = 3000;
    std::string lastEventId = {}; ///< last event received of the stream to resume; empty for a new stream
    std::string resumes = {}; ///< id of the request that brought the first event of that stream; empty to name none
    std::string prompt = "aa:200,bb:100"; ///< parts of the prompt, on routes of engines
};

class ForwardSite {
public:
    /// Starts the store with a configuration, two engines and two targets of a plain service.
    ForwardSite()
        : ForwardSite({ "", "" })
    {
    }
    /// The same with one engine for each of @p softwareVersions, which its record and its events name; none if empty.
    explicit ForwardSite(const QStringList& softwareVersions);

    /// Starts an entry instance.
    /// @param extraSettings further settings; those of "drain" take the place of the site's own
    /// @param waitUntilReady waits until it has discovered every target
    /// @param storeAddress address of a proxy to the store; nullopt connects directly
    Process& startEntry(bool waitUntilReady = true, const std::string& extraSettings = "",
        const std::optional<dragonfly::Endpoint>& storeAddress = std::nullopt);
    /// Kills an entry instance and starts it again under its name.
    void restartEntry(size_t entry);
    /// Starts another engine. Call before startEntry(), which waits for every target.
    Process& addEngine(const QString& softwareVersion = {});
    /// Kills an engine and starts it again under its id, at its address and with another software version.
    void restartEngine(size_t engine, const QString& softwareVersion);
    /// Whether each entry instance knows that the target drains.
    bool knowsAsDraining(const std::string& id) const;
    /// Waits until each entry instance knows all targets.
    void waitUntilAllKnown() const;
    /// Starts another target of the plain service. Call before startEntry().
    Process& addService(const QString& dataCentre = "north-a");
    /// Registers a target that the test runs itself. Call before startEntry().
    void registerTarget(
        const QString& id, const QString& service, const QString& model, const dragonfly::Endpoint& endpoint);
    /// Writes a record of any bytes, as another writer may.
    void putRecord(const std::string& key, const std::string& bytes);
    AnswerPointer send(const ForwardRequestSpec& spec, size_t entry = 0);
    /// Sends and waits for the answer.
    AnswerPointer sendAndWait(const ForwardRequestSpec& spec, size_t entry = 0);

    /// Publishes the configuration under a new version.
    /// @param firstKeys API keys of the first organisation
    /// @param timeoutMs timeout of every route
    /// @param targetLatencyMs target latency of every route; an instance resumes a stream that stalls for twice as long
    void publish(const QStringList& firstKeys, int timeoutMs = 2000, int targetLatencyMs = 200);
    /// Waits until each entry instance has put the last published configuration in force.
    void waitUntilInForce() const;
    /// Rewrites the settings file of an entry instance.
    void changeSettings(size_t entry, const std::string& extraSettings,
        const std::optional<dragonfly::Endpoint>& storeAddress = std::nullopt);
    void setWantedWeights(int version);
    /// Sends @p order to the control interface of the store and returns its state.
    QJsonObject controlStore(const QJsonObject& order);
    /// Path of the settings file of an entry instance.
    std::string settingsFile(size_t entry) const;

    std::unique_ptr<Process> store;
    std::vector<std::unique_ptr<Process>> engines;
    std::vector<std::unique_ptr<Process>> services;
    std::vector<std::unique_ptr<Process>> entries;
    Caller caller { "" };
    /// Changes a configuration before it is published.
    std::function<void(QJsonObject&)> editConfig;

private:
    void waitUntilReady(Process& entry) const;
    std::unique_ptr<Process> startTarget(const QString& id, const QString& service, const QString& model,
        const QString& dataCentre = "north-a", const QString& softwareVersion = {}, uint16_t port = 0);

    QTemporaryDir folder;
    size_t ownTargets = 0; ///< targets that the test runs itself
    int version = 1;
};

}
