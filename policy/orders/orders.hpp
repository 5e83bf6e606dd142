/// Public header of the orders library: the lease under which a node sends
/// orders to the engines of a pool, and the plan of the orders that the pool
/// needs.
#ifndef CHICORY_POLICY_ORDERS_ORDERS_HPP
#define CHICORY_POLICY_ORDERS_ORDERS_HPP

#include "policy/orders/availability.hpp"
#include "policy/orders/order_issuer.hpp"
#include "policy/orders/order_lease.hpp"
#include "policy/orders/order_plan.hpp"
#include "policy/orders/property_balance.hpp"
#include "policy/orders/runner_condition.hpp"
#include "policy/orders/token_bucket.hpp"

#endif
