#ifndef CHICORY_POLICY_MEMBERSHIP_BYTE_BUDGET_HPP
#define CHICORY_POLICY_MEMBERSHIP_BYTE_BUDGET_HPP

#include "core/core.hpp"

#include <cstddef>

namespace chicory::membership
{

/// Limits the bytes that a node sends per second. Messages that must be sent
/// are charged even when the budget is exhausted; their optional content is
/// left out first.
class byte_budget
{
public:
    /// Allows `bytes_per_second` bytes per second on average and a burst of as
    /// many bytes.
    byte_budget(double bytes_per_second, time_point now);

    /// Returns the number of bytes that may be sent at `now`; zero when the
    /// budget is exhausted.
    std::size_t available(time_point now);

    void spend(std::size_t bytes);

private:
    double rate;
    double remaining;
    time_point last_refill;
};

} // namespace chicory::membership

#endif
