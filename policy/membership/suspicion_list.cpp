#include "policy/membership/suspicion_list.hpp"

#include <cstddef>
#include <iterator>

namespace chicory::membership
{

suspicion_list::suspicion_list(duration time_to_contradict)
    : limit(time_to_contradict)
{
}

void suspicion_list::add(const std::string& id, time_point now)
{
    this->suspects.try_emplace(id, now + this->limit);
}

void suspicion_list::remove(const std::string& id)
{
    this->suspects.erase(id);
}

void suspicion_list::clear()
{
    this->suspects.clear();
}

void suspicion_list::extend(duration more)
{
    for (auto& [id, death] : this->suspects)
    {
        death += more;
    }
}

std::vector<std::string>
suspicion_list::take_expired(const member_table& members, time_point now)
{
    std::vector<std::string> expired;
    for (auto entry = this->suspects.begin(); entry != this->suspects.end();)
    {
        const member_record* record = members.find(entry->first);
        const bool cleared = record == nullptr ||
                             record->status.state == vm_state::alive ||
                             record->status.state == vm_state::dead;
        if (!cleared && now < entry->second)
        {
            ++entry;
            continue;
        }
        if (!cleared)
        {
            expired.push_back(entry->first);
        }
        entry = this->suspects.erase(entry);
    }
    return expired;
}

std::string suspicion_list::choose(std::mt19937_64& generator) const
{
    if (this->suspects.empty())
    {
        return {};
    }
    std::uniform_int_distribution<std::size_t> any(
        0, this->suspects.size() - 1);
    const auto chosen = std::next(
        this->suspects.begin(), static_cast<std::ptrdiff_t>(any(generator)));
    return chosen->first;
}

} // namespace chicory::membership
