#include "core/base64.hpp"

#include <openssl/evp.h>

#include <cstddef>

namespace chicory
{

namespace
{

/// Size of an encoding group: three bytes become four characters.
constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_characters = 4;

std::size_t count_padding(std::string_view text)
{
    if (text.ends_with("=="))
    {
        return 2;
    }
    return text.ends_with("=") ? 1 : 0;
}

} // namespace

std::string encode_base64(std::string_view bytes)
{
    const std::size_t groups = (bytes.size() + group_bytes - 1) / group_bytes;
    // EVP_EncodeBlock writes a terminating null after the encoded text.
    std::string text(groups * group_characters + 1, '\0');
    const int length = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()),
        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

result<std::string> decode_base64(std::string_view text)
{
    const std::size_t padding = count_padding(text);
    std::string bytes(text.size() / group_characters * group_bytes, '\0');
    const int length =
        text.size() % group_characters != 0
            ? -1
            : EVP_DecodeBlock(
                  reinterpret_cast<unsigned char*>(bytes.data()),
                  reinterpret_cast<const unsigned char*>(text.data()),
                  static_cast<int>(text.size()));
    if (length < 0 || bytes.size() < padding)
    {
        return make_error(
            error_kind::invalid_input,
            "base64: expected padded base64 in groups of four characters, "
            "found invalid text of " +
                std::to_string(text.size()) + " characters");
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace chicory
