#ifndef CHICORY_TESTS_POLICY_ORDERS_LEASE_STEPS_HPP
#define CHICORY_TESTS_POLICY_ORDERS_LEASE_STEPS_HPP

// Random runs of two nodes that compete for one lease.

#include "policy/orders/orders.hpp"

#include <rapidcheck.h>

#include <optional>
#include <string>

namespace chicory::orders
{

/// The row of the lease in a table service that may lose answers.
struct stored_lease
{
    std::optional<lease_row> row;

    bool write(std::int64_t expected, const std::string& holder)
    {
        const std::int64_t found = this->row ? this->row->version : 0;
        if (found != expected)
        {
            return false;
        }
        this->row = lease_row{holder, found + 1};
        return true;
    }
};

/// Does the next step of a lease at once. `lost` loses the answer of a write.
inline void step(
    order_lease& lease,
    const std::string& name,
    stored_lease& store,
    time_point now,
    bool lost)
{
    const lease_action action = lease.next_action(now, true);
    if (action.step == lease_step::read)
    {
        lease.on_row(now, store.row);
    }
    if (action.step != lease_step::write)
    {
        return;
    }
    const bool committed = store.write(action.expected_version, name);
    if (lost)
    {
        lease.on_unknown(now);
    }
    else if (committed)
    {
        lease.on_committed(now, now, store.row->version);
    }
    else
    {
        lease.on_conflict();
    }
}

/// One step of a random run: which node acts, how long passes before, whether
/// an answer is lost and how long an order lingers before it arrives.
struct random_step
{
    bool second = false;
    std::int64_t pass_ms = 0;
    bool lost = false;
    std::int64_t linger_ms = 0;
    bool order = false;
};

} // namespace chicory::orders

namespace rc
{

template <>
struct Arbitrary<chicory::orders::random_step>
{
    static Gen<chicory::orders::random_step> arbitrary()
    {
        using chicory::orders::random_step;
        // Long times let leases lapse while a node is paused.
        const Gen<std::int64_t> pass = gen::oneOf(
            gen::inRange<std::int64_t>(0, 3000),
            gen::inRange<std::int64_t>(3000, 25000));
        return gen::build<random_step>(
            gen::set(&random_step::second),
            gen::set(&random_step::pass_ms, pass),
            gen::set(
                &random_step::lost,
                gen::map(
                    gen::inRange(0, 5),
                    [](int draw)
                    {
                        return draw == 0;
                    })),
            gen::set(
                &random_step::linger_ms, gen::inRange<std::int64_t>(0, 20000)),
            gen::set(&random_step::order));
    }
};

} // namespace rc

#endif
