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

/// Which groups the runners of each service form and which nodes may
/// coordinate each group, as this node sees the fleet. Answers are kept until
/// the runners or the members change.
class slot_topology
{
public:
    struct hooks
    {
        /// Returns the nodes that may coordinate.
        std::function<std::vector<serving::live_node>()> live_nodes;
        /// Returns a number that grows with each change of those nodes.
        std::function<std::uint64_t()> nodes_version;
    };

    slot_topology(
        fleet_state& known, std::string vm_id, std::string zone, hooks wanted);

    const serving::runner_grouping& division(const std::string& service);

    /// Returns the group that this node asks first.
    serving::runner_group home_of(const std::string& service);

    /// Returns the nodes that may coordinate a group, the first to be asked
    /// first.
    const std::vector<std::string>&
    coordinators(const serving::runner_group& group);

    /// Returns the nodes that may coordinate, as of the last question after
    /// coordinators, and the version of that list.
    const std::vector<serving::live_node>& live_nodes() const;
    std::uint64_t nodes_version() const;

    /// Returns the usable runners of a group.
    std::vector<serving::slot_runner>
    usable_runners(time_point now, const serving::runner_group& group);

private:
    fleet_state& fleet;
    std::string self;
    std::string own_zone;
    hooks io_hooks;
    std::map<std::string, serving::runner_grouping> divisions;
    std::uint64_t seen_runners = 0;
    std::vector<serving::live_node> nodes;
    std::map<serving::runner_group, std::vector<std::string>> orders;
    std::uint64_t seen_nodes = 0;
};

} // namespace chicory::node

#endif
