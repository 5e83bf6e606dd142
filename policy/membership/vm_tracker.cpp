#include "policy/membership/vm_tracker.hpp"

#include <algorithm>
#include <set>

namespace chicory::membership
{

namespace
{

/// A read that lacks more than one in this many of the VMs is not believed.
constexpr std::size_t doubtful_share = 2;

/// A list this short may shrink by any number.
constexpr std::size_t short_list = 3;

/// Returns what the list says of a VM. An entry VM's incarnation is that of
/// its control process, so the list's word is put on the one that is known.
member_update make_listed_rumor(const vm& listed, const member_table& known)
{
    member_status said{listed.incarnation, 0, listed.state};
    if (listed.role == vm_role::entry)
    {
        const member_record* record = known.find(listed.id);
        said = record == nullptr ? member_status() : record->status;
        said.state = std::max(said.state, listed.state);
    }
    return {listed.id, said, listed};
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
    for (const auto& [id, state] : this->last)
    {
        missing += present.contains(id) ? 0 : 1;
    }
    changes.doubtful = this->last.size() > short_list &&
                       missing * doubtful_share > this->last.size();
    for (auto entry = this->last.begin(); entry != this->last.end();)
    {
        listed_state& state = entry->second;
        if (present.contains(entry->first) || changes.doubtful)
        {
            state.missed = state.missed && changes.doubtful;
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
        // Entry VMs answer for themselves; one that is gone is found dead.
        if (state.listed.role == vm_role::runner)
        {
            member_update gone = make_listed_rumor(state.listed, known);
            gone.status.state = vm_state::dead;
            changes.updates.push_back(std::move(gone));
        }
        entry = this->last.erase(entry);
    }
    for (const vm& entry : listed)
    {
        changes.updates.push_back(make_listed_rumor(entry, known));
        this->last[entry.id] = {entry, false};
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
    member_status said;
    said.incarnation = std::max(incarnation, record->status.incarnation);
    said.state = leaving ? vm_state::leaving : vm_state::alive;
    if (said <= record->status)
    {
        return {};
    }
    return {{id, said, record->details}};
}

} // namespace chicory::membership
