#include "net/endpoint.hpp"

#include <boost/asio/ip/address_v4.hpp>

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

bool is_ipv4_host(std::string_view address)
{
    boost::system::error_code code;
    const boost::asio::ip::address_v4 parsed =
        boost::asio::ip::make_address_v4(address, code);
    return !code && !parsed.is_unspecified() && !parsed.is_multicast() &&
           parsed != boost::asio::ip::address_v4::broadcast();
}

} // namespace chicory::net
