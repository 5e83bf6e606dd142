#ifndef CHICORY_TESTS_POLICY_ORDERS_LEASE_STEPS_HPP
#define CHICORY_TESTS_POLICY_ORDERS_LEASE_STEPS_HPP

// Random steps for simulations of two nodes that compete for one lease.

#include "policy/orders/orders.hpp"

#include <rapidcheck.h>

#include <optional>
#include <string>

namespace chicory::orders
{

/// The row of the lease in a simulated table service.
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

/// Executes the next step of a lease immediately. With `response_lost`, the
/// response to a write is lost.
inline void execute_step(
    order_lease& lease,
    const std::string& name,
    stored_lease& store,
    time_point now,
    bool response_lost)
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
    if (response_lost)
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

/// One step of a random simulation: which node acts, the time that passes
/// before it, whether the response to a write is lost, the delivery delay of an
/// order, and whether the node sends orders or executes a step of its lease.
struct random_step
{
    bool second = false;
    std::int64_t elapsed_ms = 0;
    bool response_lost = false;
    std::int64_t delivery_delay_ms = 0;
    bool sends_orders = false;
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
        // Long intervals let leases expire while a node is paused.
        const Gen<std::int64_t> elapsed = gen::oneOf(
            gen::inRange<std::int64_t>(0, 3000),
            gen::inRange<std::int64_t>(3000, 25000));
        return gen::build<random_step>(
            gen::set(&random_step::second),
            gen::set(&random_step::elapsed_ms, elapsed),
            gen::set(
                &random_step::response_lost,
                gen::map(
                    gen::inRange(0, 5),
                    [](int drawn)
                    {
                        return drawn == 0;
                    })),
            gen::set(
                &random_step::delivery_delay_ms,
                gen::inRange<std::int64_t>(0, 20000)),
            gen::set(&random_step::sends_orders));
    }
};

} // namespace rc

#endif
