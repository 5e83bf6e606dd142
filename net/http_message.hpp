#ifndef CHICORY_NET_HTTP_MESSAGE_HPP
#define CHICORY_NET_HTTP_MESSAGE_HPP

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace chicory::net
{

/// Header fields by name; names are in lower case.
using http_headers = std::map<std::string, std::string>;

/// An HTTP request whose body is in memory.
struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    http_headers headers;
    std::string body;
    /// Body that is shared with the sender and sent in place of `body`; null
    /// for none. A body that may be sent again is not copied for each attempt.
    std::shared_ptr<const std::string> shared_body = nullptr;
};

/// An HTTP response whose body is in memory.
struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;
};

/// Returns the text in lower case, as used for header names.
std::string to_lower(std::string_view text);

/// Makes a response with a plain text body.
http_response make_text_response(int status, std::string text);

} // namespace chicory::net

#endif
