#include "policy/serving/group_overflow.hpp"

#include <algorithm>

namespace chicory::serving
{

group_overflow::group_overflow(group_overflow_settings initial)
    : settings(initial)
{
}

void group_overflow::on_group_status(time_point now, const group_status& status)
{
    const auto known = this->peer_groups.find(status.group);
    if (known != this->peer_groups.end() &&
        known->second.nodes > status.nodes &&
        now - known->second.received_at <= this->settings.lifetime)
    {
        return;
    }
    this->peer_groups[status.group] = {
        status.nodes, status.online_capacity, status.batch_capacity, now};
}

std::int64_t
group_overflow::capacity_of(const peer_group& entry, work_kind kind)
{
    return std::max<std::int64_t>(
        0,
        kind == work_kind::online ? entry.online_capacity
                                  : entry.batch_capacity);
}

bool group_overflow::has_capacity(time_point now, work_kind kind) const
{
    return std::any_of(
        this->peer_groups.begin(),
        this->peer_groups.end(),
        [&](const auto& item)
        {
            return now - item.second.received_at <= this->settings.lifetime &&
                   capacity_of(item.second, kind) > 0;
        });
}

std::optional<runner_group> group_overflow::reserve_capacity(
    time_point now, work_kind kind, const slot_id& id)
{
    std::erase_if(
        this->peer_groups,
        [this, now](const auto& item)
        {
            return now - item.second.received_at > this->settings.lifetime;
        });
    std::int64_t total = 0;
    for (const auto& [group, entry] : this->peer_groups)
    {
        total += capacity_of(entry, kind);
    }
    if (total == 0)
    {
        return std::nullopt;
    }
    // The choice is proportional to the capacity. All groups with excess load
    // receive the same statuses, so that otherwise the group with the most
    // capacity would receive all redirected work.
    const std::uint64_t draw = hash_bytes(id.node, id.number);
    std::int64_t offset =
        static_cast<std::int64_t>(draw % static_cast<std::uint64_t>(total));
    for (auto& [group, entry] : this->peer_groups)
    {
        offset -= capacity_of(entry, kind);
        if (offset < 0)
        {
            // A slot taken by an item is not available to online requests, and
            // vice versa.
            --entry.online_capacity;
            --entry.batch_capacity;
            return group;
        }
    }
    return std::nullopt;
}

runner_group group_overflow::choose_trial_group(
    time_point now, const runner_group& own, std::uint64_t trait) const
{
    runner_group best = own;
    std::uint64_t best_rank = hash_bytes(to_text(own), trait);
    for (const auto& [group, entry] : this->peer_groups)
    {
        const std::uint64_t rank = hash_bytes(to_text(group), trait);
        if (now - entry.received_at <= this->settings.lifetime &&
            rank > best_rank)
        {
            best = group;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace chicory::serving
