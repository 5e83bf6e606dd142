#include "policy/orders/availability.hpp"

#include <algorithm>

namespace chicory::orders
{

using configuration::runner_role;

bool availability::role_counts::serves() const
{
    return this->mixed > 0 || (this->prefill > 0 && this->decode > 0);
}

std::int64_t&
availability::role_counts::count_of(const runner_condition& runner)
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
            ++this->ready_counts[runner.model].count_of(runner);
        }
    }
}

bool availability::can_interrupt(
    const runner_condition& runner, serving_scope scope) const
{
    const auto found = this->ready_counts.find(runner.model);
    if (!runner.ready || found == this->ready_counts.end())
    {
        return true;
    }
    role_counts counts = found->second;
    const bool was_served = counts.serves();
    --counts.count_of(runner);
    if (!was_served || counts.serves())
    {
        return true;
    }
    return scope == serving_scope::pool &&
           this->serves_other_model(runner.model);
}

void availability::mark_interrupted(const runner_condition& runner)
{
    if (runner.ready)
    {
        --this->ready_counts[runner.model].count_of(runner);
    }
}

bool availability::serves_other_model(const std::string& model) const
{
    return std::any_of(
        this->ready_counts.begin(),
        this->ready_counts.end(),
        [&](const auto& entry)
        {
            return entry.first != model && entry.second.serves();
        });
}

} // namespace chicory::orders
