#include "daemon/Settings.h"

namespace dragonfly::daemon {

namespace {

    using config::MapReader;
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    /// Subtracted from the time within which a revoked key must be refused: a request that was admitted just before
    /// the proof expired may still be on its way to a target.
    constexpr milliseconds revocationMargin { 600 };
    /// Fraction of the shared retry budget that instances use. The rest is a margin, because their time windows do not
    /// coincide with those in which compliance is checked.
    constexpr double usedRetryBudget = 0.85;
    /// Ten years; compared with the time of day, which no such time overflows.
    constexpr std::chrono::hours maxRetention { 10 * 365 * 24 };
    constexpr const char* loopbackAnyPort = "127.0.0.1:0";
    constexpr uint64_t defaultMemory = 256u << 20;
    /// An instance without requests uses about 30 MiB.
    constexpr uint64_t minMemory = 48u << 20;
    /// What an instance uses without requests, with the records of a deployment.
    constexpr uint64_t ownMemory = 32u << 20;
    /// Part of the rest that answers of targets may hold while they are not complete; callers may hold as much, and
    /// what else is left.
    constexpr uint64_t bufferMemoryDivisor = 3;
    /// What is left for what the system has received, the growth of buffers and gaps between allocations: this part of
    /// the memory, and not less than some hundred receive buffers.
    constexpr uint64_t reserveDivisor = 10;
    constexpr uint64_t minReserve = 16u << 20;
    /// Bounds what is freed and read again when faulty targets fill the buffers.
    constexpr uint64_t maxAnswerBufferBytes = 64u << 20;

    uint64_t difference(uint64_t a, uint64_t b)
    {
        return a - std::min(a, b);
    }

    /// What incomplete answers of targets may hold.
    uint64_t answerBytesFor(uint64_t memory)
    {
        return std::min(difference(memory, ownMemory) / bufferMemoryDivisor, maxAnswerBufferBytes);
    }

    /// What may be held for callers.
    uint64_t callerBytesFor(uint64_t memory)
    {
        const auto used = ownMemory + answerBytesFor(memory) + std::max(memory / reserveDivisor, minReserve);
        return std::max(difference(memory, ownMemory) / bufferMemoryDivisor, difference(memory, used));
    }

    void readServer(MapReader reader, const Settings& settings, http::ServerLimits& limits)
    {
        const auto callerBytes = callerBytesFor(settings.memory);
        // The other interface has a server for each thread, and what it holds of answers has no limit.
        limits.receivedBytes = settings.interface == Interface::Forwarding
            ? callerBytes
            : std::min<uint64_t>(limits.receivedBytes, callerBytes / settings.threads);
        limits.bodyBytes = reader.bytes("body", limits.bodyBytes);
        limits.headerBytes
            = static_cast<uint32_t>(reader.bytes("headers", limits.headerBytes, std::numeric_limits<uint32_t>::max()));
        limits.headerTimeout = reader.duration("headerTime", limits.headerTimeout);
        limits.bodyTimeout = reader.duration("bodyTime", limits.bodyTimeout);
        limits.idleTimeout = reader.duration("idleTime", limits.idleTimeout);
        limits.receivedBytes = reader.bytes("received", limits.receivedBytes);
        limits.connections = static_cast<int>(reader.number("connections", 4096, 1, 1000000));
        limits.connectionsPerAddress = static_cast<int>(reader.number("connectionsPerAddress", 2048, 1, 1000000));
        reader.reportUnknownFields();
    }

    void readRequests(MapReader reader, entry::RequestLimits& limits)
    {
        limits.progressTimeout = reader.duration("progressTime", limits.progressTimeout);
        limits.connectTimeout = reader.duration("connectTime", limits.connectTimeout);
        limits.maxAttempts = static_cast<uint32_t>(reader.number("attempts", limits.maxAttempts, 1, 16));
        limits.maxAnswerBytes = reader.bytes("answer", limits.maxAnswerBytes);
        limits.maxUnsentBytes = reader.bytes("slowCaller", limits.maxUnsentBytes);
        reader.reportUnknownFields();
    }

    void readRouting(MapReader reader, Settings& settings)
    {
        const auto name = reader.text("policy", "expected-first-token");
        if (const auto policy = routing::parsePolicy(name))
            settings.policy = *policy;
        else
            reader.addProblem("policy",
                "expected expected-first-token, least-cost, bounded-hash, two-choices, least-loaded or round-robin");
        settings.prefixSlots = reader.number("prefixSlots", 1 << 18, 1 << 10, 1 << 26);
        settings.placementBytesPerSecond = reader.bytes("placementBytesPerSecond", 1024);
        reader.reportUnknownFields();
    }

    void readClaims(MapReader reader, Settings& settings)
    {
        settings.claims.retention
            = std::chrono::duration_cast<seconds>(reader.duration("retention", minutes(24 * 60), maxRetention));
        settings.claimWritesPerSecond = static_cast<uint32_t>(reader.number("writesPerSecond", 50, 1, 10000));
        reader.reportUnknownFields();
    }

    void readTrace(MapReader reader, Settings& settings)
    {
        const auto collector = reader.remoteEndpoints("collectors");
        if (!collector.empty())
            settings.traceCollector = collector.front();
        settings.traceSampleRate = reader.fraction("sample", 0.01);
        reader.reportUnknownFields();
    }

    void readDrain(MapReader reader, Settings& settings)
    {
        const auto read = [&reader](const char* field) {
            return reader.child(field) ? std::optional(reader.duration(field, milliseconds(0))) : std::nullopt;
        };
        const DrainSettings given { read("grace"), read("notice"), read("time") };
        const auto timings = drainTimingsFor(given);
        if (const auto* error = errorOf(timings))
            reader.addProblem("", error->detail);
        else
            settings.drain = std::get<DrainTimings>(timings);
        reader.reportUnknownFields();
    }

    /// The rest is for the delay until this instance learns that a target drains, and for opening a connection.
    constexpr int drainTimeDivisor = 2;

    std::map<std::string, std::string> readRegions(MapReader reader, const YAML::Node& node)
    {
        std::map<std::string, std::string> regions;
        for (const auto& item : node) {
            const auto dataCentre = item.first.as<std::string>();
            regions[dataCentre] = reader.requiredText(dataCentre);
        }
        reader.reportUnknownFields();
        return regions;
    }

    void readForwarding(MapReader reader, Settings& settings, const std::map<std::string, std::string>& regions)
    {
        auto& forwarding = settings.forwarding;
        const auto revocationTimeout = reader.duration("revocationTime", seconds(5));
        if (revocationTimeout <= revocationMargin)
            reader.addProblem("revocationTime", "expected more than 600ms");
        forwarding.proofValidity = revocationTimeout - revocationMargin;
        forwarding.leaderLease.leaseDuration = reader.duration("orderLease", forwarding.leaderLease.leaseDuration);
        forwarding.requests.replacedWeightsTtl = reader.duration("weightsTime", seconds(15));
        forwarding.parallelLoads = reader.fraction("parallelLoads", 0.2);
        forwarding.requests.retryBudget.ratio = reader.fraction("retryRatio", 0.2) * usedRetryBudget;
        forwarding.requests.retryBudget.window = reader.duration("retryWindow", seconds(10));
        forwarding.lateResumption = reader.duration("drainTime", milliseconds(0)) / drainTimeDivisor;
        forwarding.origins.instance = settings.instance;
        forwarding.origins.storeWritesPerSecond
            = static_cast<double>(reader.number("storeWritesPerSecond", 400, 1, 1000000));
        reader.reportUnknownFields();
        forwarding.requests.instance = settings.instance;
        forwarding.requests.place = settings.place;
        forwarding.requests.policy = settings.policy;
        forwarding.requests.regions = regions;
        forwarding.requests.prefixSlots = settings.prefixSlots;
        forwarding.requests.bufferBytes = answerBytesFor(settings.memory);
    }

    void readAll(const std::string& file, const YAML::Node& node, LoadedSettings& loaded)
    {
        auto& settings = loaded.settings;
        MapReader reader(file, node, loaded.problems);
        const auto section = [&](const char* name) { return MapReader(file, reader.child(name), loaded.problems); };
        settings.interface = reader.choice("interface", { "completions", "forwarding" }, 0) ? Interface::Forwarding
                                                                                            : Interface::Completions;
        settings.instance = reader.requiredText("instance");
        settings.place.region = reader.requiredText("region");
        settings.place.dataCentre = reader.requiredText("dataCentre");
        settings.listen = reader.endpoint("listen", loopbackAnyPort);
        settings.admin = reader.endpoint("admin", loopbackAnyPort);
        settings.metrics = reader.endpoint("metrics", loopbackAnyPort);
        settings.peers = reader.endpoint("peers", loopbackAnyPort);
        settings.tunnels = reader.endpoint("tunnels", loopbackAnyPort);
        if (reader.child("peersAdvertised"))
            settings.peersAdvertised = reader.remoteEndpoint("peersAdvertised");
        settings.capacity = static_cast<uint32_t>(reader.fraction("processorShare", 0) * 1000);
        settings.memory = reader.bytes("memory", defaultMemory);
        if (settings.memory < minMemory)
            reader.addProblem("memory", "expected at least 48MiB");
        settings.seeds = reader.remoteEndpoints("seeds");
        settings.platform = reader.remoteEndpoints("platform");
        if (settings.platform.empty())
            reader.addProblem("platform", "expected at least one address, such as [127.0.0.1:2379]");
        settings.threads = reader.number("threads", 4, 1, 256);
        readServer(section("http"), settings, settings.server);
        readRequests(section("requests"), settings.requests);
        readRouting(section("routing"), settings);
        readClaims(section("claims"), settings);
        readTrace(section("trace"), settings);
        readDrain(section("drain"), settings);
        const auto regions = readRegions(section("regions"), node["regions"]);
        readForwarding(section("forwarding"), settings, regions);
        reader.reportUnknownFields();
    }

}

LoadedSettings loadSettings(const std::string& file)
{
    LoadedSettings loaded;
    loaded.settings.file = file;
    try {
        readAll(file, YAML::LoadFile(file), loaded);
    } catch (const YAML::BadFile&) {
        loaded.problems.push_back({ { file, 0 }, "cannot be read" });
    } catch (const YAML::Exception& failure) {
        loaded.problems.push_back({ { file, failure.mark.line + 1 }, failure.msg });
    }
    return loaded;
}

}
