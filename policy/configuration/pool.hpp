#ifndef CHICORY_POLICY_CONFIGURATION_POOL_HPP
#define CHICORY_POLICY_CONFIGURATION_POOL_HPP

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::configuration
{

/// Kind of the backend servers in a pool.
enum class pool_kind
{
    model_engine,
    plain_service,
};

inline constexpr enum_table<pool_kind, 2> pool_kind_names = {{
    {pool_kind::model_engine, "model_engine"},
    {pool_kind::plain_service, "plain_service"},
}};

/// Part of a request that a model engine executes: the prompt, the generation
/// of tokens, or both.
enum class runner_role
{
    mixed,
    prefill,
    decode,
};

inline constexpr enum_table<runner_role, 3> runner_role_names = {{
    {runner_role::mixed, "mixed"},
    {runner_role::prefill, "prefill"},
    {runner_role::decode, "decode"},
}};

/// One row of the table of pools: a group of backend servers and its
/// requirements.
struct pool
{
    /// Name by which routes refer to the pool.
    std::string name;
    /// Service label that the VM list gives the pool's backend servers.
    std::string service;
    pool_kind kind = pool_kind::model_engine;
    /// Maximum number of concurrent requests on one runner.
    std::int64_t slots_per_runner = 8;
    /// Weight of harm to online requests against batch throughput, from 0 (only
    /// throughput counts) to 100 (no harm is accepted).
    std::int64_t harm_weight = 80;
    /// Requested models, each with the number of runners that should hold it.
    std::map<std::string, std::int64_t> wanted_models;
    /// Requested version of each model. A model that is not listed may have any
    /// version.
    std::map<std::string, std::string> wanted_versions;
    /// Adapters that each runner of a model should hold in addition to the
    /// model.
    std::map<std::string, std::vector<std::string>> wanted_adapters;
    /// Requested roles, each with the number of runners that should have it.
    std::map<runner_role, std::int64_t> wanted_roles;
    /// Whether the engines of the pool refuse orders with an outdated fencing
    /// number.
    bool engines_check_fencing = false;
    /// Version of the row in the table service; zero for a row that does not
    /// exist yet.
    std::int64_t revision = 0;

    bool operator==(const pool&) const = default;
};

} // namespace chicory::configuration

#endif
