#include "policy/serving/access.hpp"

#include <algorithm>

namespace chicory::serving
{

access_decision check_access(
    const serving_configuration& configuration,
    bool is_public,
    const caller_key& key,
    bool keys_are_current)
{
    if (!configuration.organisations.is_active())
    {
        return {};
    }
    const organisation* found =
        key.digest ? configuration.organisations.find_by_key(*key.digest)
                   : nullptr;
    if (is_public)
    {
        return {
            access_outcome::granted,
            found != nullptr && keys_are_current ? found->name : std::string()};
    }
    if (!key.is_present)
    {
        return {access_outcome::missing_key, ""};
    }
    if (!key.digest)
    {
        return {access_outcome::malformed_key, ""};
    }
    // Before the key is called unknown: it may have been added since.
    if (!keys_are_current)
    {
        return {access_outcome::stale, found == nullptr ? "" : found->name};
    }
    if (found != nullptr)
    {
        return {access_outcome::granted, found->name};
    }
    return {
        key.may_be_list ? access_outcome::malformed_key
                        : access_outcome::unknown_key,
        ""};
}

bool may_access_job(
    const serving_configuration& configuration,
    const job_record& job,
    const access_decision& caller)
{
    if (!job.organisation.empty())
    {
        return caller.outcome == access_outcome::granted &&
               caller.organisation == job.organisation;
    }
    if (!configuration.organisations.is_active())
    {
        return true;
    }
    const serving_route* route = find_route_by_name(configuration, job.route);
    return route != nullptr && route->is_public;
}

bool has_public_jobs(const serving_configuration& configuration)
{
    return std::any_of(
        configuration.routes.begin(),
        configuration.routes.end(),
        [](const serving_route& route)
        {
            return route.is_public && route.kind == route_kind::batch;
        });
}

std::int64_t choose_priority(
    const serving_configuration& configuration,
    const serving_route& route,
    const std::string& organisation_name)
{
    const organisation* found =
        organisation_name.empty()
            ? nullptr
            : configuration.organisations.find_by_name(organisation_name);
    return found == nullptr ? route.priority
                            : found->priority.value_or(route.priority);
}

} // namespace chicory::serving
