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

/// Returns the nodes ordered by rendezvous hashing of a key. Every node
/// computes the same order for the same set of nodes.
std::vector<std::string>
order_nodes(const std::string& key, const std::vector<std::string>& nodes);

/// Returns the nodes in the order in which they are preferred as coordinator of
/// a group of runners; the first reachable node coordinates the group's slots.
/// VMs with more memory come first: the processor share of a VM grows with its
/// memory, and only the memory can be read. Among VMs of the same size, nodes
/// in the availability zone of the group come first. Designed for bursts of
/// requests that the processor of a single small VM cannot schedule in time.
std::vector<std::string> order_coordinators(
    const runner_group& group, const std::vector<live_node>& nodes);

/// Time limits after which a coordinator is regarded as unresponsive.
struct coordinator_health_settings
{
    /// Time to wait for a response. A round trip between zones takes about 12
    /// ms.
    duration response_timeout = std::chrono::milliseconds(90);
    /// Time during which no requests are sent to an unresponsive node.
    duration avoidance = std::chrono::milliseconds(1000);
};

/// Tracks which nodes do not respond, so that requests are sent to other
/// coordinators. Designed for two load patterns: a coordinator that fails or
/// freezes while requests of all nodes are in progress, and a fleet whose nodes
/// all restart at the same time. In the second case a node that was asked
/// before it had started is asked again as soon as it is running.
class coordinator_health
{
public:
    explicit coordinator_health(coordinator_health_settings initial = {});

    /// Sets the live nodes. State that was recorded for an earlier process of a
    /// node is discarded when the node's incarnation changes.
    void set_nodes(const std::vector<live_node>& live);

    /// Records that a message was sent to a node.
    void on_sent(time_point now, const std::string& node);
    /// Records that a message from a node arrived.
    void on_response(time_point now, const std::string& node);

    /// Returns whether requests may be sent to a node. A response that is
    /// overdue marks the node as unresponsive for the avoidance time.
    bool is_responding(time_point now, const std::string& node);

    /// Returns whether a message to a node has not been responded to yet.
    bool is_awaiting_response(const std::string& node) const;

private:
    struct node_state
    {
        /// Time of the first message without a response.
        std::optional<time_point> unanswered_since;
        time_point avoided_until;
    };

    coordinator_health_settings settings;
    std::map<std::string, node_state> nodes;
    std::map<std::string, std::uint64_t> incarnations;
};

} // namespace chicory::serving

#endif
