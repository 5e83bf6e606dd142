#include "policy/membership/partition_detector.hpp"

#include <algorithm>
#include <cstddef>

namespace chicory::membership
{

partition_detector::partition_detector(
    const gossip_settings& initial_settings, member_table& table)
    : settings(initial_settings), members(table)
{
}

member_status
partition_detector::downgrade_sudden_death(const member_update& update) const
{
    member_status status = update.status;
    const member_record* record = this->members.find(update.id);
    const bool is_sudden_death = record != nullptr &&
                                 record->details.role == vm_role::entry &&
                                 record->status.state == vm_state::alive &&
                                 status.state == vm_state::dead;
    if (is_sudden_death)
    {
        status.state = vm_state::suspect;
    }
    return status;
}

void partition_detector::evaluate(time_point now)
{
    const bool isolated =
        2 * this->members.live_entries() < this->members.known_entries();
    if (isolated && !this->members.is_withholding_failures())
    {
        this->isolated_since = now;
    }
    this->members.set_withholding_failures(isolated);
}

contact_effect
partition_detector::on_contact(const std::string& sender, time_point now)
{
    const member_record* record = this->members.find(sender);
    const bool has_failure_state =
        record != nullptr && (record->status.state == vm_state::suspect ||
                              record->status.state == vm_state::dead);
    if (!this->members.is_withholding_failures() || !has_failure_state)
    {
        return contact_effect::none;
    }
    // Failures were withheld from other members, so the state can be reset
    // without a refutation.
    if (record->status.state == vm_state::dead)
    {
        this->returned[sender] = now;
    }
    this->members.mark_alive(sender, now);
    const bool healed = this->is_partition_healed(now);
    if (healed)
    {
        this->returned.clear();
        this->members.mark_alive_since(
            this->isolated_since - this->settings.partition_onset_window, now);
    }
    this->evaluate(now);
    return healed ? contact_effect::partition_healed
                  : contact_effect::sender_alive;
}

bool partition_detector::is_partition_healed(time_point now)
{
    std::erase_if(
        this->returned,
        [&](const auto& entry)
        {
            return now - entry.second > this->settings.return_window;
        });
    const std::size_t dead =
        this->members.known_entries() - this->members.live_entries();
    const std::size_t required = std::min(
        this->settings.min_returned_members, dead + this->returned.size());
    return this->returned.size() >= required && !this->returned.empty();
}

} // namespace chicory::membership
