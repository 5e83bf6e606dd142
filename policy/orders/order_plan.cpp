#include "policy/orders/order_plan.hpp"

#include "policy/orders/availability.hpp"
#include "policy/orders/property_balance.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace chicory::orders
{

using configuration::pool;
using configuration::runner_role;
using configuration::runner_role_names;

namespace
{

/// A property of runners of which the pool wants each value so many times.
struct balanced_property
{
    /// Returns a runner's value, or nothing when it does not count.
    std::function<std::optional<std::string>(const runner_condition&)> read;
    /// Returns what must stay served without the runner.
    std::function<keep(const runner_condition&)> keeps;
    /// Returns the order that gives a runner a value.
    std::function<planned_order(const runner_condition&, const std::string&)>
        make_order;
    /// Among equal donors, those with a lower cost go first.
    std::function<std::int64_t(const runner_condition&, const std::string&)>
        cost;
};

/// Returns whether a runner is in a condition to be ordered away from it.
bool is_settled(const runner_condition& runner)
{
    return !runner.ordered && (runner.ready || runner.model.empty());
}

/// Plans orders for one pool, one property after the other.
class planner
{
public:
    planner(
        const pool& target,
        std::vector<runner_condition> conditions,
        std::size_t count)
        : wanted(target), runners(std::move(conditions)), served(this->runners),
          room(count)
    {
    }

    std::vector<planned_order> run()
    {
        this->balance(this->wanted.wanted_models, this->models());
        this->order_versions();
        this->balance(this->count_roles(), this->roles());
        this->order_adapters();
        return std::move(this->orders);
    }

private:
    balanced_property models() const;
    balanced_property roles() const;
    void balance(
        const std::map<std::string, std::int64_t>& counts,
        const balanced_property& property);
    runner_condition* find_donor(
        const property_balance& state,
        const balanced_property& property,
        const std::string& to);
    void order_versions();
    void order_adapters();
    void give(runner_condition& runner, planned_order order);

    /// Returns the wanted version of a model; empty for any.
    std::string version_of(const std::string& model) const
    {
        const auto found = this->wanted.wanted_versions.find(model);
        return found == this->wanted.wanted_versions.end() ? std::string()
                                                           : found->second;
    }

    std::map<std::string, std::int64_t> count_roles() const
    {
        std::map<std::string, std::int64_t> counts;
        for (const auto& [role, count] : this->wanted.wanted_roles)
        {
            counts[std::string(find_name(runner_role_names, role))] = count;
        }
        return counts;
    }

    const pool& wanted;
    std::vector<runner_condition> runners;
    availability served;
    std::size_t room;
    std::vector<planned_order> orders;
};

balanced_property planner::models() const
{
    balanced_property property;
    property.read = [](const runner_condition& runner)
    {
        return std::optional(runner.model);
    };
    property.keeps = [this](const runner_condition& runner)
    {
        const auto found = this->wanted.wanted_models.find(runner.model);
        const bool is_wanted =
            found != this->wanted.wanted_models.end() && found->second > 0;
        return is_wanted ? keep::model : keep::pool;
    };
    property.make_order =
        [this](const runner_condition& runner, const std::string& model)
    {
        // The version comes with the model, so that the weights load once.
        const std::string version = this->version_of(model);
        const bool exact = !version.empty() && runner.version.has_value();
        const order_kind kind =
            exact ? order_kind::load_version : order_kind::load_model;
        return planned_order{
            runner.id, kind, model, exact ? version : std::string()};
    };
    property.cost = [](const runner_condition&, const std::string&)
    {
        return std::int64_t(0);
    };
    return property;
}

balanced_property planner::roles() const
{
    balanced_property property;
    property.read =
        [](const runner_condition& runner) -> std::optional<std::string>
    {
        if (!runner.role)
        {
            return std::nullopt;
        }
        return std::string(find_name(runner_role_names, *runner.role));
    };
    property.keeps = [](const runner_condition&)
    {
        return keep::model;
    };
    property.make_order =
        [](const runner_condition& runner, const std::string& role)
    {
        return planned_order{runner.id, order_kind::set_role, "", role};
    };
    property.cost = [this](const runner_condition& donor, const std::string& to)
    {
        // Each model gets its part of the role.
        const std::optional<runner_role> role =
            find_value(runner_role_names, to);
        return static_cast<std::int64_t>(std::count_if(
            this->runners.begin(),
            this->runners.end(),
            [&](const runner_condition& runner)
            {
                return runner.model == donor.model && runner.role == role;
            }));
    };
    return property;
}

void planner::balance(
    const std::map<std::string, std::int64_t>& counts,
    const balanced_property& property)
{
    property_balance state(counts);
    for (const runner_condition& runner : this->runners)
    {
        if (const std::optional<std::string> value = property.read(runner))
        {
            state.add(*value);
        }
    }
    while (this->room > 0)
    {
        const std::string to = state.find_scarcest_value();
        runner_condition* const donor =
            to.empty() ? nullptr : this->find_donor(state, property, to);
        if (donor == nullptr)
        {
            return;
        }
        state.move(*property.read(*donor), to);
        this->give(*donor, property.make_order(*donor, to));
    }
}

runner_condition* planner::find_donor(
    const property_balance& state,
    const balanced_property& property,
    const std::string& to)
{
    runner_condition* best = nullptr;
    std::pair<donor_rank, std::int64_t> best_score(donor_rank::none, 0);
    for (runner_condition& runner : this->runners)
    {
        const std::optional<std::string> value = property.read(runner);
        const bool able =
            value && is_settled(runner) &&
            this->served.can_interrupt(runner, property.keeps(runner));
        if (!able)
        {
            continue;
        }
        const donor_rank rank = state.rank(*value, to);
        const std::pair score(rank, -property.cost(runner, to));
        if (rank != donor_rank::none && (best == nullptr || score > best_score))
        {
            best = &runner;
            best_score = score;
        }
    }
    return best;
}

void planner::order_versions()
{
    for (runner_condition& runner : this->runners)
    {
        if (this->room == 0)
        {
            return;
        }
        const std::string version = this->version_of(runner.model);
        const bool differs = !version.empty() && runner.version.has_value() &&
                             *runner.version != version;
        const bool able = differs && is_settled(runner) &&
                          this->served.can_interrupt(runner, keep::model);
        if (able)
        {
            this->give(
                runner,
                {runner.id, order_kind::load_version, runner.model, version});
        }
    }
}

void planner::order_adapters()
{
    for (runner_condition& runner : this->runners)
    {
        const auto adapters = this->wanted.wanted_adapters.find(runner.model);
        const bool able = adapters != this->wanted.wanted_adapters.end() &&
                          is_settled(runner) && runner.adapters.has_value();
        if (!able)
        {
            continue;
        }
        const auto missing = std::find_if(
            adapters->second.begin(),
            adapters->second.end(),
            [&](const std::string& adapter)
            {
                return !runner.adapters->contains(adapter);
            });
        if (missing != adapters->second.end())
        {
            this->give(
                runner,
                {runner.id, order_kind::load_adapter, runner.model, *missing});
        }
    }
}

void planner::give(runner_condition& runner, planned_order order)
{
    if (interrupts(order.kind))
    {
        this->served.take(runner);
        --this->room;
    }
    runner = condition_after(std::move(runner), order);
    runner.ready = runner.ready && !interrupts(order.kind);
    runner.ordered = true;
    this->orders.push_back(std::move(order));
}

} // namespace

bool interrupts(order_kind kind)
{
    return kind != order_kind::load_adapter;
}

bool fetches_weights(order_kind kind)
{
    return kind != order_kind::set_role;
}

runner_condition
condition_after(runner_condition runner, const planned_order& order)
{
    switch (order.kind)
    {
    case order_kind::load_model:
    case order_kind::load_version:
        if (runner.version)
        {
            runner.version = order.argument;
        }
        if (runner.adapters)
        {
            // Adapters belong to the weights that they were loaded for.
            runner.adapters->clear();
        }
        runner.model = order.model;
        break;
    case order_kind::load_adapter:
        if (runner.adapters)
        {
            runner.adapters->insert(order.argument);
        }
        break;
    case order_kind::set_role:
        runner.role = find_value(runner_role_names, order.argument);
        break;
    }
    return runner;
}

bool is_satisfied(const planned_order& order, const runner_condition& runner)
{
    switch (order.kind)
    {
    case order_kind::load_model:
        return runner.model == order.model;
    case order_kind::load_version:
        return runner.model == order.model && runner.version == order.argument;
    case order_kind::load_adapter:
        return runner.model == order.model && runner.adapters &&
               runner.adapters->contains(order.argument);
    case order_kind::set_role:
        return runner.role == find_value(runner_role_names, order.argument);
    }
    return false;
}

std::vector<planned_order> plan_orders(
    const pool& wanted,
    std::vector<runner_condition> runners,
    std::size_t count)
{
    return planner(wanted, std::move(runners), count).run();
}

} // namespace chicory::orders
