#include "policy/serving/group_overflow.hpp"

#include <algorithm>

namespace chicory::serving
{

group_overflow::group_overflow(group_overflow_settings initial)
    : settings(initial)
{
}

void group_overflow::on_group_status(time_point now, const group_status& digest)
{
    const auto known = this->neighbours.find(digest.group);
    if (known != this->neighbours.end() && known->second.nodes > digest.nodes &&
        now - known->second.heard <= this->settings.lifetime)
    {
        return;
    }
    this->neighbours[digest.group] = {
        digest.nodes, digest.online_capacity, digest.batch_capacity, now};
}

std::int64_t group_overflow::room_of(const neighbour& entry, work_kind kind)
{
    return std::max<std::int64_t>(
        0,
        kind == work_kind::online ? entry.online_capacity
                                  : entry.batch_capacity);
}

bool group_overflow::has_room(time_point now, work_kind kind) const
{
    return std::any_of(
        this->neighbours.begin(),
        this->neighbours.end(),
        [&](const auto& item)
        {
            return now - item.second.heard <= this->settings.lifetime &&
                   room_of(item.second, kind) > 0;
        });
}

std::optional<runner_group>
group_overflow::take_room(time_point now, work_kind kind, const slot_id& id)
{
    std::erase_if(
        this->neighbours,
        [this, now](const auto& item)
        {
            return now - item.second.heard > this->settings.lifetime;
        });
    std::int64_t total = 0;
    for (const auto& [group, entry] : this->neighbours)
    {
        total += room_of(entry, kind);
    }
    if (total == 0)
    {
        return std::nullopt;
    }
    // In proportion to the room: all groups that overflow hear the same
    // digests, and the one with the most room would get the work of all.
    const std::uint64_t mixed = hash_bytes(id.node, id.number);
    std::int64_t place =
        static_cast<std::int64_t>(mixed % static_cast<std::uint64_t>(total));
    for (auto& [group, entry] : this->neighbours)
    {
        place -= room_of(entry, kind);
        if (place < 0)
        {
            // An item takes a slot from requests too, and a request from
            // items.
            --entry.online_capacity;
            --entry.batch_capacity;
            return group;
        }
    }
    return std::nullopt;
}

} // namespace chicory::serving
