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

/// Action that an order requests from an engine.
enum class order_kind
{
    load_model,
    load_version,
    load_adapter,
    set_role,
};

/// Names of the actions in requests to engines.
inline constexpr enum_table<order_kind, 4> order_kind_names = {{
    {order_kind::load_model, "load_model"},
    {order_kind::load_version, "load_version"},
    {order_kind::load_adapter, "load_adapter"},
    {order_kind::set_role, "set_role"},
}};

/// Returns whether a runner serves no requests until it has executed the order.
bool interrupts(order_kind kind);

/// Returns whether the engine fetches from the weight store to execute the
/// order.
bool fetches_weights(order_kind kind);

/// An order that brings a runner closer to the requirements of its pool. It
/// states the requested condition: a version or an adapter is given together
/// with its model.
struct planned_order
{
    std::string runner;
    order_kind kind = order_kind::load_model;
    /// Model to hold; empty for an order that sets a role.
    std::string model;
    /// Version, adapter or role; empty for an order that loads a model in any
    /// version.
    std::string argument;

    bool operator==(const planned_order&) const = default;
};

/// Returns the condition of a runner after it has executed an order.
runner_condition
condition_after(runner_condition runner, const planned_order& order);

/// Returns whether a runner is in the condition that an order states.
bool is_satisfied(const planned_order& order, const runner_condition& runner);

/// Plans the orders that a pool needs, at most one per runner: first models,
/// then versions, roles and adapters. Only surplus runners change their model,
/// with one exception: a model that is short of runners gets one from a model
/// that is still covered at least as well afterwards. This limits loads to
/// those needed, and no plan undoes another. At most `max_interruptions` orders
/// interrupt their runner. No order interrupts the last ready runners that
/// serve a model, unless the pool does not request that model, the order loads
/// another one and the pool still serves a model without them. Loading an
/// adapter does not interrupt a runner and does not count.
std::vector<planned_order> plan_orders(
    const configuration::pool& requested,
    std::vector<runner_condition> runners,
    std::size_t max_interruptions);

} // namespace chicory::orders

#endif
