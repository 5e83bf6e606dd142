#include "servers/dispatch/route_access.hpp"

#include "core/core.hpp"

#include <string>

namespace chicory::dispatching
{

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";

} // namespace

bool has_key_of(
    std::string_view authorization, const configuration::route& route)
{
    if (!authorization.starts_with(bearer_prefix))
    {
        return false;
    }
    const std::string digest =
        sha256_hex(authorization.substr(bearer_prefix.size()));
    // Every digest is compared, so that the duration reveals nothing about the
    // key.
    bool found = false;
    for (const std::string& candidate : route.key_digests)
    {
        found = equal_in_constant_time(candidate, digest) || found;
    }
    return found;
}

const configuration::route* find_accessible_route(
    const fleet_cache& fleet,
    std::string_view name,
    std::string_view authorization)
{
    // The key is checked even if the route is unknown, so that the duration
    // does not reveal whether the route exists.
    static const configuration::route unknown;
    const configuration::route* const route = fleet.find_route(name);
    const bool may_use =
        has_key_of(authorization, route == nullptr ? unknown : *route);
    return route != nullptr && may_use ? route : nullptr;
}

} // namespace chicory::dispatching
