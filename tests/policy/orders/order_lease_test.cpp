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

TEST(order_lease, first_holder_orders_checking_engines_at_once)
{
    stored_lease store;
    order_lease lease({}, "a");
    time_point now;
    step(lease, "a", store, now, false);
    step(lease, "a", store, now, false);
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
    step(lease, "a", store, now, false);
    step(lease, "a", store, now, false);
    EXPECT_TRUE(lease.may_order(now + 9s, true));
    EXPECT_FALSE(lease.may_order(now + 10s, true));
    EXPECT_TRUE(lease.is_held(now + 14s));
    EXPECT_FALSE(lease.is_held(now + 15s));
}

TEST(order_lease, lost_answer_is_settled_by_reading_back)
{
    stored_lease store;
    order_lease lease({}, "a");
    time_point now;
    step(lease, "a", store, now, false);
    step(lease, "a", store, now, true);
    EXPECT_FALSE(lease.is_held(now));
    step(lease, "a", store, now + 1s, false);
    EXPECT_TRUE(lease.is_held(now + 1s));
    // The lease counts from the write, not from the read.
    EXPECT_FALSE(lease.is_held(now + 15s));
}

TEST(order_lease, is_lost_when_an_engine_knows_a_higher_number)
{
    stored_lease store;
    order_lease lease({}, "a");
    time_point now;
    step(lease, "a", store, now, false);
    step(lease, "a", store, now, false);
    lease.on_higher_number();
    EXPECT_FALSE(lease.may_order(now, true));
}

/// An order on its way.
struct order_under_way
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

/// Runs two issuers through the steps. Returns the orders that were sent, by
/// arrival, and checks that no number has two holders.
std::vector<order_under_way>
run_two(const std::vector<random_step>& steps, bool engines_check)
{
    const std::array<std::string, 2> names = {"a", "b"};
    std::array<order_lease, 2> leases = {
        order_lease({}, names[0]), order_lease({}, names[1])};
    std::map<std::int64_t, std::size_t> holders;
    std::vector<order_under_way> sent;
    stored_lease store;
    time_point now;
    for (const random_step& next : steps)
    {
        now += std::chrono::milliseconds(next.pass_ms);
        const std::size_t place = next.second ? 1 : 0;
        order_lease& lease = leases.at(place);
        if (next.order && lease.may_order(now, engines_check))
        {
            const auto linger = std::chrono::milliseconds(next.linger_ms);
            sent.push_back({now + linger, lease.fencing_number(), place});
            const auto holder =
                holders.emplace(lease.fencing_number(), place).first;
            RC_ASSERT(holder->second == place);
            continue;
        }
        step(lease, names.at(place), store, now, next.lost);
    }
    std::stable_sort(
        sent.begin(),
        sent.end(),
        [](const order_under_way& left, const order_under_way& right)
        {
            return left.arrival < right.arrival;
        });
    return sent;
}

/// An engine that checks refuses lower numbers; the orders that it applies
/// never go back to an earlier issuer's number.
RC_GTEST_PROP(
    order_lease,
    checking_engine_applies_no_older_number,
    (const std::vector<random_step>& steps))
{
    std::int64_t highest = 0;
    std::map<std::int64_t, std::size_t> applied;
    for (const order_under_way& order : run_two(steps, true))
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

/// Orders that linger no longer than the pause bound arrive in the order of
/// their issuers even where nobody checks the number.
RC_GTEST_PROP(
    order_lease,
    engine_that_ignores_numbers_sees_no_older_issuer_after_a_newer_one,
    (const std::vector<random_step>& steps))
{
    std::int64_t highest = 0;
    std::size_t last_sender = 0;
    for (const order_under_way& order : run_two(steps, false))
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
