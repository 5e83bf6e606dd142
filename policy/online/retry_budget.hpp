#ifndef CHICORY_POLICY_ONLINE_RETRY_BUDGET_HPP
#define CHICORY_POLICY_ONLINE_RETRY_BUDGET_HPP

#include <cstdint>

namespace chicory::online
{

/// Limits the retries of one route on one gate to a fraction of its first
/// attempts, so that retries do not add further load to a failing fleet.
class retry_budget
{
public:
    /// Maximum number of saved retries.
    static constexpr double max_saved = 20;
    /// Number of retries that a route may spend before it has earned any.
    static constexpr double initial_saved = 5;

    /// `percent` is the number of retries earned by 100 first attempts.
    explicit retry_budget(std::int64_t percent);

    void set_percent(std::int64_t percent);

    /// Records a first attempt, which earns a fraction of a retry.
    void first_attempt();

    /// Spends one retry. Returns false when none is left.
    bool try_retry();

private:
    std::int64_t percent;
    double saved_retries = initial_saved;
};

} // namespace chicory::online

#endif
