#pragma once
// Hashes (SHA-256 for content addresses and secrets, XXH3 where only an even distribution matters) and random IDs.

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonfly {

/// SHA-256 of @p bytes: 32 raw bytes, not hexadecimal.
std::string sha256(std::string_view bytes);

/// @p bytes in lower-case hexadecimal, two digits a byte.
std::string toHex(std::string_view bytes);

/// 64-bit XXH3 of @p bytes. Not cryptographic: do not use it for secrets.
uint64_t fastHash(std::string_view bytes, uint64_t seed = 0);

/// Compares in a time that does not depend on where the texts differ. Different lengths return early.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// A random 128-bit identifier as 32 hexadecimal digits.
std::string randomId();

}
