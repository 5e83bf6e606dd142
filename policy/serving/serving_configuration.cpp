#include "policy/serving/serving_configuration.hpp"

namespace chicory::serving
{

const serving_route* find_route(
    const serving_configuration& configuration,
    std::string_view host,
    std::string_view path)
{
    const serving_route* found = nullptr;
    for (const serving_route& route : configuration.routes)
    {
        const bool matches =
            route.host == host && path.starts_with(route.prefix);
        if (matches &&
            (found == nullptr || route.prefix.size() > found->prefix.size()))
        {
            found = &route;
        }
    }
    return found;
}

const serving_route* find_route_by_name(
    const serving_configuration& configuration, std::string_view name)
{
    for (const serving_route& route : configuration.routes)
    {
        if (route.name == name)
        {
            return &route;
        }
    }
    return nullptr;
}

const std::string&
choose_service(const serving_route& route, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (const service_share& share : route.services)
    {
        total += static_cast<std::uint64_t>(share.weight);
    }
    std::uint64_t rest = total == 0 ? 0 : draw % total;
    for (const service_share& share : route.services)
    {
        const std::uint64_t weight = static_cast<std::uint64_t>(share.weight);
        if (rest < weight)
        {
            return share.service;
        }
        rest -= weight;
    }
    return route.services.front().service;
}

bool may_keep_waiting(
    const serving_route& before, const serving_route* now, std::uint64_t draw)
{
    return now != nullptr && now->host == before.host &&
           now->kind == before.kind && now->resumable == before.resumable &&
           now->timeout == before.timeout &&
           now->target_latency == before.target_latency &&
           now->completion_target == before.completion_target &&
           now->retention == before.retention &&
           choose_service(*now, draw) == choose_service(before, draw);
}

bool is_repeatable(const serving_route& route)
{
    return route.kind == route_kind::idempotent ||
           (route.kind == route_kind::streaming && route.resumable);
}

std::int64_t find_token_capacity(
    const serving_configuration& configuration, const std::string& service)
{
    const auto found = configuration.service_tokens.find(service);
    return found == configuration.service_tokens.end() ? 0 : found->second;
}

} // namespace chicory::serving
