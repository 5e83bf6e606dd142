#ifndef CHICORY_CORE_BASE64_HPP
#define CHICORY_CORE_BASE64_HPP

#include "core/error.hpp"

#include <string>
#include <string_view>

namespace chicory
{

/// Returns the bytes in base64 with padding.
std::string encode_base64(std::string_view bytes);

/// Returns the bytes that a base64 text stands for. Error: invalid_input for
/// a text that is not base64 with padding.
result<std::string> decode_base64(std::string_view text);

} // namespace chicory

#endif
