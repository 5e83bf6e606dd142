#include "servers/dispatch/dispatch.hpp"

#include <gtest/gtest.h>

namespace chicory::dispatching
{

namespace
{

membership::vm make_vm(membership::vm_role role, membership::vm_state state)
{
    membership::vm result;
    result.id = "v";
    result.role = role;
    result.state = state;
    result.incarnation = 7;
    result.service = "llm";
    return result;
}

class fleet_cache_test : public testing::Test
{
protected:
    void update_view(membership::vm_role role, membership::vm_state state)
    {
        this->version += 1;
        this->fleet.update_view({this->version, {make_vm(role, state)}});
    }

    membership::vm_state state()
    {
        return this->fleet.find_vm("v")->state;
    }

    fleet_cache fleet;
    std::uint64_t version = 0;
};

} // namespace

TEST_F(fleet_cache_test, a_gate_restarted_in_place_is_alive_immediately)
{
    const membership::vm_role entry = membership::vm_role::entry;
    this->update_view(entry, membership::vm_state::alive);
    EXPECT_TRUE(this->fleet.mark_leaving("v", 7));
    EXPECT_EQ(this->state(), membership::vm_state::leaving);
    // The view may lag behind the notice of the gate itself.
    this->update_view(entry, membership::vm_state::alive);
    EXPECT_EQ(this->state(), membership::vm_state::leaving);
    this->update_view(entry, membership::vm_state::leaving);
    EXPECT_EQ(this->state(), membership::vm_state::leaving);
    this->update_view(entry, membership::vm_state::alive);
    EXPECT_EQ(this->state(), membership::vm_state::alive);
    // The VM may leave once more.
    EXPECT_TRUE(this->fleet.mark_leaving("v", 7));
    this->update_view(entry, membership::vm_state::alive);
    EXPECT_EQ(this->state(), membership::vm_state::leaving);
}

TEST_F(fleet_cache_test, a_leaving_state_seen_before_the_notice_counts)
{
    const membership::vm_role entry = membership::vm_role::entry;
    this->update_view(entry, membership::vm_state::leaving);
    EXPECT_TRUE(this->fleet.mark_leaving("v", 7));
    this->update_view(entry, membership::vm_state::alive);
    EXPECT_EQ(this->state(), membership::vm_state::alive);
}

TEST_F(fleet_cache_test, a_leaving_runner_needs_a_new_incarnation)
{
    const membership::vm_role runner = membership::vm_role::runner;
    this->update_view(runner, membership::vm_state::alive);
    EXPECT_TRUE(this->fleet.mark_leaving("v", 7));
    EXPECT_FALSE(this->fleet.mark_leaving("v", 7));
    this->update_view(runner, membership::vm_state::leaving);
    this->update_view(runner, membership::vm_state::alive);
    EXPECT_EQ(this->state(), membership::vm_state::leaving);
    membership::vm restarted = make_vm(runner, membership::vm_state::alive);
    restarted.incarnation = 8;
    this->fleet.update_view({9, {restarted}});
    EXPECT_EQ(this->state(), membership::vm_state::alive);
}

} // namespace chicory::dispatching
