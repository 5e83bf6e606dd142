#include "policy/membership/vm_tracker.hpp"

#include <algorithm>
#include <set>

namespace chicory::membership
{

namespace
{

/// If more than the number of VMs divided by this value are missing from a read
/// of the list, none of them is treated as removed.
constexpr std::size_t implausible_missing_divisor = 2;

/// A list with at most this many VMs may lose any number of them.
constexpr std::size_t short_list_size = 3;

/// Returns the update that a list entry stands for. The incarnation of an entry
/// VM is that of its control process, so the listed state is applied to the
/// incarnation already known.
member_update make_listed_update(const vm& listed, const member_table& known)
{
    member_status status{listed.incarnation, 0, listed.state};
    if (listed.role == vm_role::entry)
    {
        const member_record* record = known.find(listed.id);
        status = record == nullptr ? member_status() : record->status;
        status.state = std::max(status.state, listed.state);
    }
    return {listed.id, status, listed};
}

} // namespace

list_changes
vm_tracker::on_list(const std::vector<vm>& listed, const member_table& known)
{
    list_changes changes;
    std::set<std::string> present;
    for (const vm& entry : listed)
    {
        present.insert(entry.id);
    }
    std::size_t missing = 0;
    for (const auto& [id, state] : this->last_listed)
    {
        missing += present.contains(id) ? 0 : 1;
    }
    changes.implausible =
        this->last_listed.size() > short_list_size &&
        missing * implausible_missing_divisor > this->last_listed.size();
    for (auto entry = this->last_listed.begin();
         entry != this->last_listed.end();)
    {
        listed_state& state = entry->second;
        if (present.contains(entry->first) || changes.implausible)
        {
            state.missed = state.missed && changes.implausible;
            ++entry;
            continue;
        }
        if (!state.missed)
        {
            state.missed = true;
            changes.read_again = true;
            ++entry;
            continue;
        }
        // The membership protocol detects the failure of entry VMs.
        if (state.listed.role == vm_role::runner)
        {
            member_update removal = make_listed_update(state.listed, known);
            removal.status.state = vm_state::dead;
            changes.updates.push_back(std::move(removal));
        }
        entry = this->last_listed.erase(entry);
    }
    for (const vm& entry : listed)
    {
        changes.updates.push_back(make_listed_update(entry, known));
        this->last_listed[entry.id] = {entry, false};
    }
    return changes;
}

std::vector<member_update> vm_tracker::on_leaving(
    const std::string& id, std::uint64_t incarnation, const member_table& known)
{
    return on_report(id, incarnation, true, known);
}

std::vector<member_update> vm_tracker::on_report(
    const std::string& id,
    std::uint64_t incarnation,
    bool leaving,
    const member_table& known)
{
    const member_record* record = known.find(id);
    if (record == nullptr)
    {
        return {};
    }
    member_status status;
    status.incarnation = std::max(incarnation, record->status.incarnation);
    status.state = leaving ? vm_state::leaving : vm_state::alive;
    if (status <= record->status)
    {
        return {};
    }
    return {{id, status, record->details}};
}

} // namespace chicory::membership
