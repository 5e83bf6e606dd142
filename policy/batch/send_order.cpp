#include "policy/batch/send_order.hpp"

namespace chicory::batch
{

void send_order::add(
    std::uint64_t position,
    std::uint64_t prefix,
    time_point not_before,
    bool needs_mark)
{
    this->entries[{prefix, position}] = {not_before, needs_mark};
}

void send_order::remove(std::uint64_t position, std::uint64_t prefix)
{
    this->entries.erase({prefix, position});
}

void send_order::clear()
{
    this->entries.clear();
}

std::vector<std::uint64_t>
send_order::choose(std::size_t slots, time_point now) const
{
    std::vector<std::uint64_t> chosen;
    for (const auto& [key, item] : this->entries)
    {
        if (chosen.size() == slots)
        {
            break;
        }
        if (!item.needs_mark && item.not_before <= now)
        {
            chosen.push_back(key.second);
        }
    }
    return chosen;
}

std::vector<std::uint64_t> send_order::choose_unmarked(
    std::size_t slots, std::size_t group, time_point now) const
{
    if (this->ready(now) >= slots)
    {
        return {};
    }
    std::vector<std::uint64_t> unmarked;
    for (const auto& [key, item] : this->entries)
    {
        if (unmarked.size() == group)
        {
            break;
        }
        if (item.needs_mark && item.not_before <= now)
        {
            unmarked.push_back(key.second);
        }
    }
    return unmarked;
}

std::size_t send_order::ready(time_point now) const
{
    std::size_t count = 0;
    for (const auto& [key, item] : this->entries)
    {
        count += !item.needs_mark && item.not_before <= now ? 1 : 0;
    }
    return count;
}

std::size_t send_order::size() const
{
    return this->entries.size();
}

} // namespace chicory::batch
