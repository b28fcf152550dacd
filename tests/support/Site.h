#pragma once
// A small site for tests: a platform, engines and services in data centres, and entry instances,
// every link that a test wants to break behind the fault-injecting proxy.

#include "tests/support/Caller.h"
#include "tests/support/Process.h"

#include <QCoreApplication>
#include <QTemporaryDir>
#include <memory>

namespace testing {

inline constexpr const char* apiKey = "key-of-first";
inline constexpr const char* otherApiKey = "key-of-second";
inline constexpr const char* weights = "v1";

/// Starts a stand-in, with a proxy in front when @p withProxy.
struct Backend {
    Backend(const std::string& program, const QStringList& arguments, bool withProxy);

    dragonfly::Endpoint address() const; ///< the proxy's, when there is one
    dragonfly::Endpoint direct() const;
    void fault(const QString& mode, int delayMs = 0) const;
    /// Starts anew on the same address.
    void restart();

    std::string program;
    QStringList arguments;
    std::unique_ptr<Process> process;
    std::unique_ptr<Process> proxy;
    dragonfly::Endpoint listening;
};

struct SiteOptions {
    int dataCentres = 1;
    int enginesPerCentre = 2;
    int servicesPerCentre = 1;
    QStringList engineArguments { "--prefill-us", "20", "--decode-us", "2000" };
    QStringList platformArguments;
    std::string extraObjects; ///< YAML documents
    std::string extraSettings; ///< YAML lines for every entry instance
    int requestsPerSecond = 0;
    bool withEngineProxies = true;
    int threads = 2; ///< of each entry instance
    std::string prefer = "latency"; ///< of the route by model
};

class Site {
public:
    explicit Site(const SiteOptions& options = {});

    /// Starts an entry instance in data centre @p centre and waits until it is configured.
    Process& startEntry(int centre = 0, bool viaPlatformProxy = true, bool waitUntilReady = true);
    dragonfly::Endpoint entry(size_t number)
    {
        return this->entries[number]->address();
    }
    dragonfly::Endpoint admin(size_t number)
    {
        return this->entries[number]->address("admin");
    }

    void writeObjects(const std::string& extra = {});
    Finished publish(const QStringList& more = {});
    Finished ctl(const QStringList& arguments);
    uint64_t revisionOf(size_t entry);
    bool waitForRevision(size_t entry, uint64_t revision, std::chrono::milliseconds time);
    QJsonObject statusOf(size_t entry);
    double metric(size_t entry, const std::string& name);
    std::string objectsFolder() const
    {
        return this->folder.path().toStdString() + "/objects";
    }
    std::string folderPath() const
    {
        return this->folder.path().toStdString();
    }

    SiteOptions options;
    QTemporaryDir folder;
    std::unique_ptr<Backend> platform;
    std::vector<std::unique_ptr<Backend>> engines;
    std::vector<std::unique_ptr<Backend>> services;
    std::vector<std::unique_ptr<Process>> entries;
    std::vector<std::string> settingsFiles;

private:
    std::string settingsFor(size_t number, int centre, bool viaPlatformProxy);
};

/// A Qt application for the length of one test.
class Application {
public:
    Application();

private:
    int count = 0;
    QCoreApplication application;
};

/// Executions by idempotency key, over all services, as the services counted them.
std::map<std::string, int> executions(const Site& site);

std::string centreName(int centre);

}
