#ifndef CHICORY_SERVERS_DISPATCH_ROUTE_ACCESS_HPP
#define CHICORY_SERVERS_DISPATCH_ROUTE_ACCESS_HPP

#include "policy/configuration/configuration.hpp"
#include "servers/dispatch/fleet_cache.hpp"

#include <string_view>

namespace chicory::dispatching
{

/// Returns true when an "authorization" header contains a key of the route. The
/// duration depends only on the number of the route's keys.
bool has_key_of(
    std::string_view authorization, const configuration::route& route);

/// Returns the route with a name if the header contains one of its keys,
/// otherwise null. The result for an unknown route equals that for a route of
/// another member, so that a member learns nothing about other members' routes.
const configuration::route* find_accessible_route(
    const fleet_cache& fleet,
    std::string_view name,
    std::string_view authorization);

} // namespace chicory::dispatching

#endif
