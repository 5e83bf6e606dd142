#ifndef CHICORY_POLICY_SERVING_SERVING_CONFIGURATION_HPP
#define CHICORY_POLICY_SERVING_SERVING_CONFIGURATION_HPP

#include "core/core.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::serving
{

/// What may be repeated on a route.
enum class route_kind
{
    /// May run more than once.
    idempotent,
    /// May run at most once for each attempt of the caller.
    non_idempotent,
    /// Answers with events; repeatable only where it may be resumed.
    streaming,
    /// Takes jobs whose items run later.
    batch,
};

/// A service that takes a share of a route's requests.
struct service_share
{
    std::string service;
    std::int64_t weight = 1;

    bool operator==(const service_share&) const = default;
};

/// One route: where requests with its host and path prefix go.
struct serving_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    route_kind kind = route_kind::non_idempotent;
    /// At least one.
    std::vector<service_share> services;
    /// Longest time that a caller may be kept waiting.
    duration timeout = std::chrono::seconds(30);
    /// Time to the first piece of the answer for it to be on time.
    duration target_latency = std::chrono::seconds(1);
    /// Rank among routes, zero the highest.
    std::int64_t priority = 0;
    /// Runners that one attempt of a caller may run on.
    std::int64_t max_attempts = 1;
    /// True where a broken stream may go on at another runner.
    bool resumable = false;
    /// Batch: time from the submission until all results are due.
    duration completion_target = std::chrono::hours(24);
    /// Batch: time from the submission after which items may be given up.
    duration retention = std::chrono::hours(24);
    /// Batch: tokens that may wait on the route; zero for no limit.
    std::int64_t max_waiting_tokens = 0;

    bool operator==(const serving_route&) const = default;
};

/// What a caller may send.
struct caller_limits
{
    std::int64_t header_bytes = 16384;
    std::int64_t body_bytes = 4194304;
    duration header_time = std::chrono::seconds(3);
    duration idle_time = std::chrono::seconds(15);

    bool operator==(const caller_limits&) const = default;
};

/// All routes, the slots of each service's runners, and the callers' limits,
/// as of one version.
struct serving_configuration
{
    std::int64_t version = 0;
    std::vector<serving_route> routes;
    /// Requests that a runner of the service works on at once.
    std::map<std::string, std::int64_t> service_slots;
    caller_limits limits;

    bool operator==(const serving_configuration&) const = default;
};

/// Returns the route with the longest prefix that begins the path among those
/// of the host, or null. The path carries no query.
const serving_route* find_route(
    const serving_configuration& configuration,
    std::string_view host,
    std::string_view path);

/// Returns the route with this name, or null.
const serving_route* find_route_by_name(
    const serving_configuration& configuration, std::string_view name);

/// Chooses a service of a route by weight; `draw` is any number.
const std::string&
choose_service(const serving_route& route, std::uint64_t draw);

/// Returns whether what an attempt may have run may be sent again.
bool is_repeatable(const serving_route& route);

} // namespace chicory::serving

#endif
