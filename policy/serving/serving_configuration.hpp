#ifndef CHICORY_POLICY_SERVING_SERVING_CONFIGURATION_HPP
#define CHICORY_POLICY_SERVING_SERVING_CONFIGURATION_HPP

#include "core/core.hpp"
#include "policy/serving/organisations.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::serving
{

/// Kind of a route, which determines whether its requests may be repeated.
enum class route_kind
{
    /// A request may run more than once.
    idempotent,
    /// A request may run at most once for each attempt of the caller.
    non_idempotent,
    /// The response is an event stream. A request is repeatable only if the
    /// route is resumable.
    streaming,
    /// The route accepts jobs whose items run later.
    batch,
};

/// A service that receives a share of a route's requests.
struct service_share
{
    std::string service;
    std::int64_t weight = 1;

    bool operator==(const service_share&) const = default;
};

/// A route: requests with its host and path prefix are sent to its services.
struct serving_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    route_kind kind = route_kind::non_idempotent;
    /// At least one.
    std::vector<service_share> services;
    /// Maximum time that a caller may have to wait.
    duration timeout = std::chrono::seconds(30);
    /// Time to the first piece of the response within which the response is on
    /// time.
    duration target_latency = std::chrono::seconds(1);
    /// Rank among routes; zero is the highest.
    std::int64_t priority = 0;
    /// Maximum number of runners on which one attempt of a caller may run.
    std::int64_t max_attempts = 1;
    /// True if a broken stream may be resumed at another runner.
    bool resumable = false;
    /// Batch: time from the submission of a job until all its results are due.
    duration completion_target = std::chrono::hours(24);
    /// Batch: time from the submission of a job after which its items may be
    /// given up.
    duration retention = std::chrono::hours(24);
    /// Batch: maximum number of tokens that may wait on the route; zero for no
    /// limit. Where there are organisations, the limit applies to each of them.
    std::int64_t max_waiting_tokens = 0;
    /// True if requests need no key, also where there are organisations.
    bool is_public = false;

    bool operator==(const serving_route&) const = default;
};

/// Limits for requests of callers, in bytes and as durations.
struct caller_limits
{
    std::int64_t header_bytes = 16384;
    std::int64_t body_bytes = 4194304;
    duration header_time = std::chrono::seconds(3);
    duration idle_time = std::chrono::seconds(15);

    bool operator==(const caller_limits&) const = default;
};

/// One version of the configuration: all routes, the slots of each service's
/// runners, the limits for callers, and the organisations with their keys.
struct serving_configuration
{
    std::int64_t version = 0;
    std::vector<serving_route> routes;
    /// Number of requests that a runner of each service processes concurrently.
    std::map<std::string, std::int64_t> service_slots;
    /// Number of tokens that the memory of a runner of each service holds; zero
    /// if unknown.
    std::map<std::string, std::int64_t> service_tokens;
    caller_limits limits;
    organisation_directory organisations;

    bool operator==(const serving_configuration&) const = default;
};

/// Returns the route of the host with the longest prefix that matches the path,
/// or null if there is none. The path must not contain a query.
const serving_route* find_route(
    const serving_configuration& configuration,
    std::string_view host,
    std::string_view path);

/// Returns the route with this name, or null if there is none.
const serving_route* find_route_by_name(
    const serving_configuration& configuration, std::string_view name);

/// Returns a service of a route, chosen by weight; `draw` is any number.
const std::string&
choose_service(const serving_route& route, std::uint64_t draw);

/// Returns whether work that began to wait for a slot under `before` may go on
/// waiting under `now`, the same route in a newer configuration, or null if the
/// route was removed. `draw` is the number with which the service was chosen.
/// Designed for routes that move, change their shares or time limits, or are
/// removed while work waits: that work would wait for runners that nobody needs
/// any more and that may be gone.
bool may_keep_waiting(
    const serving_route& before, const serving_route* now, std::uint64_t draw);

/// Returns the number of tokens that the memory of a runner of a service holds,
/// or zero if it is unknown.
std::int64_t find_token_capacity(
    const serving_configuration& configuration, const std::string& service);

/// Returns whether a request that may already have run can be sent again.
bool is_repeatable(const serving_route& route);

} // namespace chicory::serving

#endif
