#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

const time_point start = time_point() + 1h;

planned_item make_item(std::uint64_t number, duration due, duration work)
{
    return {{"n", 1, number}, start + due, work};
}

TEST(item_plan_test, defers_nothing_while_all_items_fit)
{
    EXPECT_TRUE(choose_deferred(
                    start, {make_item(1, 10s, 5s), make_item(2, 10s, 5s)}, 1.0)
                    .empty());
}

TEST(item_plan_test, defers_an_item_that_cannot_be_in_time_by_itself)
{
    const std::set<slot_id> deferred = choose_deferred(
        start, {make_item(1, 4s, 5s), make_item(2, 10s, 5s)}, 8.0);
    EXPECT_EQ(deferred, (std::set<slot_id>{{"n", 1, 1}}));
}

// Load pattern: twice the work that fits before the due times.
TEST(item_plan_test, overload_defers_as_few_items_as_possible)
{
    std::vector<planned_item> items;
    for (std::uint64_t number = 0; number < 20; ++number)
    {
        // Half of the items are nearly completed.
        items.push_back(make_item(number, 10s, number % 2 == 0 ? 5s : 1s));
    }
    const std::set<slot_id> deferred = choose_deferred(start, items, 3.0);
    // 3 slots for 10 s: all ten short items and four long ones fit.
    EXPECT_EQ(deferred.size(), 6U);
    for (const slot_id& id : deferred)
    {
        EXPECT_EQ(id.number % 2, 0U);
    }
}

TEST(item_plan_test, without_slots_all_items_are_deferred)
{
    EXPECT_EQ(choose_deferred(start, {make_item(1, 10s, 1s)}, 0.0).size(), 1U);
}

} // namespace

} // namespace chicory::serving
