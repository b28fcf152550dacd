// What instances of two builds, side by side during an upgrade, make of each other's records, messages and hashes.
//
// tests/samples has a folder for each build whose forms must still be understood, named so that the newest is the last
// one. docs/UPGRADES.md says how they are written.

#include "peer.pb.h"
#include "quarantine/PromptQuarantine.h"
#include "relay/InstanceRegistry.h"
#include "streams/StartRecorder.h"
#include "streams/VersionRegistry.h"
#include "tests/support/UpgradeSamples.h"
#include "weights/WeightsRollout.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <google/protobuf/unknown_field_set.h>
#include <google/protobuf/util/message_differencer.h>
#include <sstream>

using namespace testing;
using namespace dragonfly;
using google::protobuf::util::MessageDifferencer;

namespace {

std::string contentOf(const std::filesystem::path& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

Samples samplesIn(const std::filesystem::path& folder)
{
    Samples samples;
    for (const auto& file : std::filesystem::directory_iterator(folder))
        samples[file.path().filename().string()] = contentOf(file.path());
    return samples;
}

/// The builds with samples, the newest last.
std::vector<std::filesystem::path> builds()
{
    std::vector<std::filesystem::path> folders;
    for (const auto& folder : std::filesystem::directory_iterator(std::string(SOURCE_FOLDER) + "/tests/samples"))
        folders.push_back(folder.path());
    std::sort(folders.begin(), folders.end());
    cr_assert_geq(folders.size(), 2);
    return folders;
}

std::string typeOf(const std::string& sample)
{
    return sample.substr(0, sample.find('.'));
}

std::string alternativeOf(const std::string& sample)
{
    const auto point = sample.find('.');
    return point == std::string::npos ? "" : sample.substr(point + 1);
}

/// Whether each field of @p part has the same value in @p whole.
bool isPartOf(const google::protobuf::Message& part, const google::protobuf::Message& whole, std::string& difference)
{
    MessageDifferencer differencer;
    differencer.set_scope(MessageDifferencer::PARTIAL);
    differencer.ReportDifferencesToString(&difference);
    return differencer.Compare(part, whole);
}

std::unique_ptr<google::protobuf::Message> parsed(const std::string& type, const std::string& bytes)
{
    auto message = filledMessage(type, {});
    return message->ParseFromString(bytes) ? std::move(message) : nullptr;
}

/// The record in the form of this build after it was read as one of the named type; empty if it is refused.
std::string readAndWritten(const std::string& type, const std::string& bytes)
{
    if (type == "VersionsInUse") {
        const auto read = streams::decodeVersions(bytes);
        return read ? streams::encodeVersions(*read) : "";
    }
    if (type == "StreamStarts") {
        const auto read = streams::decodeStarts(bytes);
        return read ? streams::encodeStarts(*read) : "";
    }
    if (type == "TargetEnd") {
        const auto read = quarantine::fromRecord(bytes);
        return read ? quarantine::toRecord(*read) : "";
    }
    pb::PeerAddress address;
    const auto read = address.ParseFromString(bytes) ? relay::fromRecord(address) : std::nullopt;
    return read ? relay::toRecord(*read).SerializeAsString() : "";
}

/// @p bytes with fields that a later build may add.
std::string withUnknownFields(const std::string& bytes)
{
    constexpr int number = 999;
    google::protobuf::UnknownFieldSet fields;
    fields.AddVarint(number, 7);
    fields.AddFixed64(number + 1, 7);
    fields.AddLengthDelimited(number + 2, "later");
    std::string added;
    fields.SerializeToString(&added);
    return bytes + added;
}

}

// A field whose number, type or name changes, or that is removed, means something else to one of two builds.
Test(upgrade, messagesOfEarlierBuildsKeepTheirMeaning)
{
    for (const auto& build : builds()) {
        for (const auto& [name, bytes] : samplesIn(build / "messages")) {
            const auto sample = (build / name).string();
            const auto message = parsed(typeOf(name), bytes);
            cr_assert(message != nullptr, "%s", sample.c_str());
            std::string difference;
            cr_expect(isPartOf(*message, *filledMessage(typeOf(name), alternativeOf(name)), difference), "%s: %s",
                sample.c_str(), difference.c_str());
            message->DiscardUnknownFields();
            cr_expect_eq(
                message->SerializeAsString(), bytes, "%s has fields that this build does not know", sample.c_str());
        }
    }
}

// A record that this build refuses, or reads otherwise than the build that wrote it, is lost during an upgrade.
Test(upgrade, recordsOfEarlierBuildsAreRead)
{
    const auto present = recordSamples();
    for (const auto& build : builds()) {
        const auto samples = samplesIn(build / "records");
        cr_assert_eq(samples.size(), present.size());
        for (const auto& [type, bytes] : samples)
            cr_expect_eq(readAndWritten(type, bytes), present.at(type), "%s of %s", type.c_str(), build.c_str());
    }
}

// The build before reads the fields that it knows and needs them to be as it would have written them.
Test(upgrade, recordsOfThisBuildAreReadByEarlierOnes)
{
    for (const auto& build : builds()) {
        for (const auto& [type, bytes] : samplesIn(build / "records")) {
            std::string difference;
            cr_expect(isPartOf(*parsed(type, bytes), *parsed(type, recordSamples().at(type)), difference),
                "%s of %s: %s", type.c_str(), build.c_str(), difference.c_str());
        }
    }
}

// A new form without a sample would not be noticed when it changes later.
Test(upgrade, newestSamplesHaveEachFieldOfThisBuild)
{
    const auto newest = builds().back();
    const auto written = samplesIn(newest / "messages");
    for (const auto& [name, bytes] : messageSamples()) {
        cr_expect(written.contains(name), "no sample of %s", name.c_str());
        cr_expect_eq(written.contains(name) ? written.at(name) : "", bytes, "%s has changed since %s", name.c_str(),
            newest.c_str());
    }
    cr_expect_eq(samplesIn(newest / "records"), recordSamples());
    cr_expect_eq(contentOf(newest / "hashes"), hashSamples());
}

// Two builds whose hashes differ share no cached prefixes and don't recognise each other's streams and prompt parts.
Test(upgrade, hashesAreThoseOfEarlierBuilds)
{
    const auto present = hashSamples();
    for (const auto& build : builds()) {
        std::istringstream lines(contentOf(build / "hashes"));
        int count = 0;
        for (std::string line; std::getline(lines, line); ++count)
            cr_expect(present.find(line + "\n") != std::string::npos, "%s: %s", build.c_str(), line.c_str());
        cr_assert_gt(count, 0);
    }
}

// A later build may add fields; a record with them stays readable, so that an upgrade can be taken back.
Test(upgrade, fieldsOfLaterBuildsAreIgnored)
{
    for (const auto& [type, bytes] : recordSamples())
        cr_expect_eq(readAndWritten(type, withUnknownFields(bytes)), bytes, "%s", type.c_str());
    for (const auto& [name, bytes] : messageSamples()) {
        const auto message = parsed(typeOf(name), withUnknownFields(bytes));
        cr_assert(message != nullptr, "%s", name.c_str());
        message->DiscardUnknownFields();
        cr_expect_eq(message->SerializeAsString(), bytes, "%s", name.c_str());
    }
}

// A key with another name would give two leaders, or hide records from the other build.
Test(upgrade, keysAreThoseOfEarlierBuilds)
{
    using weights::WeightsRollout;
    cr_expect_eq(std::string(relay::InstanceRegistry::keyPrefix), "dragonfly/instances/");
    cr_expect_eq(std::string(streams::VersionRegistry::key), "dragonfly/stream-versions");
    cr_expect_eq(std::string(streams::StartRecorder::keyPrefix), "dragonfly/stream-starts/");
    cr_expect_eq(std::string(quarantine::PromptQuarantine::reportPrefix), "dragonfly/target-ends/");
    cr_expect_eq(std::string(quarantine::PromptQuarantine::soundPrefix), "dragonfly/sound-prompts/");
    cr_expect_eq(std::string(WeightsRollout::leaderKey), "dragonfly/order-holder");
    cr_expect_eq(std::string(WeightsRollout::mayStillAnswerPrefix), "dragonfly/may-still-answer/");
    cr_expect_eq(std::string(WeightsRollout::confirmedForPrefix), "dragonfly/confirmed-for/");
    cr_expect_eq(std::string(WeightsRollout::observationKey), "dragonfly/weights-observed");
    cr_expect_eq(std::string(WeightsRollout::boundedSuffix), " bounded");
}
