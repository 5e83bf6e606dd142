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

/// A property of runners. The pool requests a number of runners for each of its
/// values.
struct balanced_property
{
    /// Returns the value of a runner, or no value when the runner does not
    /// count.
    std::function<std::optional<std::string>(const runner_condition&)>
        read_value;
    /// Returns the scope that must stay served without the runner.
    std::function<serving_scope(const runner_condition&)> required_scope;
    /// Returns the order that gives a value to a runner.
    std::function<planned_order(const runner_condition&, const std::string&)>
        make_order;
    /// Returns the cost of a runner for a value. Among equally ranked donors,
    /// the one with the lowest cost is used.
    std::function<std::int64_t(const runner_condition&, const std::string&)>
        cost;
};

/// Returns whether a runner may get an order: no order is pending and it is not
/// loading a model.
bool can_receive_order(const runner_condition& runner)
{
    return !runner.has_pending_order && (runner.ready || runner.model.empty());
}

/// Plans the orders of one pool, one property at a time.
class planner
{
public:
    planner(
        const pool& requested_pool,
        std::vector<runner_condition> initial_runners,
        std::size_t max_interruptions)
        : requested(requested_pool), runners(std::move(initial_runners)),
          availability_left(this->runners),
          interruptions_left(max_interruptions)
    {
    }

    std::vector<planned_order> run()
    {
        this->balance(this->requested.wanted_models, this->model_property());
        this->plan_versions();
        this->balance(this->requested_role_counts(), this->role_property());
        this->plan_adapters();
        return std::move(this->orders);
    }

private:
    balanced_property model_property() const;
    balanced_property role_property() const;
    void balance(
        const std::map<std::string, std::int64_t>& counts,
        const balanced_property& property);
    runner_condition* find_donor(
        const property_balance& state,
        const balanced_property& property,
        const std::string& to);
    void plan_versions();
    void plan_adapters();
    void assign(runner_condition& runner, planned_order order);

    /// Returns the requested version of a model; empty for any version.
    std::string requested_version(const std::string& model) const
    {
        const auto found = this->requested.wanted_versions.find(model);
        return found == this->requested.wanted_versions.end() ? std::string()
                                                              : found->second;
    }

    std::map<std::string, std::int64_t> requested_role_counts() const
    {
        std::map<std::string, std::int64_t> counts;
        for (const auto& [role, count] : this->requested.wanted_roles)
        {
            counts[std::string(find_name(runner_role_names, role))] = count;
        }
        return counts;
    }

    const pool& requested;
    std::vector<runner_condition> runners;
    availability availability_left;
    std::size_t interruptions_left;
    std::vector<planned_order> orders;
};

balanced_property planner::model_property() const
{
    balanced_property property;
    property.read_value = [](const runner_condition& runner)
    {
        return std::optional(runner.model);
    };
    property.required_scope = [this](const runner_condition& runner)
    {
        const auto found = this->requested.wanted_models.find(runner.model);
        const bool is_requested =
            found != this->requested.wanted_models.end() && found->second > 0;
        return is_requested ? serving_scope::model : serving_scope::pool;
    };
    property.make_order =
        [this](const runner_condition& runner, const std::string& model)
    {
        // The order includes the version, so that the weights are loaded once.
        const std::string version = this->requested_version(model);
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

balanced_property planner::role_property() const
{
    balanced_property property;
    property.read_value =
        [](const runner_condition& runner) -> std::optional<std::string>
    {
        if (!runner.role)
        {
            return std::nullopt;
        }
        return std::string(find_name(runner_role_names, *runner.role));
    };
    property.required_scope = [](const runner_condition&)
    {
        return serving_scope::model;
    };
    property.make_order =
        [](const runner_condition& runner, const std::string& role)
    {
        return planned_order{runner.id, order_kind::set_role, "", role};
    };
    property.cost = [this](const runner_condition& donor, const std::string& to)
    {
        // Prefers models with few runners in the role, so that the role is
        // spread over the models.
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
        if (const std::optional<std::string> value =
                property.read_value(runner))
        {
            state.add(*value);
        }
    }
    while (this->interruptions_left > 0)
    {
        const std::string to = state.find_scarcest_value();
        runner_condition* const donor =
            to.empty() ? nullptr : this->find_donor(state, property, to);
        if (donor == nullptr)
        {
            return;
        }
        state.move(*property.read_value(*donor), to);
        this->assign(*donor, property.make_order(*donor, to));
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
        const std::optional<std::string> value = property.read_value(runner);
        const bool eligible = value && can_receive_order(runner) &&
                              this->availability_left.can_interrupt(
                                  runner, property.required_scope(runner));
        if (!eligible)
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

void planner::plan_versions()
{
    for (runner_condition& runner : this->runners)
    {
        if (this->interruptions_left == 0)
        {
            return;
        }
        const std::string version = this->requested_version(runner.model);
        const bool differs = !version.empty() && runner.version.has_value() &&
                             *runner.version != version;
        const bool eligible =
            differs && can_receive_order(runner) &&
            this->availability_left.can_interrupt(runner, serving_scope::model);
        if (eligible)
        {
            this->assign(
                runner,
                {runner.id, order_kind::load_version, runner.model, version});
        }
    }
}

void planner::plan_adapters()
{
    for (runner_condition& runner : this->runners)
    {
        const auto adapters =
            this->requested.wanted_adapters.find(runner.model);
        const bool eligible =
            adapters != this->requested.wanted_adapters.end() &&
            can_receive_order(runner) && runner.adapters.has_value();
        if (!eligible)
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
            this->assign(
                runner,
                {runner.id, order_kind::load_adapter, runner.model, *missing});
        }
    }
}

void planner::assign(runner_condition& runner, planned_order order)
{
    if (interrupts(order.kind))
    {
        this->availability_left.mark_interrupted(runner);
        --this->interruptions_left;
    }
    runner = condition_after(std::move(runner), order);
    runner.ready = runner.ready && !interrupts(order.kind);
    runner.has_pending_order = true;
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
            // Adapters depend on the weights for which they were loaded.
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
    const pool& requested,
    std::vector<runner_condition> runners,
    std::size_t max_interruptions)
{
    return planner(requested, std::move(runners), max_interruptions).run();
}

} // namespace chicory::orders
