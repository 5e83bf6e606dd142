#ifndef CHICORY_CORE_REASON_HPP
#define CHICORY_CORE_REASON_HPP

#include "core/enum_table.hpp"

#include <string_view>

namespace chicory
{

/// Reasons for refusing a request or a job, or for retrying an attempt.
enum class reason
{
    // Properties of the request itself.
    invalid_request,
    body_too_large,
    too_many_tokens,
    unauthenticated,
    forbidden,
    unknown_route,
    deadline_passed,
    key_in_use,
    outcome_unknown,
    quarantined,
    caller_gone,

    // Limits and deadlines.
    route_limit,
    member_share,
    queue_time,
    deadline_too_short,
    retry_budget_spent,
    attempts_exhausted,
    out_of_memory_budget,

    // Runners and links.
    no_runner,
    runner_full,
    runner_leaving,
    runner_refused,
    runner_crashed,
    runner_failed,
    runner_unreachable,
    owner_unreachable,
    link_silent,
    stream_broken,
    yielded_to_online,

    // The process and the platform's services.
    draining,
    no_configuration,
    table_service_unavailable,
    object_store_unavailable,
    write_outcome_unknown,
    claim_unavailable,

    // Batch jobs and control.
    job_limit,
    job_cancelled,
    lease_lost,
    revision_conflict,
    stale_fencing_number,
    weight_store_limited,

    // API keys.
    missing_key,
    unknown_key,
    malformed_key,
    credentials_stale,

    // Quotas of organisations.
    over_quota,
};

inline constexpr enum_table<reason, 46> reason_names = {{
    {reason::invalid_request, "invalid_request"},
    {reason::body_too_large, "body_too_large"},
    {reason::too_many_tokens, "too_many_tokens"},
    {reason::unauthenticated, "unauthenticated"},
    {reason::forbidden, "forbidden"},
    {reason::unknown_route, "unknown_route"},
    {reason::deadline_passed, "deadline_passed"},
    {reason::key_in_use, "key_in_use"},
    {reason::outcome_unknown, "outcome_unknown"},
    {reason::quarantined, "quarantined"},
    {reason::caller_gone, "caller_gone"},
    {reason::route_limit, "route_limit"},
    {reason::member_share, "member_share"},
    {reason::queue_time, "queue_time"},
    {reason::deadline_too_short, "deadline_too_short"},
    {reason::retry_budget_spent, "retry_budget_spent"},
    {reason::attempts_exhausted, "attempts_exhausted"},
    {reason::out_of_memory_budget, "out_of_memory_budget"},
    {reason::no_runner, "no_runner"},
    {reason::runner_full, "runner_full"},
    {reason::runner_leaving, "runner_leaving"},
    {reason::runner_refused, "runner_refused"},
    {reason::runner_crashed, "runner_crashed"},
    {reason::runner_failed, "runner_failed"},
    {reason::runner_unreachable, "runner_unreachable"},
    {reason::owner_unreachable, "owner_unreachable"},
    {reason::link_silent, "link_silent"},
    {reason::stream_broken, "stream_broken"},
    {reason::yielded_to_online, "yielded_to_online"},
    {reason::draining, "draining"},
    {reason::no_configuration, "no_configuration"},
    {reason::table_service_unavailable, "table_service_unavailable"},
    {reason::object_store_unavailable, "object_store_unavailable"},
    {reason::write_outcome_unknown, "write_outcome_unknown"},
    {reason::claim_unavailable, "claim_unavailable"},
    {reason::job_limit, "job_limit"},
    {reason::job_cancelled, "job_cancelled"},
    {reason::lease_lost, "lease_lost"},
    {reason::revision_conflict, "revision_conflict"},
    {reason::stale_fencing_number, "stale_fencing_number"},
    {reason::weight_store_limited, "weight_store_limited"},
    {reason::missing_key, "missing_key"},
    {reason::unknown_key, "unknown_key"},
    {reason::malformed_key, "malformed_key"},
    {reason::credentials_stale, "credentials_stale"},
    {reason::over_quota, "over_quota"},
}};

/// Returns the name of a reason, such as "route_limit".
constexpr std::string_view name_of(reason value)
{
    return find_name(reason_names, value);
}

} // namespace chicory

#endif
