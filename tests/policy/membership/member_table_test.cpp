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

// Guards against a failure that is sent only after the updates about all live
// members. This occurs when hundreds of VMs start at the same time and one of
// them dies while updates about all of them are still pending.
TEST(member_table_test, dead_member_is_sent_before_live_members)
{
    member_table table(7);
    for (int number = 0; number < 300; ++number)
    {
        table.apply(make_alive(number), start);
    }
    table.apply({"vm-123", {1, 0, vm_state::dead}, std::nullopt}, start);
    for (int message = 0; message < 3; ++message)
    {
        std::vector<member_update> updates;
        std::size_t remaining_bytes = 300;
        table.take_updates(updates, remaining_bytes, 10);
        ASSERT_FALSE(updates.empty());
        EXPECT_EQ(updates.front().id, "vm-123");
    }
}

TEST(member_table_test, update_from_a_shared_list_is_not_pending)
{
    member_table table(7);
    EXPECT_TRUE(table.apply(make_alive(1), start, update_source::list));
    EXPECT_NE(table.find("vm-1"), nullptr);
    EXPECT_FALSE(table.has_pending_updates(1));
    EXPECT_EQ(table.live_entries(), 1U);
    // A later update from a member becomes pending.
    table.apply({"vm-1", {1, 0, vm_state::dead}, std::nullopt}, start);
    EXPECT_TRUE(table.has_pending_updates(1));
}

} // namespace

} // namespace chicory::membership
