#include "servers/node/slot_topology.hpp"

#include <utility>

namespace chicory::node
{

slot_topology::slot_topology(
    fleet_state& known, std::string vm_id, std::string zone, hooks wanted)
    : fleet(known), self(std::move(vm_id)), own_zone(std::move(zone)),
      io_hooks(std::move(wanted))
{
}

const serving::runner_grouping&
slot_topology::division(const std::string& service)
{
    const std::uint64_t version = this->fleet.runners().version();
    if (version != this->seen_runners)
    {
        this->divisions.clear();
        this->seen_runners = version;
    }
    if (const auto found = this->divisions.find(service);
        found != this->divisions.end())
    {
        return found->second;
    }
    return this->divisions
        .try_emplace(
            service, service, this->fleet.runners().count_by_zone(service))
        .first->second;
}

serving::runner_group slot_topology::home_of(const std::string& service)
{
    return this->division(service).home_group(this->self, this->own_zone);
}

const std::vector<std::string>&
slot_topology::coordinators(const serving::runner_group& group)
{
    const std::uint64_t version = this->io_hooks.nodes_version();
    if (version != this->seen_nodes || this->nodes.empty())
    {
        this->nodes = this->io_hooks.live_nodes();
        this->orders.clear();
        this->seen_nodes = version;
    }
    const auto [entry, added] = this->orders.try_emplace(group);
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
    return this->seen_nodes;
}

std::vector<serving::slot_runner> slot_topology::usable_runners(
    time_point now, const serving::runner_group& group)
{
    const serving::runner_grouping& groups = this->division(group.service);
    std::vector<serving::slot_runner> runners;
    for (const serving::runner_entry* entry :
         this->fleet.runners().usable(now, group.service))
    {
        if (groups.holds(group, entry->id, entry->zone))
        {
            runners.push_back({entry->id, entry->zone, entry->slots});
        }
    }
    return runners;
}

} // namespace chicory::node
