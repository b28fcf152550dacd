#include "quarantine/RequestIdentity.h"

#include "base/Digest.h"

namespace dragonfly::quarantine {

PartHash hashOfRequest(const RequestIdentity& identity)
{
    std::string fields;
    const auto add = [&fields](std::string_view field) {
        fields += std::to_string(field.size()) + ':';
        fields += field;
    };
    for (const auto field : { identity.method, identity.host, identity.target, identity.caller, identity.model })
        add(field);
    fields += std::to_string(identity.prompt.size()) + ';';
    for (const auto id : identity.prompt)
        add(id);
    fields += sha256(identity.body);
    const auto digest = sha256(fields);
    PartHash hash = 0;
    for (size_t i = 0; i < sizeof(hash); ++i) // the same on machines of any byte order
        hash = hash << 8 | static_cast<unsigned char>(digest[i]);
    return hash | requestBit;
}

}
