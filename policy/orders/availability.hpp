#ifndef CHICORY_POLICY_ORDERS_AVAILABILITY_HPP
#define CHICORY_POLICY_ORDERS_AVAILABILITY_HPP

#include "policy/orders/runner_condition.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicory::orders
{

/// Scope that must still be served while a runner is interrupted.
enum class serving_scope
{
    /// The runner's own model.
    model,
    /// At least one model of the pool.
    pool,
};

/// Counts the ready runners of each model by role. A model is served by a mixed
/// runner, or by a prefill and a decode runner together.
class availability
{
public:
    explicit availability(const std::vector<runner_condition>& runners);

    /// Returns whether a runner may be interrupted: the scope must then still
    /// be served if it is served now. A runner that is not ready may always be
    /// interrupted.
    bool
    can_interrupt(const runner_condition& runner, serving_scope scope) const;

    /// Removes a ready runner from the counts.
    void mark_interrupted(const runner_condition& runner);

private:
    struct role_counts
    {
        std::int64_t mixed = 0;
        std::int64_t prefill = 0;
        std::int64_t decode = 0;

        bool serves() const;
        std::int64_t& count_of(const runner_condition& runner);
    };

    bool serves_other_model(const std::string& model) const;

    std::map<std::string, role_counts> ready_counts;
};

} // namespace chicory::orders

#endif
