#ifndef CHICORY_POLICY_ORDERS_ORDER_PLAN_HPP
#define CHICORY_POLICY_ORDERS_ORDER_PLAN_HPP

#include "core/core.hpp"
#include "policy/configuration/configuration.hpp"
#include "policy/orders/runner_condition.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicory::orders
{

/// What an order asks of an engine.
enum class order_kind
{
    load_model,
    load_version,
    load_adapter,
    set_role,
};

/// Names as engines take them.
inline constexpr enum_table<order_kind, 4> order_kind_names = {{
    {order_kind::load_model, "load_model"},
    {order_kind::load_version, "load_version"},
    {order_kind::load_adapter, "load_adapter"},
    {order_kind::set_role, "set_role"},
}};

/// Returns whether a runner serves nothing until it has followed the order.
bool interrupts(order_kind kind);

/// Returns whether the engine fetches from the weight store.
bool fetches_weights(order_kind kind);

/// An order that brings a runner nearer to what the pool wants. It states the
/// wanted condition: a version or an adapter comes with its model.
struct planned_order
{
    std::string runner;
    order_kind kind = order_kind::load_model;
    /// Model to hold; empty for a role.
    std::string model;
    /// Version, adapter or role; empty for a model in any version.
    std::string argument;

    bool operator==(const planned_order&) const = default;
};

/// Returns a runner's condition once it has followed an order.
runner_condition
condition_after(runner_condition runner, const planned_order& order);

/// Returns whether a runner is in the condition that an order states.
bool is_satisfied(const planned_order& order, const runner_condition& runner);

/// Plans the orders that a pool needs, the most wanted first: models, then
/// versions, roles and adapters, one order for a runner. Only surplus runners
/// change their model, except that a model short of runners takes one from a
/// model that is still no worse off afterwards; so there are no more loads than
/// needed and no plan undoes another. Up to `count` orders interrupt their
/// runner, and none takes away the last ready runners that serve a model, or
/// the last one of the pool. Adapters interrupt nobody and are not counted.
std::vector<planned_order> plan_orders(
    const configuration::pool& wanted,
    std::vector<runner_condition> runners,
    std::size_t count);

} // namespace chicory::orders

#endif
