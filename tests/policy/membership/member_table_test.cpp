#include "policy/membership/membership.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace chicory::membership
{

namespace
{

using namespace std::chrono_literals;

const time_point start = time_point() + 1h;

member_update make_alive(int number)
{
    vm details;
    details.id = "vm-" + std::to_string(number);
    details.role = vm_role::entry;
    details.address = "10.0.0.1";
    return {details.id, {1, 0, vm_state::alive}, details};
}

// Load pattern: hundreds of VMs that start within a moment, one of which dies
// while all of them are still news to each other.
TEST(member_table_test, a_death_is_told_before_all_who_are_there)
{
    member_table table(7);
    for (int number = 0; number < 300; ++number)
    {
        table.apply(make_alive(number), start);
    }
    table.apply({"vm-123", {1, 0, vm_state::dead}, std::nullopt}, start);
    for (int message = 0; message < 3; ++message)
    {
        std::vector<member_update> told;
        std::size_t room = 300;
        table.take_news(told, room, 10);
        ASSERT_FALSE(told.empty());
        EXPECT_EQ(told.front().id, "vm-123");
    }
}

TEST(member_table_test, what_all_read_in_a_list_is_no_news)
{
    member_table table(7);
    EXPECT_TRUE(table.apply(make_alive(1), start, update_source::list));
    EXPECT_NE(table.find("vm-1"), nullptr);
    EXPECT_FALSE(table.has_news(1));
    EXPECT_EQ(table.live_entries(), 1U);
    // What a member says of it afterwards is.
    table.apply({"vm-1", {1, 0, vm_state::dead}, std::nullopt}, start);
    EXPECT_TRUE(table.has_news(1));
}

} // namespace

} // namespace chicory::membership
