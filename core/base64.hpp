#ifndef CHICORY_CORE_BASE64_HPP
#define CHICORY_CORE_BASE64_HPP

#include "core/error.hpp"

#include <string>
#include <string_view>

namespace chicory
{

/// Encodes bytes as base64 with padding.
std::string encode_base64(std::string_view bytes);

/// Decodes base64 text. Error: invalid_input if the text is not valid base64
/// with padding.
result<std::string> decode_base64(std::string_view text);

} // namespace chicory

#endif
