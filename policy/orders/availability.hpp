#ifndef CHICORY_POLICY_ORDERS_AVAILABILITY_HPP
#define CHICORY_POLICY_ORDERS_AVAILABILITY_HPP

#include "policy/orders/runner_condition.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicory::orders
{

/// What must still be served without a runner.
enum class keep
{
    /// The runner's own model.
    model,
    /// Any model of the pool.
    pool,
};

/// Counts the ready runners of each model by role. A model is served by a
/// mixed runner, or by a prefill and a decode runner together.
class availability
{
public:
    explicit availability(const std::vector<runner_condition>& runners);

    /// Returns whether what is served stays served without a runner.
    bool can_interrupt(const runner_condition& runner, keep what) const;

    /// Counts a runner as not ready from now on.
    void take(const runner_condition& runner);

private:
    struct role_counts
    {
        std::int64_t mixed = 0;
        std::int64_t prefill = 0;
        std::int64_t decode = 0;

        bool serves() const;
        std::int64_t& of(const runner_condition& runner);
    };

    bool serves_other_model(const std::string& model) const;

    std::map<std::string, role_counts> ready;
};

} // namespace chicory::orders

#endif
