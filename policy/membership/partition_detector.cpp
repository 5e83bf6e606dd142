#include "policy/membership/partition_detector.hpp"

#include <algorithm>
#include <cstddef>

namespace chicory::membership
{

partition_detector::partition_detector(
    const gossip_settings& initial, member_table& table)
    : settings(initial), members(table)
{
}

member_status partition_detector::soften(const member_update& heard) const
{
    member_status softened = heard.status;
    const member_record* record = this->members.find(heard.id);
    const bool sudden = record != nullptr &&
                        record->details.role == vm_role::entry &&
                        record->status.state == vm_state::alive &&
                        softened.state == vm_state::dead;
    if (sudden)
    {
        softened.state = vm_state::suspect;
    }
    return softened;
}

void partition_detector::judge(time_point now)
{
    const bool isolated =
        2 * this->members.live_entries() < this->members.known_entries();
    if (isolated && !this->members.is_quiet())
    {
        this->isolated_since = now;
    }
    this->members.set_quiet(isolated);
}

return_effect
partition_detector::notice_return(const std::string& sender, time_point now)
{
    const member_record* record = this->members.find(sender);
    const bool doubted =
        record != nullptr && (record->status.state == vm_state::suspect ||
                              record->status.state == vm_state::dead);
    if (!this->members.is_quiet() || !doubted)
    {
        return return_effect::none;
    }
    // While quiet, doubt was told to nobody, so that it can be taken back.
    if (record->status.state == vm_state::dead)
    {
        this->returned[sender] = now;
    }
    this->members.revive(sender, now);
    const bool over = this->is_cut_over(now);
    if (over)
    {
        this->returned.clear();
        this->members.revive_since(
            this->isolated_since - this->settings.cut_wave, now);
    }
    this->judge(now);
    return over ? return_effect::cut_over : return_effect::sender_alive;
}

bool partition_detector::is_cut_over(time_point now)
{
    std::erase_if(
        this->returned,
        [&](const auto& entry)
        {
            return now - entry.second > this->settings.return_wave;
        });
    const std::size_t dead =
        this->members.known_entries() - this->members.live_entries();
    const std::size_t enough =
        std::min(this->settings.return_count, dead + this->returned.size());
    return this->returned.size() >= enough && !this->returned.empty();
}

} // namespace chicory::membership
