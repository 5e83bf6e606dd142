#ifndef CHICORY_POLICY_CONFIGURATION_ROUTE_HPP
#define CHICORY_POLICY_CONFIGURATION_ROUTE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace chicory::configuration
{

/// One row of the table of routes: the pool and the limits for requests of one
/// member.
struct route
{
    /// Name that callers use to address the route, unique across all members.
    std::string name;
    /// Member (an organisation) whose requests the route serves.
    std::string member;
    /// Pool that serves the route.
    std::string pool;
    /// SHA-256 digests, in hexadecimal, of the API keys that may use the route.
    std::vector<std::string> key_digests;
    /// Maximum number of requests of the route in progress on one gate.
    std::int64_t max_in_progress = 1000;
    /// Deadline, in milliseconds, of requests that specify none.
    std::int64_t default_deadline_ms = 30000;
    /// Maximum number of retries, in percent of first attempts.
    std::int64_t retry_budget_percent = 10;
    /// Version of the row in the table service; zero for a row that does not
    /// exist yet.
    std::int64_t revision = 0;

    bool operator==(const route&) const = default;
};

} // namespace chicory::configuration

#endif
