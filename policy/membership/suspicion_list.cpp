#include "policy/membership/suspicion_list.hpp"

#include <cstddef>
#include <iterator>

namespace chicory::membership
{

suspicion_list::suspicion_list(duration initial_refutation_time)
    : refutation_time(initial_refutation_time)
{
}

void suspicion_list::add(const std::string& id, time_point now)
{
    this->suspects.try_emplace(id, now + this->refutation_time);
}

void suspicion_list::remove(const std::string& id)
{
    this->suspects.erase(id);
}

void suspicion_list::clear()
{
    this->suspects.clear();
}

void suspicion_list::extend(duration extension)
{
    for (auto& [id, deadline] : this->suspects)
    {
        deadline += extension;
    }
}

std::vector<std::string>
suspicion_list::remove_expired(const member_table& members, time_point now)
{
    std::vector<std::string> expired;
    for (auto entry = this->suspects.begin(); entry != this->suspects.end();)
    {
        const member_record* record = members.find(entry->first);
        const bool is_cleared = record == nullptr ||
                                record->status.state == vm_state::alive ||
                                record->status.state == vm_state::dead;
        if (!is_cleared && now < entry->second)
        {
            ++entry;
            continue;
        }
        if (!is_cleared)
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
    std::uniform_int_distribution<std::size_t> index_distribution(
        0, this->suspects.size() - 1);
    const auto chosen = std::next(
        this->suspects.begin(),
        static_cast<std::ptrdiff_t>(index_distribution(generator)));
    return chosen->first;
}

} // namespace chicory::membership
