#include "net/http_message.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace chicory::net
{

std::string to_lower(std::string_view text)
{
    std::string lower(text);
    std::transform(
        lower.begin(),
        lower.end(),
        lower.begin(),
        [](unsigned char letter)
        {
            return static_cast<char>(std::tolower(letter));
        });
    return lower;
}

http_response make_text_response(int status, std::string text)
{
    http_response response;
    response.status = status;
    response.headers["content-type"] = "text/plain";
    response.body = std::move(text);
    return response;
}

} // namespace chicory::net
