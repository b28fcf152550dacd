#include "tests/support/UpgradeSamples.h"

#include "base/Digest.h"
#include "claims.pb.h"
#include "config.pb.h"
#include "peer.pb.h"
#include "quarantine.pb.h"
#include "quarantine/PromptQuarantine.h"
#include "quarantine/RequestIdentity.h"
#include "routing/PrefixChain.h"
#include "streams.pb.h"

#include <sstream>
#include <stdexcept>

namespace testing {

using namespace dragonfly;
using google::protobuf::Descriptor;
using google::protobuf::DescriptorPool;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::MessageFactory;

namespace {

    /// The messages that are stored or sent by themselves; the others are parts of them.
    constexpr const char* wholeMessages[] { "PeerMessage", "PeerAddress", "VersionsInUse", "StreamStarts", "TargetEnd",
        "ClaimDocument", "Manifest", "ConfigPart" };

    /// A number that follows from a field's name. The field number would not show that two fields were exchanged.
    uint32_t numberOf(const FieldDescriptor& field)
    {
        constexpr uint32_t limit = 10000;
        uint32_t number = 0;
        for (const char character : field.name())
            number = (number * 31 + static_cast<unsigned char>(character)) % limit;
        return number + 1;
    }

    void fill(Message& message, const std::string& alternative);

    void setField(Message& message, const FieldDescriptor& field, const std::string& alternative)
    {
        const auto& reflection = *message.GetReflection();
        const auto number = numberOf(field);
        const bool isRepeated = field.is_repeated();
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_INT32:
            isRepeated ? reflection.AddInt32(&message, &field, static_cast<int32_t>(number))
                       : reflection.SetInt32(&message, &field, static_cast<int32_t>(number));
            break;
        case FieldDescriptor::CPPTYPE_INT64:
            isRepeated ? reflection.AddInt64(&message, &field, number) : reflection.SetInt64(&message, &field, number);
            break;
        case FieldDescriptor::CPPTYPE_UINT32:
            isRepeated ? reflection.AddUInt32(&message, &field, number)
                       : reflection.SetUInt32(&message, &field, number);
            break;
        case FieldDescriptor::CPPTYPE_UINT64:
            isRepeated ? reflection.AddUInt64(&message, &field, number)
                       : reflection.SetUInt64(&message, &field, number);
            break;
        case FieldDescriptor::CPPTYPE_BOOL:
            isRepeated ? reflection.AddBool(&message, &field, true) : reflection.SetBool(&message, &field, true);
            break;
        case FieldDescriptor::CPPTYPE_ENUM: {
            const auto& type = *field.enum_type();
            const auto* last = type.value(type.value_count() - 1);
            isRepeated ? reflection.AddEnum(&message, &field, last) : reflection.SetEnum(&message, &field, last);
            break;
        }
        case FieldDescriptor::CPPTYPE_STRING:
            isRepeated ? reflection.AddString(&message, &field, field.name())
                       : reflection.SetString(&message, &field, field.name());
            break;
        case FieldDescriptor::CPPTYPE_MESSAGE:
            fill(isRepeated ? *reflection.AddMessage(&message, &field) : *reflection.MutableMessage(&message, &field),
                alternative);
            break;
        default:
            throw std::logic_error("no sample value for the type of " + field.full_name());
        }
    }

    void fill(Message& message, const std::string& alternative)
    {
        const auto& type = *message.GetDescriptor();
        for (int i = 0; i < type.field_count(); ++i) {
            const auto& field = *type.field(i);
            if (!field.real_containing_oneof() || field.name() == alternative)
                setField(message, field, alternative);
        }
    }

    const Descriptor& descriptorOf(const std::string& type)
    {
        const auto* descriptor = DescriptorPool::generated_pool()->FindMessageTypeByName("dragonfly.pb." + type);
        if (!descriptor)
            throw std::invalid_argument("no message " + type);
        return *descriptor;
    }

    std::string hex(uint64_t hash)
    {
        std::ostringstream text;
        text << std::hex << hash;
        return text.str();
    }

}

std::unique_ptr<Message> filledMessage(const std::string& type, const std::string& alternative)
{
    const auto* prototype = MessageFactory::generated_factory()->GetPrototype(&descriptorOf(type));
    std::unique_ptr<Message> message(prototype->New());
    fill(*message, alternative);
    return message;
}

Samples messageSamples()
{
    // Links the generated files, so that their messages are registered.
    pb::PeerMessage::descriptor();
    pb::VersionsInUse::descriptor();
    pb::TargetEnd::descriptor();
    pb::ClaimDocument::descriptor();
    pb::Manifest::descriptor();
    Samples samples;
    for (const std::string type : wholeMessages) {
        const auto& descriptor = descriptorOf(type);
        if (!descriptor.real_oneof_decl_count())
            samples[type] = filledMessage(type, {})->SerializeAsString();
        for (int i = 0; i < descriptor.real_oneof_decl_count(); ++i) {
            const auto& choice = *descriptor.oneof_decl(i);
            for (int j = 0; j < choice.field_count(); ++j)
                samples[type + "." + choice.field(j)->name()]
                    = filledMessage(type, choice.field(j)->name())->SerializeAsString();
        }
    }
    return samples;
}

streams::ServiceVersions sampleVersions()
{
    using streams::VersionPhase;
    return { { "embeddings", { { "", VersionPhase::Open } } },
        { "engines",
            { { "build-1", VersionPhase::Closed }, { "build-2", VersionPhase::Open },
                { "build-3", VersionPhase::Opening } } } };
}

std::vector<streams::StreamStart> sampleStarts()
{
    return { { streams::streamIdOf("acme", "r1"), "build-1", true },
        { streams::streamIdOf("acme", "r2"), "build-1", false }, { streams::streamIdOf("", "r3"), "build-2", true } };
}

quarantine::TargetEndReport sampleTargetEnd()
{
    const auto part = quarantine::hashOfPart("model", "part");
    return { { "engine-7", 1765000000123 }, { { 42, { part, part | quarantine::requestBit } }, { 43, {} } }, { 7, 9 },
        { part } };
}

relay::Peer samplePeer()
{
    return { "entry-3", "10.1.2.3:7400", { "north", "north-a" }, 120, "10.1.2.3:7401" };
}

Samples recordSamples()
{
    return { { "VersionsInUse", streams::encodeVersions(sampleVersions()) },
        { "StreamStarts", streams::encodeStarts(sampleStarts()) },
        { "TargetEnd", quarantine::toRecord(sampleTargetEnd()) },
        { "PeerAddress", relay::toRecord(samplePeer()).SerializeAsString() } };
}

std::string hashSamples()
{
    std::ostringstream lines;
    lines << "fastHash " << hex(fastHash("dragonfly")) << '\n';
    lines << "fastHash seeded " << hex(fastHash("dragonfly", 7)) << '\n';
    lines << "streamIdOf " << hex(streams::streamIdOf("acme", "r1")) << '\n';
    lines << "streamIdOf anonymous " << hex(streams::streamIdOf("", "r1")) << '\n';
    lines << "hashOfPart " << hex(quarantine::hashOfPart("model", "part")) << '\n';
    lines << "hashOfRequest "
          << hex(quarantine::hashOfRequest({ "POST", "host", "/ask", "acme", "model", { "part" }, "body" })) << '\n';
    lines << "scopeSeed " << hex(routing::scopeSeed("shared", "model", "3")) << '\n';
    lines << "cacheSalt " << routing::cacheSalt("shared", "model", "3") << '\n';
    const auto chain = routing::buildPrefixChain(std::string(1000, 'p'), 7);
    for (const auto& point : chain)
        lines << "prefix of " << point.bytes << ' ' << hex(point.hash) << '\n';
    return lines.str();
}

}
