#ifndef CHICORY_CORE_IDENTIFIER_HPP
#define CHICORY_CORE_IDENTIFIER_HPP

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace chicory
{

/// Generates unique identifiers: a prefix and 24 hexadecimal digits (96 bits)
/// from a pseudorandom generator that is seeded once per source.
class identifier_source
{
public:
    /// Seeds the generator with random bits from the operating system.
    identifier_source();

    /// Seeds the generator with a fixed value, for tests.
    explicit identifier_source(std::uint64_t seed);

    /// Returns a new identifier that starts with the given prefix.
    std::string next(std::string_view prefix);

private:
    std::mt19937_64 generator;
};

/// Returns the seeded 64-bit XXH3 hash of the bytes.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the SHA-256 digest of the bytes.
std::array<std::uint8_t, 32> sha256(std::string_view bytes);

/// Returns the SHA-256 digest of the bytes in lower-case hexadecimal.
std::string sha256_hex(std::string_view bytes);

/// Returns whether two strings are equal, in a time that depends only on their
/// lengths, so that the time does not reveal how many bytes match.
bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace chicory

#endif
