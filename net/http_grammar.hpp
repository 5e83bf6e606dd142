#ifndef CHICORY_NET_HTTP_GRAMMAR_HPP
#define CHICORY_NET_HTTP_GRAMMAR_HPP

#include <string_view>

namespace chicory::net
{

/// Returns whether a text is a token, as the name of a header must be (RFC
/// 9110, section 5.6.2).
bool is_token(std::string_view text);

/// Returns whether a text is valid as the value of a header: no control
/// characters but tabs (RFC 9110, section 5.5).
bool is_field_value(std::string_view text);

/// Returns whether a text is valid as the target of a request in origin form:
/// it begins with a slash and has visible ASCII characters only (RFC 9112,
/// section 3.2.1). Which of them a URI encodes is left to the server.
bool is_origin_form(std::string_view text);

} // namespace chicory::net

#endif
