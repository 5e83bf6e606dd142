#include "servers/dispatch/dispatch.hpp"

#include <gtest/gtest.h>

#include <string>

namespace chicory::dispatching
{

namespace
{

membership::vm make_entry(const std::string& id, membership::vm_state state)
{
    membership::vm result;
    result.id = id;
    result.state = state;
    return result;
}

std::string find_owner_id(std::vector<membership::vm> vms)
{
    membership::vm runner;
    runner.id = "w0";
    runner.role = membership::vm_role::runner;
    vms.push_back(runner);
    fleet_cache fleet;
    fleet.update_view({1, vms});
    const membership::vm* const owner = choose_owner(fleet, runner);
    return owner == nullptr ? std::string() : owner->id;
}

} // namespace

TEST(owner_choice, a_leaving_gate_owns_runners_only_when_none_is_alive)
{
    using enum membership::vm_state;
    EXPECT_EQ(
        find_owner_id({make_entry("e0", leaving), make_entry("e1", alive)}),
        "e1");
    EXPECT_EQ(
        find_owner_id({make_entry("e0", leaving), make_entry("e1", suspect)}),
        "e0");
    EXPECT_EQ(
        find_owner_id({make_entry("e0", dead), make_entry("e1", suspect)}), "");
}

} // namespace chicory::dispatching
