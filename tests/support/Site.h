#pragma once
// A deployment of stand-ins for tests: the platform's service, engines and plain services in data centres, and
// entry instances. Links that tests break lead through the fault-injecting proxy.

#include "tests/support/Caller.h"
#include "tests/support/Process.h"

#include <QCoreApplication>
#include <QTemporaryDir>
#include <memory>

namespace testing {

inline constexpr const char* apiKey = "key-of-first";
inline constexpr const char* otherApiKey = "key-of-second";
inline constexpr const char* weights = "v1";

/// A stand-in process, reached through a fault-injecting proxy if started with one.
struct Backend {
    Backend(const std::string& program, const QStringList& arguments, bool withProxy);

    dragonfly::Endpoint address() const; ///< of the proxy if there is one
    dragonfly::Endpoint direct() const; ///< of the stand-in itself
    /// Sets the fault mode and the delay of the proxy.
    void fault(const QString& mode, int delayMs = 0) const;
    /// Kills the stand-in and starts it again on the same address.
    void restart();

    std::string program;
    QStringList arguments;
    std::unique_ptr<Process> process;
    std::unique_ptr<Process> proxy;
    dragonfly::Endpoint listening; ///< address of the stand-in
};

struct SiteOptions {
    int dataCentres = 1;
    int enginesPerCentre = 2;
    int servicesPerCentre = 1;
    QStringList engineArguments { "--prefill-us", "20", "--decode-us", "2000" };
    QStringList platformArguments;
    std::string extraObjects; ///< further configuration objects as YAML documents
    std::string extraSettings; ///< YAML lines added to the settings of every entry instance
    int requestsPerSecond = 0; ///< limit of each organisation; 0 for none
    bool withEngineProxies = true;
    int threads = 2; ///< worker threads of each entry instance
    std::string prefer = "latency"; ///< preference of the route to the model
};

class Site {
public:
    explicit Site(const SiteOptions& options = {});

    /// Starts an entry instance in data centre @p centre and waits until it reports ready.
    Process& startEntry(int centre = 0, bool viaPlatformProxy = true, bool waitUntilReady = true);
    dragonfly::Endpoint entry(size_t number)
    {
        return this->entries[number]->address();
    }
    dragonfly::Endpoint admin(size_t number)
    {
        return this->entries[number]->address("admin");
    }

    /// Writes all configuration objects, and @p extra, into the objects folder.
    void writeObjects(const std::string& extra = {});
    /// Publishes the objects folder with dragonflyctl.
    /// @param more options put before the command
    Finished publish(const QStringList& more = {});
    Finished ctl(const QStringList& arguments);
    /// Configuration revision that an entry instance reports.
    uint64_t revisionOf(size_t entry);
    bool waitForRevision(size_t entry, uint64_t revision, std::chrono::milliseconds timeout);
    QJsonObject statusOf(size_t entry);
    /// Sum of a metric over all its labels.
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

/// A Qt application that lives as long as one test.
class Application {
public:
    Application();

private:
    int argumentCount = 0;
    QCoreApplication application;
};

/// Executions by idempotency key as counted by the services, summed over all of them.
std::map<std::string, int> executions(const Site& site);

std::string centreName(int centre);

/// Sum of a metric of an entry instance over all its labels.
double metricOf(Process& entry, const std::string& name);

}
