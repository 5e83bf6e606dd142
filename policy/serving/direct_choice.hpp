#ifndef CHICORY_POLICY_SERVING_DIRECT_CHOICE_HPP
#define CHICORY_POLICY_SERVING_DIRECT_CHOICE_HPP

#include "policy/serving/placement_cost.hpp"
#include "policy/serving/runner_speed.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicory::serving
{

/// Settings of the choice of a runner without a coordinator.
struct direct_choice_settings
{
    runner_speed_settings speed;
    placement_cost_settings cost;
    /// Maximum number of runners whose load is remembered.
    std::size_t max_runners = 4096;
};

/// A runner that a node may choose.
struct direct_candidate
{
    std::string id;
    std::int64_t slots = 1;
    /// Number of requests that this node has there.
    std::int64_t own_runs = 0;
    bool is_in_zone = true;
};

/// Chooses a runner for a node that reaches no coordinator. Designed for many
/// nodes that choose at the same moment with old information: two candidates
/// are drawn at random for each request and the better one of them is chosen,
/// so that nodes with the same information do not all choose the same runner.
/// What a node heard of a runner's load loses weight as it ages and is replaced
/// by the mean of the runners, and the node's own requests are added.
class direct_choice
{
public:
    explicit direct_choice(direct_choice_settings initial = {});

    /// Records a load that a runner stated. `own_runs` is the number of
    /// requests of this node there.
    void on_load(
        time_point stated_at,
        const std::string& runner,
        const runner_load& load,
        std::int64_t own_runs);

    /// Returns whether a time figure of one of these runners is known.
    bool is_measured(const std::vector<direct_candidate>& candidates) const;

    /// Returns a runner, or nothing without candidates. `draw` is a random
    /// number.
    std::optional<std::string> choose(
        time_point now,
        const std::vector<direct_candidate>& candidates,
        std::uint64_t draw) const;

private:
    direct_choice_settings settings;
    std::map<std::string, runner_speed> runners;
};

} // namespace chicory::serving

#endif
