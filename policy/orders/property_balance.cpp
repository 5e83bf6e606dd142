#include "policy/orders/property_balance.hpp"

#include <utility>

namespace chicory::orders
{

namespace
{

std::int64_t count_of(
    const std::map<std::string, std::int64_t>& counts, const std::string& value)
{
    const auto found = counts.find(value);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

property_balance::property_balance(std::map<std::string, std::int64_t> target)
    : wanted(std::move(target))
{
}

void property_balance::add(const std::string& value)
{
    ++this->held[value];
}

void property_balance::move(const std::string& from, const std::string& to)
{
    --this->held[from];
    ++this->held[to];
}

std::int64_t property_balance::wanted_of(const std::string& value) const
{
    return count_of(this->wanted, value);
}

std::int64_t property_balance::held_of(const std::string& value) const
{
    return count_of(this->held, value);
}

std::string property_balance::find_scarcest_value() const
{
    std::string shortest;
    for (const auto& [value, count] : this->wanted)
    {
        if (this->held_of(value) >= count)
        {
            continue;
        }
        const bool shorter = shortest.empty() ||
                             this->held_of(value) * this->wanted_of(shortest) <
                                 this->held_of(shortest) * count;
        if (shorter)
        {
            shortest = value;
        }
    }
    return shortest;
}

donor_rank
property_balance::rank(const std::string& from, const std::string& to) const
{
    if (from == to)
    {
        return donor_rank::none;
    }
    const std::int64_t left = this->held_of(from) - 1;
    const std::int64_t target = this->wanted_of(from);
    if (target == 0)
    {
        return donor_rank::unwanted;
    }
    if (left >= target)
    {
        return donor_rank::surplus;
    }
    const bool still_no_worse =
        left * this->wanted_of(to) >= (this->held_of(to) + 1) * target;
    return still_no_worse ? donor_rank::shared : donor_rank::none;
}

} // namespace chicory::orders
