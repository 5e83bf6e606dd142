#include "policy/orders/property_balance.hpp"

#include <utility>

namespace chicory::orders
{

namespace
{

std::int64_t find_count(
    const std::map<std::string, std::int64_t>& counts, const std::string& value)
{
    const auto found = counts.find(value);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

property_balance::property_balance(
    std::map<std::string, std::int64_t> requested_counts)
    : requested(std::move(requested_counts))
{
}

void property_balance::add(const std::string& value)
{
    ++this->actual[value];
}

void property_balance::move(const std::string& from, const std::string& to)
{
    --this->actual[from];
    ++this->actual[to];
}

std::int64_t property_balance::requested_count(const std::string& value) const
{
    return find_count(this->requested, value);
}

std::int64_t property_balance::actual_count(const std::string& value) const
{
    return find_count(this->actual, value);
}

std::string property_balance::find_scarcest_value() const
{
    std::string scarcest;
    for (const auto& [value, count] : this->requested)
    {
        if (this->actual_count(value) >= count)
        {
            continue;
        }
        const bool scarcer =
            scarcest.empty() ||
            this->actual_count(value) * this->requested_count(scarcest) <
                this->actual_count(scarcest) * count;
        if (scarcer)
        {
            scarcest = value;
        }
    }
    return scarcest;
}

donor_rank
property_balance::rank(const std::string& from, const std::string& to) const
{
    if (from == to)
    {
        return donor_rank::none;
    }
    const std::int64_t remaining = this->actual_count(from) - 1;
    const std::int64_t target = this->requested_count(from);
    if (target == 0)
    {
        return donor_rank::unwanted;
    }
    if (remaining >= target)
    {
        return donor_rank::surplus;
    }
    const bool is_covered_as_well = remaining * this->requested_count(to) >=
                                    (this->actual_count(to) + 1) * target;
    return is_covered_as_well ? donor_rank::shared : donor_rank::none;
}

} // namespace chicory::orders
