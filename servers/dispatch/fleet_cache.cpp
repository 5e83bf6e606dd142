#include "servers/dispatch/fleet_cache.hpp"

#include <algorithm>
#include <utility>

namespace chicory::dispatching
{

namespace
{

/// Time for which a leaving mark is valid after the last notice.
constexpr std::chrono::seconds leaving_mark_lifetime(60);

template <class Table>
const typename Table::mapped_type*
find_row(const Table& table, std::string_view name)
{
    const auto found = table.find(std::string(name));
    return found == table.end() ? nullptr : &found->second;
}

} // namespace

void fleet_cache::update_view(membership::fleet_view update)
{
    this->view = std::move(update);
    this->remove_marks_of_returned_vms();
    this->apply_leaving();
    if (this->on_change)
    {
        this->on_change();
    }
}

bool fleet_cache::mark_leaving(
    const std::string& vm_id, std::uint64_t incarnation)
{
    const time_point now = read_monotonic_clock();
    leaving_mark& mark = this->leaving[vm_id];
    const bool is_already_marked =
        mark.until > now && mark.incarnation >= incarnation;
    mark.incarnation = std::max(mark.incarnation, incarnation);
    mark.until = now + leaving_mark_lifetime;
    if (is_already_marked)
    {
        return false;
    }
    const membership::vm* listed = this->find_vm(vm_id);
    mark.confirmed =
        listed != nullptr && listed->state == membership::vm_state::leaving;
    this->apply_leaving();
    if (this->on_change)
    {
        this->on_change();
    }
    return true;
}

void fleet_cache::remove_marks_of_returned_vms()
{
    // Only marks of entry VMs end here. A runner that has returned shows a new
    // incarnation; a runner with the same incarnation remains leaving.
    for (const membership::vm& listed : this->view.vms)
    {
        const auto marked = this->leaving.find(listed.id);
        if (listed.role != membership::vm_role::entry ||
            marked == this->leaving.end())
        {
            continue;
        }
        if (listed.state == membership::vm_state::leaving)
        {
            marked->second.confirmed = true;
        }
        else if (
            marked->second.confirmed &&
            listed.state == membership::vm_state::alive)
        {
            this->leaving.erase(marked);
        }
    }
}

void fleet_cache::apply_leaving()
{
    const time_point now = read_monotonic_clock();
    std::erase_if(
        this->leaving,
        [now](const auto& entry)
        {
            return entry.second.until <= now;
        });
    for (membership::vm& candidate : this->view.vms)
    {
        const auto marked = this->leaving.find(candidate.id);
        if (marked != this->leaving.end() &&
            candidate.incarnation <= marked->second.incarnation &&
            candidate.state == membership::vm_state::alive)
        {
            candidate.state = membership::vm_state::leaving;
        }
    }
}

void fleet_cache::update_tables(configuration::table_set update)
{
    if (update.revision <= this->tables.revision)
    {
        return;
    }
    this->tables = std::move(update);
    if (this->on_change)
    {
        this->on_change();
    }
}

const membership::fleet_view& fleet_cache::get_view() const
{
    return this->view;
}

const configuration::table_set& fleet_cache::get_tables() const
{
    return this->tables;
}

bool fleet_cache::is_configured() const
{
    return this->tables.revision > 0;
}

const configuration::route* fleet_cache::find_route(std::string_view name) const
{
    return find_row(this->tables.routes, name);
}

const configuration::pool* fleet_cache::find_pool(std::string_view name) const
{
    return find_row(this->tables.pools, name);
}

const membership::vm* fleet_cache::find_vm(std::string_view id) const
{
    for (const membership::vm& candidate : this->view.vms)
    {
        if (candidate.id == id)
        {
            return &candidate;
        }
    }
    return nullptr;
}

std::vector<const membership::vm*>
fleet_cache::list_runners(const configuration::pool& pool) const
{
    std::vector<const membership::vm*> runners;
    for (const membership::vm& candidate : this->view.vms)
    {
        if (candidate.role == membership::vm_role::runner &&
            candidate.state == membership::vm_state::alive &&
            candidate.service == pool.service)
        {
            runners.push_back(&candidate);
        }
    }
    return runners;
}

std::vector<const membership::vm*> fleet_cache::list_entry_vms() const
{
    std::vector<const membership::vm*> entries;
    for (const membership::vm& candidate : this->view.vms)
    {
        if (candidate.role == membership::vm_role::entry &&
            candidate.state == membership::vm_state::alive)
        {
            entries.push_back(&candidate);
        }
    }
    return entries;
}

void fleet_cache::set_change_hook(std::function<void()> hook)
{
    this->on_change = std::move(hook);
}

} // namespace chicory::dispatching
