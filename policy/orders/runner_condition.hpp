#ifndef CHICORY_POLICY_ORDERS_RUNNER_CONDITION_HPP
#define CHICORY_POLICY_ORDERS_RUNNER_CONDITION_HPP

#include "policy/configuration/configuration.hpp"

#include <optional>
#include <set>
#include <string>

namespace chicory::orders
{

/// The condition of a runner as input to planning.
struct runner_condition
{
    std::string id;
    /// Model that the runner holds or is loading; empty for none.
    std::string model;
    /// Whether the runner currently serves that model.
    bool ready = false;
    /// Version of the model; no value when the engine does not report it.
    std::optional<std::string> version = std::nullopt;
    /// Loaded adapters; no value when the engine does not report them.
    std::optional<std::set<std::string>> adapters = std::nullopt;
    /// Role; no value when the engine does not report it.
    std::optional<configuration::runner_role> role = std::nullopt;
    /// Whether an order has been sent that no report has confirmed yet.
    bool has_pending_order = false;
};

} // namespace chicory::orders

#endif
