#ifndef CHICORY_NET_ENDPOINT_HPP
#define CHICORY_NET_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace chicory::net
{

/// An IP address in text form and a port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;

    bool operator<(const endpoint& other) const
    {
        return std::tie(this->address, this->port) <
               std::tie(other.address, other.port);
    }
};

/// Splits ADDRESS:PORT. Returns nothing for a text without an address, or
/// without a port from 1 to 65535. The address is not validated.
std::optional<endpoint> split_endpoint(std::string_view text);

/// Returns whether a text is the IPv4 address of a single host, so that a
/// connection to it can be tried: no name, no address of another kind, neither
/// 0.0.0.0 nor a multicast or broadcast address.
bool is_ipv4_host(std::string_view address);

} // namespace chicory::net

#endif
