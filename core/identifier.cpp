#include "core/identifier.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include <array>
#include <cstdio>

namespace chicory
{

namespace
{

std::uint64_t read_random_seed()
{
    std::random_device device;
    const std::uint64_t high = device();
    const std::uint64_t low = device();
    return (high << 32) | low;
}

void append_hex(std::string& text, std::uint64_t value, int digits)
{
    static constexpr std::string_view alphabet = "0123456789abcdef";
    for (int digit = digits - 1; digit >= 0; --digit)
    {
        text.push_back(alphabet[(value >> (digit * 4)) & 0xF]);
    }
}

} // namespace

identifier_source::identifier_source() : generator(read_random_seed())
{
}

identifier_source::identifier_source(std::uint64_t seed) : generator(seed)
{
}

std::string identifier_source::next(std::string_view prefix)
{
    std::string identifier(prefix);
    append_hex(identifier, this->generator(), 16);
    append_hex(identifier, this->generator(), 8);
    return identifier;
}

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::array<std::uint8_t, 32> sha256(std::string_view bytes)
{
    // Fetched once, because a look-up by name on each call costs more than the
    // digest of a short text.
    static const EVP_MD* const algorithm =
        EVP_MD_fetch(nullptr, "SHA256", nullptr);
    std::array<std::uint8_t, 32> digest{};
    EVP_Digest(
        bytes.data(), bytes.size(), digest.data(), nullptr, algorithm, nullptr);
    return digest;
}

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(
        bytes.data(),
        bytes.size(),
        digest.data(),
        &length,
        EVP_sha256(),
        nullptr);
    std::string text;
    for (unsigned int index = 0; index < length; ++index)
    {
        append_hex(text, digest.at(index), 2);
    }
    return text;
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
    {
        return false;
    }
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace chicory
