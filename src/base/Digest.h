#pragma once
// Hashes: SHA-256 where content is addressed or secret, XXH3 where only spread matters.

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonfly {

/// The 32 bytes of the SHA-256 of @p bytes.
std::string sha256(std::string_view bytes);

/// Lower-case hexadecimal.
std::string toHex(std::string_view bytes);

/// XXH3 of @p bytes; not for secrets.
uint64_t fastHash(std::string_view bytes, uint64_t seed = 0);

/// Compares without revealing through its run time where two texts differ.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// A random 128-bit identifier in hexadecimal.
std::string randomId();

}
