#pragma once
// A small site that forwards: the metadata store, targets and entry instances, as processes.

#include "tests/support/Caller.h"
#include "tests/support/Process.h"
#include "tests/support/Site.h"

#include <QJsonArray>

namespace testing {

inline constexpr const char* forwardKey = "key-of-first";
inline constexpr const char* secondForwardKey = "key-of-second";

/// Sends requests as the platform's callers spell them.
struct ForwardRequestSpec {
    std::string id;
    std::string path;
    std::string method = "POST";
    std::string body = "body of the request";
    std::string key = forwardKey;
    int deadlineMs = 3000;
    std::string lastEventId = {}; ///< of a stream that is resumed
};

class ForwardSite {
public:
    /// Starts the store with a configuration, two engines and two plain services.
    ForwardSite();

    /// Starts an entry instance; waits until it knows every target when @p waitUntilReady.
    /// @param storeAddress where it reaches the store, when that is through a proxy
    Process& startEntry(bool waitUntilReady = true, const std::string& extraSettings = "",
        const std::optional<dragonfly::Endpoint>& storeAddress = std::nullopt);
    AnswerPointer send(const ForwardRequestSpec& spec, size_t entry = 0);
    /// Sends and waits for the answer.
    AnswerPointer ask(const ForwardRequestSpec& spec, size_t entry = 0);

    /// Publishes the configuration with a new version, with the keys of the first organisation.
    void publish(const QStringList& firstKeys, int timeoutMs = 2000);
    /// Writes the settings file of an entry instance anew.
    void changeSettings(size_t entry, const std::string& extraSettings,
        const std::optional<dragonfly::Endpoint>& storeAddress = std::nullopt);
    void nameWeights(int version);
    QJsonObject storeControl(const QJsonObject& order);

    std::unique_ptr<Process> store;
    std::vector<std::unique_ptr<Process>> engines;
    std::vector<std::unique_ptr<Process>> services;
    std::vector<std::unique_ptr<Process>> entries;
    Caller caller { "" };

private:
    std::string settingsFile(size_t entry) const;
    std::unique_ptr<Process> startTarget(const QString& id, const QString& service, const QString& model);

    QTemporaryDir folder;
    int version = 1;
};

}
