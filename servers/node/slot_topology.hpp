#ifndef CHICORY_SERVERS_NODE_SLOT_TOPOLOGY_HPP
#define CHICORY_SERVERS_NODE_SLOT_TOPOLOGY_HPP

#include "policy/serving/serving.hpp"
#include "servers/node/fleet_state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chicory::node
{

/// Groups of the runners of each service and the nodes that may coordinate
/// each group, computed from this node's view of the fleet. Results are cached
/// until the runners or the live nodes change.
class slot_topology
{
public:
    struct hooks
    {
        /// Returns the nodes that may coordinate.
        std::function<std::vector<serving::live_node>()> live_nodes;
        /// Returns a version that increases with each change of these nodes.
        std::function<std::uint64_t()> nodes_version;
    };

    slot_topology(
        fleet_state& initial_fleet,
        std::string vm_id,
        std::string zone,
        hooks initial_hooks);

    /// Returns the groups of a service's runners. The reference is valid until
    /// the next call after a change of the runners.
    const serving::runner_grouping& grouping(const std::string& service);

    /// Returns the group to which this node sends its slot requests first.
    serving::runner_group home_group(const std::string& service);

    /// Returns the nodes that may coordinate a group, in order of preference.
    const std::vector<std::string>&
    coordinators(const serving::runner_group& group);

    /// Returns the nodes that may coordinate, as of the last call of
    /// coordinators(), and the version of that list.
    const std::vector<serving::live_node>& live_nodes() const;
    std::uint64_t nodes_version() const;

    /// Returns the runners of a group that are usable now.
    std::vector<serving::slot_runner>
    usable_runners(time_point now, const serving::runner_group& group);

private:
    fleet_state& fleet;
    std::string self;
    std::string own_zone;
    hooks io_hooks;
    std::map<std::string, serving::runner_grouping> groupings;
    std::uint64_t seen_runners_version = 0;
    std::vector<serving::live_node> nodes;
    std::map<serving::runner_group, std::vector<std::string>>
        coordinator_orders;
    std::uint64_t seen_nodes_version = 0;
};

} // namespace chicory::node

#endif
