#include "net/endpoint.hpp"

#include <charconv>

namespace chicory::net
{

std::optional<endpoint> split_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
    {
        return std::nullopt;
    }
    endpoint parsed;
    const char* const end = text.data() + text.size();
    const auto [rest, code] =
        std::from_chars(text.data() + colon + 1, end, parsed.port);
    if (code != std::errc() || rest != end || parsed.port == 0)
    {
        return std::nullopt;
    }
    parsed.address = text.substr(0, colon);
    return parsed;
}

} // namespace chicory::net
