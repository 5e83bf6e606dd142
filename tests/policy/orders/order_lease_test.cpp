#include "policy/orders/orders.hpp"
#include "tests/policy/orders/lease_steps.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace chicory::orders
{
namespace
{

using namespace std::chrono_literals;

TEST(order_lease, first_holder_may_immediately_order_engines_that_check)
{
    stored_lease store;
    order_lease lease({}, "a");
    time_point now;
    execute_step(lease, "a", store, now, false);
    execute_step(lease, "a", store, now, false);
    EXPECT_TRUE(lease.is_held(now));
    EXPECT_EQ(lease.fencing_number(), 1);
    EXPECT_TRUE(lease.may_order(now, true));
    EXPECT_FALSE(lease.may_order(now, false));
}

TEST(order_lease, sends_no_order_near_the_end_of_the_lease)
{
    stored_lease store;
    order_lease lease({}, "a");
    time_point now;
    execute_step(lease, "a", store, now, false);
    execute_step(lease, "a", store, now, false);
    EXPECT_TRUE(lease.may_order(now + 9s, true));
    EXPECT_FALSE(lease.may_order(now + 10s, true));
    EXPECT_TRUE(lease.is_held(now + 14s));
    EXPECT_FALSE(lease.is_held(now + 15s));
}

TEST(order_lease, lost_response_is_resolved_by_reading_back)
{
    stored_lease store;
    order_lease lease({}, "a");
    time_point now;
    execute_step(lease, "a", store, now, false);
    execute_step(lease, "a", store, now, true);
    EXPECT_FALSE(lease.is_held(now));
    execute_step(lease, "a", store, now + 1s, false);
    EXPECT_TRUE(lease.is_held(now + 1s));
    // The lease starts when the write is sent, not when it is read back.
    EXPECT_FALSE(lease.is_held(now + 15s));
}

TEST(order_lease, is_dropped_when_an_engine_has_seen_a_higher_number)
{
    stored_lease store;
    order_lease lease({}, "a");
    time_point now;
    execute_step(lease, "a", store, now, false);
    execute_step(lease, "a", store, now, false);
    lease.on_higher_number();
    EXPECT_FALSE(lease.may_order(now, true));
}

/// An order that has been sent but has not arrived.
struct order_in_flight
{
    time_point arrival;
    std::int64_t number = 0;
    std::size_t sender = 0;
};

} // namespace
} // namespace chicory::orders

namespace chicory::orders
{
namespace
{

/// Simulates two issuers. Returns the orders that were sent, sorted by arrival,
/// and checks that no fencing number has two holders.
std::vector<order_in_flight>
simulate_two_issuers(const std::vector<random_step>& steps, bool engines_check)
{
    const std::array<std::string, 2> names = {"a", "b"};
    std::array<order_lease, 2> leases = {
        order_lease({}, names[0]), order_lease({}, names[1])};
    std::map<std::int64_t, std::size_t> holders;
    std::vector<order_in_flight> sent;
    stored_lease store;
    time_point now;
    for (const random_step& next : steps)
    {
        now += std::chrono::milliseconds(next.elapsed_ms);
        const std::size_t index = next.second ? 1 : 0;
        order_lease& lease = leases.at(index);
        if (next.sends_orders && lease.may_order(now, engines_check))
        {
            const auto delivery_delay =
                std::chrono::milliseconds(next.delivery_delay_ms);
            sent.push_back(
                {now + delivery_delay, lease.fencing_number(), index});
            const auto holder =
                holders.emplace(lease.fencing_number(), index).first;
            RC_ASSERT(holder->second == index);
            continue;
        }
        execute_step(lease, names.at(index), store, now, next.response_lost);
    }
    std::stable_sort(
        sent.begin(),
        sent.end(),
        [](const order_in_flight& left, const order_in_flight& right)
        {
            return left.arrival < right.arrival;
        });
    return sent;
}

/// Guards against an engine that executes orders of a replaced issuer. The
/// engine refuses orders with a lower fencing number, so that each number it
/// accepts belongs to one issuer.
RC_GTEST_PROP(
    order_lease,
    engine_that_checks_numbers_applies_no_older_number,
    (const std::vector<random_step>& steps))
{
    std::int64_t highest = 0;
    std::map<std::int64_t, std::size_t> applied;
    for (const order_in_flight& order : simulate_two_issuers(steps, true))
    {
        if (order.number < highest)
        {
            continue;
        }
        highest = order.number;
        const auto found = applied.emplace(order.number, order.sender).first;
        RC_ASSERT(found->second == order.sender);
    }
}

/// Guards against orders of a replaced issuer that arrive late at an engine
/// that ignores fencing numbers. Orders with a delivery delay of at most
/// `max_pause` arrive in the order of their issuers.
RC_GTEST_PROP(
    order_lease,
    engine_that_ignores_numbers_gets_no_older_order_after_a_newer_one,
    (const std::vector<random_step>& steps))
{
    std::int64_t highest = 0;
    std::size_t last_sender = 0;
    for (const order_in_flight& order : simulate_two_issuers(steps, false))
    {
        RC_ASSERT(order.number >= highest || order.sender == last_sender);
        if (order.number > highest)
        {
            highest = order.number;
            last_sender = order.sender;
        }
    }
}

} // namespace
} // namespace chicory::orders
