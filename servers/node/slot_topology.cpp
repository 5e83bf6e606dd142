#include "servers/node/slot_topology.hpp"

#include <utility>

namespace chicory::node
{

slot_topology::slot_topology(
    fleet_state& initial_fleet,
    std::string vm_id,
    std::string zone,
    hooks initial_hooks)
    : fleet(initial_fleet), self(std::move(vm_id)), own_zone(std::move(zone)),
      io_hooks(std::move(initial_hooks))
{
}

const serving::runner_grouping&
slot_topology::grouping(const std::string& service)
{
    const std::uint64_t version = this->fleet.runners().version();
    if (version != this->seen_runners_version)
    {
        this->groupings.clear();
        this->seen_runners_version = version;
    }
    if (const auto found = this->groupings.find(service);
        found != this->groupings.end())
    {
        return found->second;
    }
    return this->groupings
        .try_emplace(
            service, service, this->fleet.runners().count_by_zone(service))
        .first->second;
}

serving::runner_group slot_topology::home_group(const std::string& service)
{
    return this->grouping(service).home_group(this->self, this->own_zone);
}

const std::vector<std::string>&
slot_topology::coordinators(const serving::runner_group& group)
{
    const std::uint64_t version = this->io_hooks.nodes_version();
    if (version != this->seen_nodes_version || this->nodes.empty())
    {
        this->nodes = this->io_hooks.live_nodes();
        this->coordinator_orders.clear();
        this->seen_nodes_version = version;
    }
    const auto [entry, added] = this->coordinator_orders.try_emplace(group);
    if (added)
    {
        entry->second = serving::order_coordinators(group, this->nodes);
    }
    return entry->second;
}

const std::vector<serving::live_node>& slot_topology::live_nodes() const
{
    return this->nodes;
}

std::uint64_t slot_topology::nodes_version() const
{
    return this->seen_nodes_version;
}

std::vector<serving::slot_runner> slot_topology::usable_runners(
    time_point now, const serving::runner_group& group)
{
    const serving::runner_grouping& groups = this->grouping(group.service);
    const auto configuration = this->fleet.configuration();
    const std::int64_t tokens =
        configuration == nullptr
            ? 0
            : serving::find_token_capacity(*configuration, group.service);
    std::vector<serving::slot_runner> runners;
    for (const serving::runner_entry* entry :
         this->fleet.runners().usable(now, group.service))
    {
        if (groups.holds(group, entry->id, entry->zone))
        {
            runners.push_back({entry->id, entry->zone, entry->slots, tokens});
        }
    }
    return runners;
}

} // namespace chicory::node
