// Records and messages that cannot be what they claim: numbers that do not fit, addresses of no process, keys that
// identify nobody, nesting, bytes of any kind. Such a record is refused whole; the instance goes on, as do its peers.

#include "daemon/Settings.h"
#include "membership/ZmqTransport.h"
#include "platform/Platform.h"
#include "quarantine/TargetEndRecord.h"
#include "relay/PeerRecord.h"
#include "tests/support/ForwardSite.h"

#include <QTemporaryDir>
#include <criterion/criterion.h>
#include <fstream>
#include <google/protobuf/stubs/logging.h>
#include <random>

using namespace testing;
using namespace dragonfly;
using namespace dragonfly::platform;
using namespace std::chrono_literals;

namespace {

const std::string soundRegistration
    = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready",)"
      R"("cold_remaining_ms":0,"born":17,"models":[{"name":"m","version":3}],"seq":4})";

/// @p text with the first occurrence of @p from replaced.
std::string with(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    require(at != std::string::npos, from + " does not occur");
    return text.replace(at, from.size(), to);
}

Result<directory::Registration> decode(const std::string& bytes, const std::string& key = "servers/i-1")
{
    return RecordCodec().decodeRegistration(key, bytes);
}

std::string nested(size_t depth)
{
    return with(soundRegistration, "\"seq\":4", "\"x\":" + std::string(depth, '[') + std::string(depth, ']'));
}

/// The reason for which the record with @p to in place of @p from is refused; empty if it is not.
std::string refusal(const std::string& from, const std::string& to)
{
    const auto decoded = decode(with(soundRegistration, from, to));
    const auto* error = errorOf(decoded);
    return error ? error->detail : "";
}

}

Test(registration, numberThatDoesNotFitRefusesTheRecord)
{
    for (const auto& [field, value] : { std::pair("slots", "\"slots\":8"), { "born", "\"born\":17" },
             { "seq", "\"seq\":4" }, { "models", "\"version\":3" } }) {
        const std::string former(value);
        const auto name = former.substr(0, former.find(':') + 1);
        for (const auto* number : { "9223372036854775808", "18446744073709551615", "18446744073709551616", "1e19",
                 "1e300", "-1", "-9223372036854775809", "1.5", "1e-300", "\"8\"", "null", "true", "[8]" }) {
            const auto reason = refusal(former, name + number);
            cr_expect(!reason.empty(), "%s%s is taken", name.c_str(), number);
            cr_expect(reason.find(field) != std::string::npos, "%s%s: %s", name.c_str(), number, reason.c_str());
        }
        cr_expect(!refusal(former, name + "1e999").empty());
    }
    for (const auto* slots : { "4294967296", "4294967304", "1e10" })
        cr_expect(!refusal("\"slots\":8", std::string("\"slots\":") + slots).empty(), "%s slots are taken", slots);
}

Test(registration, numberThatFitsIsTakenExactly)
{
    auto record = with(soundRegistration, "\"slots\":8", "\"slots\":4294967295");
    record = with(record, "\"seq\":4", "\"seq\":9223372036854775807");
    record = with(record, "\"born\":17", "\"born\":9007199254740993");
    record = with(record, "\"version\":3", "\"version\":1e2");
    const auto decoded = decode(record);
    const auto& registration = std::get<directory::Registration>(decoded);
    cr_assert_eq(registration.slots, 4294967295u);
    cr_assert_eq(registration.sequence, 9223372036854775807u);
    cr_assert_eq(registration.startedUnixMs, 9007199254740993);
    cr_assert_eq(registration.weights.at("m"), 100);
    const auto unknown = decode(with(with(soundRegistration, "\"born\":17,", ""), ",\"seq\":4", ""));
    cr_assert_eq(std::get<directory::Registration>(unknown).startedUnixMs, 0);
    cr_assert_eq(std::get<directory::Registration>(unknown).sequence, 0);
}

Test(registration, modelsOfAnotherTypeRefuseTheRecord)
{
    for (const auto* models : { "{}", "7", "\"m\"", "null", "[7]", "[null]", "[[]]" })
        cr_expect(!refusal("[{\"name\":\"m\",\"version\":3}]", models).empty(), "models %s are taken", models);
}

Test(registration, softwareVersionIsATextOrMissing)
{
    const auto versionOf = [](const std::string& value) {
        const auto decoded = decode(with(soundRegistration, "\"version\":\"v1\",", value));
        return std::get<directory::Registration>(decoded).softwareVersion;
    };
    cr_expect_eq(versionOf(R"("version":"v1",)"), "v1");
    for (const auto* unnamed : { "", R"("version":"",)", R"("version":null,)" })
        cr_expect_eq(versionOf(unnamed), "", "%s", unnamed);
    for (const auto* value : { "1", "1.5", "true", "[]", "{}", "[\"v1\"]" })
        cr_expect(!refusal("\"version\":\"v1\"", std::string("\"version\":") + value).empty(), "%s is taken", value);
    const std::string longText(1u << 20, 'v');
    const auto name = versionOf("\"version\":\"" + longText + "\",");
    cr_expect_leq(name.size(), 64);
    cr_expect_eq(name, versionOf("\"version\":\"" + longText + "\","));
    cr_expect_neq(name, versionOf("\"version\":\"" + longText + "w\","));
}

Test(registration, addressOfNoProcessRefusesTheRecord)
{
    for (const auto* address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:70000", "10.0.0.1:4294967376", "10.0.0.1:-1",
             "10.0.0.1:+80", "10.0.0.1: 80", "10.0.0.1:80 ", "10.0.0.1:", "10.0.0.1", ":80", "", "0.0.0.0:80", ":::80",
             "255.255.255.255:80", "224.0.0.1:80", "1:80", "10.1:80", "0x0a000001:80", "fe80::1%a/b:80",
             "10.0.0.1\\u0000:80" })
        cr_expect(!refusal("10.0.0.1:80", address).empty(), "%s is taken", address);
    cr_expect(refusal("10.0.0.1:80", "10.255.0.1:65535").empty());
    cr_expect(refusal("10.0.0.1:80", "fd00::1:80").empty());
}

Test(registration, idThatIsNoHeaderValueRefusesTheRecord)
{
    using namespace std::string_literals;
    for (const auto& id : { ""s, " "s, "i 1"s, "i-1\r\nX-Other: 1"s, "i\n"s, "i\0"s, "i\x7f"s, "i-\xc3\xa9"s, "\xff"s })
        cr_expect(errorOf(decode(soundRegistration, "servers/" + id)), "an id of %zu bytes is taken", id.size());
    cr_expect(errorOf(decode(soundRegistration, "servers")), "a key without the prefix");
    cr_expect(!errorOf(decode(soundRegistration, "servers/" + std::string(190, 'i'))));
}

Test(registration, nestingOfAnyDepthIsReadOrRefused)
{
    for (const size_t depth : { 1u, 1000u, 1023u, 1024u, 1025u, 200000u, 500000u }) {
        const auto decoded = decode(nested(depth));
        cr_expect(depth <= 1000 ? !errorOf(decoded) : depth <= 1025 || errorOf(decoded), "%zu levels", depth);
    }
    std::string objects;
    for (int i = 0; i < 200000; ++i)
        objects += "{\"a\":";
    cr_expect(errorOf(decode(objects)));
    cr_expect(errorOf(RecordCodec().decodeDeployment(objects)));
    cr_expect(errorOf(EngineCodec().readReport({ 200, {} }, objects)));
}

namespace {

const std::string soundConfiguration
    = R"({"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/p/","kind":"streaming","timeout_ms":8000,)"
      R"("target_latency_ms":800,"priority":1,"traffic_split":[{"service":"s1","weight":90}],"max_attempts":2,)"
      R"("gap_aim_ms":300}],"services":[{"name":"s1","max_connections":630,"engine":{"slots":128,)"
      R"("kv_capacity_tokens":238579,"kv_token_bytes":18432,"models":[{"name":"m"}]}}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"priority":2}]})";

directory::Deployment configuration(const std::string& from, const std::string& to)
{
    auto decoded = RecordCodec().decodeDeployment(with(soundConfiguration, from, to));
    require(!errorOf(decoded), to + " refuses the configuration");
    return std::get<directory::Deployment>(std::move(decoded));
}

}

Test(configuration, timeThatIsTooLongIsBoundedNotInThePast)
{
    const auto now = Clock::now();
    for (const auto* value : { "1e300", "9223372036854775807", "18446744073709551616", "1e18", "1e13", "4294967296" }) {
        const auto text = std::string(value);
        const auto route = configuration("\"timeout_ms\":8000", "\"timeout_ms\":" + text).routes[0];
        cr_expect(now + route.timeout > now + 1h, "timeout_ms %s", value);
        const auto latency = configuration("latency_ms\":800", "latency_ms\":" + text).routes[0].targetLatency;
        cr_expect(now + latency > now + 1h, "target_latency_ms %s", value);
        const auto gap = *configuration("gap_aim_ms\":300", "gap_aim_ms\":" + text).routes[0].maxEventGap;
        cr_expect(now + gap > now + 1h, "gap_aim_ms %s", value);
        const auto header
            = configuration("header_timeout_ms\":3000", "header_timeout_ms\":" + text).limits.headerTimeout;
        const auto idle = configuration("idle_timeout_ms\":15000", "idle_timeout_ms\":" + text).limits.idleTimeout;
        for (const auto time : { route.timeout, latency, gap, header, idle }) {
            cr_expect(now + time > now + 1h, "%s", value);
            cr_expect_leq(4 * time.count(), std::numeric_limits<int>::max(), "a timer holds no %s ms", value);
        }
    }
    cr_expect_eq(configuration("\"timeout_ms\":8000", "\"timeout_ms\":1500.6").routes[0].timeout, 1501ms);
}

Test(configuration, numberThatIsTooLargeIsBoundedNotCut)
{
    constexpr auto largest = std::numeric_limits<uint32_t>::max();
    for (const auto* value : { "4294967296", "4294967298", "1e300", "9223372036854775808" }) {
        const auto text = std::string(value);
        cr_expect_eq(configuration("\"weight\":90", "\"weight\":" + text).routes[0].shares[0].weight, largest);
        cr_expect_eq(configuration("max_attempts\":2", "max_attempts\":" + text).routes[0].maxTargets, largest);
        cr_expect_eq(configuration("\"priority\":1", "\"priority\":" + text).routes[0].priority, largest);
        cr_expect_eq(*configuration("\"priority\":2", "\"priority\":" + text).organisations[0].priority, largest);
        cr_expect_eq(configuration("connections\":630", "connections\":" + text).services[0].maxConnections, largest);
        cr_expect_eq(configuration("\"slots\":128", "\"slots\":" + text).services[0].engines->slots, largest);
        cr_expect_eq(configuration("header_bytes\":16384", "header_bytes\":" + text).limits.headerBytes, largest);
    }
    for (const auto* value : { "9223372036854775808", "18446744073709551616", "1e300" }) {
        const auto text = std::string(value);
        const auto service = configuration("capacity_tokens\":238579", "capacity_tokens\":" + text).services[0];
        cr_expect_geq(service.engines->cacheTokens, size_t { 1 } << 40);
        cr_expect_geq(
            configuration("body_bytes\":4194304", "body_bytes\":" + text).limits.bodyBytes, size_t { 1 } << 40);
    }
    const directory::CallerLimits defaults;
    cr_expect_eq(configuration("body_bytes\":4194304", "body_bytes\":-1").limits.bodyBytes, defaults.bodyBytes);
    cr_expect_eq(configuration("max_attempts\":2", "max_attempts\":1.5").routes[0].maxTargets, 1);
}

Test(configuration, versionThatDoesNotFitRefusesIt)
{
    const RecordCodec codec;
    for (const auto* version : { "9223372036854775808", "1e300", "1e19", "-1", "1.5", "\"7\"", "null" }) {
        const auto text = "\"version\":" + std::string(version);
        cr_expect(errorOf(codec.decodeDeployment(with(soundConfiguration, "\"version\":7", text))), "%s", version);
        cr_expect(errorOf(codec.decodeWeights("op/version/m", "{\"model\":\"m\"," + text + "}")), "%s", version);
    }
}

Test(engineReport, numberThatDoesNotFitRefusesTheReport)
{
    const EngineCodec codec;
    const std::string sound = R"({"models":[{"name":"m","version":4}],"busy":true,"seq":2})";
    for (const auto* number : { "9223372036854775808", "1e19", "1e300", "-1", "1.5", "\"4\"", "null" }) {
        const auto text = std::string(number);
        cr_expect(errorOf(codec.readReport({ 200, {} }, with(sound, "\"seq\":2", "\"seq\":" + text))), "%s", number);
        cr_expect(errorOf(codec.readReport({ 200, {} }, with(sound, ":4", ":" + text))), "version %s", number);
    }
    cr_expect(!errorOf(codec.readReport({ 200, {} }, sound)));
}

Test(settings, valueThatDoesNotFitIsAProblem)
{
    QTemporaryDir folder;
    const auto file = folder.filePath("entry.yaml").toStdString();
    const auto problemsWith = [&](const std::string& line) {
        std::ofstream(file) << "instance: e\nregion: r\ndataCentre: d\nplatform: [127.0.0.1:1]\n" << line << "\n";
        return daemon::loadSettings(file).problems.size();
    };
    cr_expect_eq(problemsWith(""), 0);
    for (const auto* line : { "http: { idleTime: 1000000000000m }", "http: { headerTime: 1000000000000s }",
             "http: { bodyTime: 60000m }", "requests: { progressTime: 1000000000s }", "http: { headers: 4194304KiB }",
             "http: { headers: 4096MiB }", "forwarding: { retryWindow: 1000000000000m }",
             "forwarding: { revocationTime: 1000000000s }", "drain: { notice: 1000000000s, time: 1000000000s }",
             "claims: { retention: 1000000000000m }", "seeds: [127.0.0.1:0]", "trace: { collectors: [127.0.0.1:0] }",
             "peersAdvertised: 127.0.0.1:0", "listen: 127.0.0.1:65536", "listen: 127.0.0.1:-1",
             "threads: 18446744073709551617", "claims: { writesPerSecond: 4294967297 }",
             "forwarding: { parallelLoads: 1e300 }", "forwarding: { parallelLoads: nan }" })
        cr_expect_neq(problemsWith(line), 0, "%s", line);
    cr_expect_eq(problemsWith("http: { idleTime: 24m, headers: 4MiB }\nclaims: { retention: 43200m }"), 0);
    std::ofstream(file) << "instance: e\nregion: r\ndataCentre: d\nplatform: [127.0.0.1:0]\n";
    cr_expect(!daemon::loadSettings(file).problems.empty());
    std::ofstream(file) << "instance: " << std::string(20000, '[') << "\n";
    cr_expect(!daemon::loadSettings(file).problems.empty());
}

Test(peerTransport, addressOfNoProcessIsNotSentTo)
{
    const Application application;
    observe::Metrics metrics;
    membership::ZmqTransport transport(metrics);
    const std::vector<std::string> addresses { "127.0.0.1:0", "fe80::1%a/b:80", "fe80::1%\n:80", "::1:80", "1:80",
        "0.0.0.0:1", "", ":", "x:y", "127.0.0.1:65536", std::string("127.0.0.1\0:80", 13) };
    for (const auto& address : addresses) {
        transport.send(address, {});
        pb::PeerAddress record;
        record.set_instance("other");
        record.set_address(address);
        cr_expect(address == "::1:80" || !relay::fromRecord(record), "%s is taken", address.c_str());
    }
}

Test(peerTransport, manyAddressesDoNotEndTheProcess)
{
    const Application application;
    observe::Metrics metrics;
    membership::ZmqTransport transport(metrics);
    for (int i = 0; i < 3000; ++i) // nothing listens there
        transport.send("127.77." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":9", {});
}

Test(endReport, withMoreRequestsThanAnInstanceWritesIsRefused)
{
    quarantine::TargetEndReport report { { "i-1", 17 }, {}, {}, {} };
    for (uint64_t i = 0; i < 5000; ++i)
        report.beginning.push_back({ i, {} });
    cr_assert_not(quarantine::fromRecord(quarantine::toRecord(report)).has_value());
    report.beginning.resize(32);
    cr_assert(quarantine::fromRecord(quarantine::toRecord(report)).has_value());
}

namespace {

using Random = std::mt19937;

/// @p sound with some random changes: bytes, parts of other texts, repeated or missing pieces.
std::string mutated(std::string text, const std::vector<std::string>& pieces, Random& random)
{
    for (auto changes = 1 + random() % 4; changes; --changes) {
        const auto at = random() % (text.size() + 1);
        const auto count = random() % 12;
        switch (random() % 6) {
        case 0:
            text.insert(at, 1, static_cast<char>(random()));
            break;
        case 1:
            text.erase(at, count);
            break;
        case 2:
            text.insert(at, pieces[random() % pieces.size()]);
            break;
        case 3: {
            const auto digit = text.find_first_of("0123456789", at);
            if (digit != std::string::npos)
                text.replace(digit, 1, pieces[random() % pieces.size()]);
            break;
        }
        case 4:
            text.insert(at, text.substr(random() % (text.size() + 1), count));
            break;
        default:
            if (at < text.size())
                text[at] = static_cast<char>(random());
        }
    }
    return text;
}

void checkRegistration(const Result<directory::Registration>& decoded, const std::string& bytes)
{
    const auto* registration = std::get_if<directory::Registration>(&decoded);
    if (!registration)
        return;
    cr_assert_neq(registration->endpoint.port, 0, "%s", bytes.c_str());
    cr_assert(!registration->id.empty());
    cr_assert_geq(registration->startedUnixMs, 0, "%s", bytes.c_str());
    cr_assert_leq(registration->sequence, std::numeric_limits<int64_t>::max(), "%s", bytes.c_str());
}

void checkDeployment(const Result<directory::Deployment>& decoded, const std::string& bytes)
{
    const auto* deployment = std::get_if<directory::Deployment>(&decoded);
    if (!deployment)
        return;
    const auto now = Clock::now();
    for (const auto& route : deployment->routes) {
        for (const auto time : { route.timeout, route.targetLatency, route.maxEventGap.value_or(0ms) })
            cr_assert(now + time >= now && time < 24 * 24h, "%s", bytes.c_str());
    }
}

}

Test(decoders, anyBytesAreReadOrRefused, .timeout = 60)
{
    google::protobuf::SetLogHandler(nullptr);
    const RecordCodec records;
    const EngineCodec engines;
    const HeaderCodec headers;
    const std::vector<std::string> pieces { "1e300", "1e999", "18446744073709551616", "9223372036854775808", "-1", "-0",
        "0.5", "4294967296", "null", "[", "{\"a\":", "]", "}", "\"", "\\ud800", "\\u0000", "\xff", std::string(1, '\0'),
        std::string(2000, '['), ",", ":", "\r\n", "%", "nan", "inf", "," };
    quarantine::TargetEndReport report { { "i-1", 17 }, { { 1, { 2, 3 } }, { 4, { 5 } } }, { 6 }, { 7 } };
    pb::PeerAddress peer;
    peer.set_instance("entry-1");
    peer.set_address("127.0.0.1:80");
    const auto peerBytes = peer.SerializeAsString();
    const auto reportBytes = quarantine::toRecord(report);
    const std::string engineReport = R"({"models":[{"name":"m","version":4}],"busy":true,"seq":2})";
    constexpr int rounds = 20000;
    Random random(34);
    for (int round = 0; round < rounds; ++round) {
        const auto registration = mutated(soundRegistration, pieces, random);
        checkRegistration(decode(registration), registration);
        decode(soundRegistration, "servers/" + mutated("i-1", pieces, random));
        const auto deployment = mutated(soundConfiguration, pieces, random);
        checkDeployment(records.decodeDeployment(deployment), deployment);
        records.decodeWeights("op/version/m", mutated("{\"model\":\"m\",\"version\":2}", pieces, random));
        engines.readReport({ 200, {} }, mutated(engineReport, pieces, random));
        quarantine::fromRecord(mutated(reportBytes, pieces, random));
        pb::PeerAddress parsed;
        if (parsed.ParseFromString(mutated(peerBytes, pieces, random)))
            relay::fromRecord(parsed);
        headers.parseAnswer({ 503,
            { { "Retry-After", mutated("1.5", pieces, random) }, { "Server-Limit", mutated("4.7", pieces, random) },
                { "X-Dragonflyarch-Instance-Load", mutated("3,1,8", pieces, random) },
                { "X-Dragonflyarch-Weight-Versions", mutated("5", pieces, random) },
                { "Connection", mutated("keep-alive, close", pieces, random) } } });
        headers.parseRequest({ "POST", mutated("/p/x?y=1", pieces, random),
            { { "X-Dragonflyarch-Deadline-Ms", mutated("8000", pieces, random) },
                { "X-Dragonflyarch-Token-Usage", mutated("1460,80", pieces, random) },
                { "X-Dragonflyarch-Prompt-Prefix", mutated("5c1e:800,91bd:410", pieces, random) } },
            {} });
        std::string bytes(random() % 64, '\0');
        for (auto& byte : bytes)
            byte = static_cast<char>(random());
        decode(bytes);
        parseEndpoint(bytes);
        quarantine::fromRecord(bytes);
    }
}

namespace {

/// Two instances, the second of which follows the first. All lines that processes of the site print are kept.
struct OddSite {
    const Application application;
    QTemporaryDir folder;
    std::string logFile = this->folder.filePath("log").toStdString();
    ForwardSite site;

    OddSite()
    {
        setenv("DRAGONFLY_TEST_LOG", this->logFile.c_str(), 1);
        this->site.startEntry(true, "processorShare: 0.5\n");
        auto& follower = this->site.startEntry(true, "processorShare: 0.1\n");
        require(waitUntil([&] { return follower.printedLine("from=entry-0"); }, 5s), "nothing is followed");
    }
    std::vector<std::string> log() const
    {
        std::vector<std::string> lines;
        std::ifstream file(this->logFile);
        for (std::string line; std::getline(file, line);)
            lines.push_back(line);
        return lines;
    }
    size_t countLines(const std::string& part) const
    {
        const auto lines = this->log();
        return static_cast<size_t>(std::count_if(
            lines.begin(), lines.end(), [&](const std::string& line) { return line.find(part) != std::string::npos; }));
    }
    std::set<std::string> targetsAt(size_t entry)
    {
        const auto status = get(this->site.entries[entry]->address("admin"), "/status");
        require(waitFor(status), "no status");
        std::set<std::string> ids;
        for (const auto& each : status->json()["targets"].toArray())
            ids.insert(each.toObject()["id"].toString().toStdString());
        return ids;
    }
    /// Whether both instances learn of a further target within the time that the users' pages allow for a change.
    bool bothFollow()
    {
        const auto added = "service-" + std::to_string(this->site.services.size());
        this->site.addService();
        return waitUntil([&] { return this->targetsAt(0).contains(added) && this->targetsAt(1).contains(added); }, 3s);
    }
    /// Number of requests of 20 that each instance answered.
    std::pair<int, int> served()
    {
        std::pair<int, int> count;
        for (int i = 0; i < 20; ++i) {
            const auto id = "r" + std::to_string(++this->lastRequest);
            count.first += this->site.sendAndWait({ id, "/book/x" }, 0)->status == 200;
            count.second += this->site.sendAndWait({ id + "b", "/read/x" }, 1)->status == 200;
        }
        return count;
    }

private:
    int lastRequest = 0;
};

/// Records of targets of the plain service, at an address where nothing listens, each with one fault.
std::vector<std::string> oddRecords()
{
    const auto sound = with(with(soundRegistration, "\"s\"", "\"desk\""), "10.0.0.1:80", "127.0.0.1:1");
    std::vector<std::string> records { "", "{", "[]", "null", "\xff\xfe", std::string(100000, '['),
        std::string(50000, '\0') };
    for (const auto& [from, to] :
        { std::pair(":1\"", ":0\""), { ":1\"", ":70000\"" }, { ":1\"", ":-1\"" }, { "127.0.0.1", "0.0.0.0" },
            { "\"slots\":8", "\"slots\":4294967296" }, { "\"slots\":8", "\"slots\":1e300" },
            { "\"slots\":8", "\"slots\":1e999" }, { "\"slots\":8", "\"slots\":[8]" },
            { "\"seq\":4", "\"seq\":9223372036854775808" }, { "\"seq\":4", "\"seq\":1e300" },
            { "\"seq\":4", "\"seq\":{}" }, { "\"born\":17", "\"born\":1e300" }, { "\"born\":17", "\"born\":-1" },
            { "\"version\":3", "\"version\":1e19" }, { "\"ready\"", "\"resting\"" }, { "\"desk\"", "7" } })
        records.push_back(with(sound, from, to));
    records.push_back(with(sound, "\"seq\":4", "\"seq\":" + std::string(100000, '[') + std::string(100000, ']')));
    records.push_back(with(sound, "\"seq\"", "\"\\ud800\":\"\xff\",\"seq\""));
    return records;
}

}

Test(oddRecord, amongThoseOfTargetsHarmsNoRequest, .timeout = 60)
{
    OddSite odd;
    const auto sound = with(with(soundRegistration, "\"s\"", "\"desk\""), "10.0.0.1:80", "127.0.0.1:1");
    const auto before = odd.targetsAt(0);
    int number = 0;
    for (const auto& record : oddRecords())
        odd.site.putRecord("servers/odd-" + std::to_string(++number), record);
    using namespace std::string_literals;
    for (const auto& id : { ""s, "a b"s, "a\r\nX-Injected: 1"s, "a\0b"s, "\xc3\xa9"s, std::string(1 << 20, 'i') })
        odd.site.putRecord("servers/" + id, id.size() < 100 ? sound : "{}");
    cr_assert(odd.bothFollow());
    auto expected = before;
    expected.insert("service-2");
    for (const size_t entry : { 0u, 1u })
        cr_expect(odd.targetsAt(entry) == expected, "%zu targets at %zu", odd.targetsAt(entry).size(), entry);
    const auto [first, second] = odd.served();
    cr_expect(first == 20 && second == 20, "%d and %d of 20", first, second);
    odd.site.restartEntry(1); // reads all records
    cr_expect(odd.targetsAt(1) == expected);
    cr_expect(odd.site.entries[0]->isRunning());
}

Test(oddRecord, underTheOwnPrefixEndsNoProcess, .timeout = 60)
{
    OddSite odd;
    pb::PeerAddress peer;
    peer.set_region("north");
    peer.set_data_centre("north-a");
    peer.set_capacity(std::numeric_limits<uint32_t>::max()); // so that it would be followed
    int number = 0;
    for (const auto* address : { "127.0.0.1:0", "fe80::1%a/b:80", "0.0.0.0:1", "127.0.0.1:70000", "" }) {
        peer.set_instance("odd-" + std::to_string(++number));
        peer.set_address(address);
        odd.site.putRecord("dragonfly/instances/" + peer.instance(), peer.SerializeAsString());
    }
    for (const auto* key : { "instances/", "instances/x", "target-ends/", "target-ends/x", "sound-prompts/",
             "sound-prompts/x", "confirmed-for/", "confirmed-for/m", "may-still-answer/", "may-still-answer/m/",
             "may-still-answer/m/-1", "may-still-answer//1", "x", "" }) {
        for (const auto& bytes : { std::string("\x0a\x02\xff\xff"), std::string(50000, '\xff'), std::string() })
            odd.site.putRecord(std::string("dragonfly/") + key, bytes);
    }
    cr_assert(odd.bothFollow());
    runFor(2s);
    const auto [first, second] = odd.served();
    cr_expect(first == 20 && second == 20, "%d and %d of 20", first, second);
    odd.site.restartEntry(1);
    for (const auto& entry : odd.site.entries) {
        cr_expect(entry->isRunning());
        cr_expect_eq(entry->log(), "", "%s", entry->log().c_str());
    }
}

Test(oddRecord, itemOfAPageThatCannotBeReadDoesNotStopTheReading, .timeout = 60)
{
    OddSite odd;
    QJsonArray items;
    for (const auto& item : { QJsonValue(), QJsonValue(7), QJsonValue("x"), QJsonValue(QJsonArray { 1 }),
             QJsonValue(QJsonObject {}), QJsonValue(QJsonObject { { "key", 7 } }),
             QJsonValue(QJsonObject { { "key", "" }, { "value", "e30=" }, { "revision", 5 } }),
             QJsonValue(QJsonObject { { "key", "servers/odd" }, { "value", "e30=" } }),
             QJsonValue(QJsonObject { { "key", "servers/odd" }, { "value", "e30=" }, { "revision", 1e300 } }),
             QJsonValue(QJsonObject { { "key", "servers/odd" }, { "value", "e30=" }, { "revision", -7 } }),
             QJsonValue(QJsonObject { { "key", "servers/odd" }, { "value", "no base64!" }, { "revision", 5 } }),
             QJsonValue(QJsonObject { { "key", "servers/odd" }, { "value", QJsonObject {} }, { "revision", 5 } }) })
        items.append(item);
    // Several pages, each of which ends with these items.
    odd.site.controlStore(
        { { "fill", QJsonObject { { "prefix", "servers/odd-" }, { "count", 1200 }, { "value", "" } } },
            { "odd_items", items } });
    for (const size_t entry : { 1u, 0u })
        odd.site.restartEntry(entry);
    cr_assert(odd.bothFollow());
    const auto [first, second] = odd.served();
    cr_expect(first == 20 && second == 20, "%d and %d of 20", first, second);
}

Test(oddRecord, bytesThatAreNoTextInAnAnswerDoNotStopTheReading, .timeout = 60)
{
    OddSite odd;
    odd.site.controlStore({ { "odd_key", "c2VydmVycy9pLf8=" } }); // each answer names a key that is not UTF-8
    for (const size_t entry : { 1u, 0u })
        odd.site.restartEntry(entry);
    cr_assert(odd.bothFollow());
    const auto [first, second] = odd.served();
    cr_expect(first == 20 && second == 20, "%d and %d of 20", first, second);
}

Test(oddRecord, tenThousandOfThemAreFollowedAndLoggedInBounds, .timeout = 120)
{
    OddSite odd;
    runFor(1s);
    const auto memory = odd.site.entries[0]->residentBytes();
    const auto start = Clock::now();
    for (int round = 0; round < 4; ++round) {
        // As an engine's heartbeat, the same bytes are written again; then others.
        const auto value = round < 2 ? "{\"slots\":1e300}" : "{\"slots\":-" + std::to_string(round) + "}";
        odd.site.controlStore({ { "fill",
            QJsonObject { { "prefix", "servers/odd-" }, { "count", 10000 }, { "value", value.c_str() } } } });
        cr_expect(odd.bothFollow(), "round %d", round);
        const auto [first, second] = odd.served();
        cr_expect(first == 20 && second == 20, "%d and %d of 20 in round %d", first, second, round);
    }
    const auto grown = odd.site.entries[0]->residentBytes() - std::min(memory, odd.site.entries[0]->residentBytes());
    cr_expect_leq(grown, 32u << 20, "%zu bytes", static_cast<size_t>(grown));
    odd.site.restartEntry(1);
    odd.site.controlStore({ { "fill", QJsonObject { { "prefix", "servers/odd-" }, { "count", -10000 } } } });
    cr_expect(odd.bothFollow(), "after they were removed");
    const auto seconds = std::chrono::duration<double>(Clock::now() - start).count();
    const auto lines = odd.countLines("invalid target record refused");
    constexpr size_t processes = 3;
    cr_expect_leq(lines, processes * static_cast<size_t>(100 + 10 * seconds), "%zu lines in %.1f s", lines, seconds);
    cr_expect_geq(lines, 10);
}

Test(oddRecord, longLineOfTheLogDoesNotSwallowTheNext, .timeout = 60)
{
    OddSite odd;
    const auto service = "\"" + std::string(100000, 'x') + "\"";
    odd.site.putRecord("servers/odd", with(soundRegistration, "\"s\"", service));
    cr_assert(odd.bothFollow());
    for (const auto& line : odd.log()) {
        const auto first = line.find("time=");
        const bool isOne = first == std::string::npos || line.find("time=2", first + 1) == std::string::npos;
        cr_expect(isOne, "%s", line.substr(std::max<size_t>(line.size(), 200) - 200).c_str());
    }
}
