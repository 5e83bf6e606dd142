#include "policy/orders/availability.hpp"

#include <algorithm>

namespace chicory::orders
{

using configuration::runner_role;

bool availability::role_counts::serves() const
{
    return this->mixed > 0 || (this->prefill > 0 && this->decode > 0);
}

std::int64_t& availability::role_counts::of(const runner_condition& runner)
{
    switch (runner.role.value_or(runner_role::mixed))
    {
    case runner_role::prefill:
        return this->prefill;
    case runner_role::decode:
        return this->decode;
    case runner_role::mixed:
        break;
    }
    return this->mixed;
}

availability::availability(const std::vector<runner_condition>& runners)
{
    for (const runner_condition& runner : runners)
    {
        if (runner.ready)
        {
            ++this->ready[runner.model].of(runner);
        }
    }
}

bool availability::can_interrupt(
    const runner_condition& runner, keep what) const
{
    const auto found = this->ready.find(runner.model);
    if (!runner.ready || found == this->ready.end())
    {
        return true;
    }
    role_counts counts = found->second;
    const bool served = counts.serves();
    --counts.of(runner);
    if (!served || counts.serves())
    {
        return true;
    }
    return what == keep::pool && this->serves_other_model(runner.model);
}

void availability::take(const runner_condition& runner)
{
    if (runner.ready)
    {
        --this->ready[runner.model].of(runner);
    }
}

bool availability::serves_other_model(const std::string& model) const
{
    return std::any_of(
        this->ready.begin(),
        this->ready.end(),
        [&](const auto& entry)
        {
            return entry.first != model && entry.second.serves();
        });
}

} // namespace chicory::orders
