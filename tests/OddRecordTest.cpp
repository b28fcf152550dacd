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
