#ifndef CHICORY_POLICY_SERVING_COORDINATOR_CHOICE_HPP
#define CHICORY_POLICY_SERVING_COORDINATOR_CHOICE_HPP

#include "core/core.hpp"
#include "policy/serving/job_ownership.hpp"
#include "policy/serving/runner_group.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicory::serving
{

/// Orders nodes for a key by rendezvous hashing. The same nodes give the same
/// order everywhere.
std::vector<std::string>
order_nodes(const std::string& key, const std::vector<std::string>& nodes);

/// Orders nodes for a group of runners: the first that can be reached
/// coordinates the group's slots. Large VMs go first: a VM's memory and its
/// share of a processor grow together, and only the memory can be read. Among
/// VMs of one size those of the group's zone go first. Answers the load
/// pattern of a burst that one small VM's processor cannot decide on in time.
std::vector<std::string> order_coordinators(
    const runner_group& group, const std::vector<live_node>& nodes);

/// Times by which a coordinator is taken for silent.
struct coordinator_health_settings
{
    /// Wait for an answer; a round trip between zones takes some 12 ms.
    duration response_timeout = std::chrono::milliseconds(90);
    /// Time for which a silent node is not asked again.
    duration avoidance = std::chrono::milliseconds(1000);
};

/// Notes which nodes do not answer, so that requests go on without them.
/// Answers the load patterns of a coordinator that dies or freezes with
/// requests of all nodes under way, and of a fleet that starts anew at once:
/// who asked a node before it was up asks it again as soon as it is.
class coordinator_health
{
public:
    explicit coordinator_health(coordinator_health_settings initial = {});

    /// Takes which nodes there are. What was noted of an earlier process of a
    /// node does not hold for the next.
    void set_nodes(const std::vector<live_node>& live);

    void on_sent(time_point now, const std::string& node);
    void on_response(time_point now, const std::string& node);

    /// Returns whether a node should be asked.
    bool is_responding(time_point now, const std::string& node);

    /// Returns whether a message to a node was not answered yet.
    bool is_awaiting_response(const std::string& node) const;

private:
    struct node_state
    {
        /// First message that was not answered yet.
        std::optional<time_point> unanswered_since;
        time_point avoided_until;
    };

    coordinator_health_settings settings;
    std::map<std::string, node_state> nodes;
    std::map<std::string, std::uint64_t> incarnations;
};

} // namespace chicory::serving

#endif
