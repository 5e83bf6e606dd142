#include "tests/policy/membership/gossip_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace chicory::membership
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t small_fleet = 13;
constexpr std::uint64_t seed = 7;

TEST(gossip, members_with_the_same_list_converge)
{
    gossip_fleet fleet(small_fleet, 0.05, seed);
    EXPECT_TRUE(fleet.run_until(
        [&]()
        {
            return fleet.converged();
        },
        10s));
}

TEST(gossip, member_that_knows_one_peer_learns_all_members)
{
    gossip_fleet fleet(small_fleet, 0.0, seed);
    ASSERT_TRUE(fleet.run_until(
        [&]()
        {
            return fleet.converged();
        },
        10s));
    vm joining_vm;
    joining_vm.id = "vm-late";
    joining_vm.incarnation = 5;
    joining_vm.address = "0";
    joining_vm.gossip_port = 7000;
    gossip joining(gossip_settings(), joining_vm, seed, fleet.time());
    member_update peer = fleet.node(0).table().make_update("vm-1000", true);
    joining.on_update(fleet.time(), peer);
    time_point now = fleet.time();
    for (int round = 0; round < 400; ++round)
    {
        now += 50ms;
        for (const outgoing_gossip& sent : joining.on_tick(now))
        {
            for (const outgoing_gossip& reply :
                 fleet.node(0).on_message(now, sent.message))
            {
                joining.on_message(now, reply.message);
            }
        }
    }
    EXPECT_EQ(joining.table().known_entries(), small_fleet + 1);
}

TEST(gossip, all_members_detect_a_failure_within_five_seconds)
{
    gossip_fleet fleet(small_fleet, 0.05, seed);
    fleet.run(10s);
    fleet.stop(3);
    EXPECT_TRUE(fleet.run_until(
        [&]()
        {
            return fleet.all_believe(3, vm_state::dead);
        },
        5s));
}

TEST(gossip, restarted_member_rejoins_with_a_higher_incarnation)
{
    gossip_fleet fleet(small_fleet, 0.05, seed);
    fleet.run(10s);
    fleet.stop(3);
    fleet.run(10s);
    fleet.start(3, 900);
    EXPECT_TRUE(fleet.run_until(
        [&]()
        {
            return fleet.converged();
        },
        15s));
    EXPECT_EQ(fleet.node(0).table().find("vm-1003")->status.incarnation, 900U);
}

TEST(gossip, paused_member_suspects_no_other_member)
{
    gossip_fleet fleet(small_fleet, 0.0, seed);
    fleet.run(10s);
    fleet.stop(3);
    fleet.run(20s);
    EXPECT_TRUE(fleet.all_believe(3, vm_state::dead));
    // Ticking the stopped node without a restart simulates a paused process.
    const std::uint64_t before = fleet.node(3).version();
    for (const outgoing_gossip& sent : fleet.node(3).on_tick(fleet.time()))
    {
        EXPECT_NE(sent.message.kind, gossip_kind::ping_request);
    }
    EXPECT_EQ(fleet.node(3).version(), before);
}

TEST(gossip, leaving_member_is_seen_as_leaving_and_not_as_suspect)
{
    gossip_fleet fleet(small_fleet, 0.05, seed);
    fleet.run(10s);
    fleet.node(4).leave(fleet.time());
    ASSERT_TRUE(fleet.run_until(
        [&]()
        {
            return fleet.all_believe(4, vm_state::leaving);
        },
        5s));
    fleet.run(20s);
    EXPECT_TRUE(fleet.all_believe(4, vm_state::leaving));
    fleet.stop(4);
    EXPECT_TRUE(fleet.run_until(
        [&]()
        {
            return fleet.all_believe(4, vm_state::dead);
        },
        10s));
}

TEST(gossip, views_converge_after_a_partition)
{
    gossip_fleet fleet(small_fleet, 0.05, seed);
    fleet.run(10s);
    fleet.partition(4);
    fleet.run(60s);
    EXPECT_EQ(fleet.state(8, 0), vm_state::dead);
    EXPECT_EQ(fleet.state(0, 8), vm_state::dead);
    fleet.partition(0);
    EXPECT_TRUE(fleet.run_until(
        [&]()
        {
            return fleet.converged();
        },
        20s));
}

TEST(gossip, rejoining_minority_causes_no_suspicion_in_the_majority)
{
    gossip_fleet fleet(small_fleet, 0.0, seed);
    fleet.run(10s);
    fleet.partition(1);
    fleet.run(60s);
    fleet.partition(0);
    bool suspected = false;
    const auto watch = [&]()
    {
        for (std::size_t index = 1; index < small_fleet; ++index)
        {
            suspected = suspected || fleet.state(5, index) != vm_state::alive;
        }
        return false;
    };
    fleet.run_until(watch, 20s);
    EXPECT_FALSE(suspected);
    EXPECT_TRUE(fleet.converged());
}

TEST(gossip, revision_and_its_holder_are_disseminated)
{
    gossip_fleet fleet(small_fleet, 0.05, seed);
    fleet.run(10s);
    fleet.node(2).set_revision(9);
    const auto known_by_all = [&]()
    {
        for (std::size_t index = 0; index < small_fleet; ++index)
        {
            if (fleet.node(index).highest_revision() != 9)
            {
                return false;
            }
        }
        return true;
    };
    EXPECT_TRUE(fleet.run_until(known_by_all, 20s));
    EXPECT_EQ(fleet.node(0).holder_of_highest(), "vm-1002");
    EXPECT_TRUE(fleet.node(2).holder_of_highest().empty());
}

TEST(gossip, messages_stay_within_the_size_limit)
{
    gossip_fleet fleet(60, 0.05, seed);
    fleet.run(5s);
    fleet.partition(20);
    fleet.run(20s);
    fleet.partition(0);
    fleet.run(20s);
    EXPECT_LE(fleet.largest_message, gossip_settings().max_message_bytes + 100);
}

RC_GTEST_PROP(gossip, views_converge, (std::uint64_t any, bool restart))
{
    gossip_fleet fleet(6, 0.1, any);
    fleet.run(5s);
    fleet.partition(1 + any % 5);
    fleet.run(std::chrono::seconds(5 + any % 20));
    fleet.stop(any % 6);
    fleet.run(3s);
    fleet.partition(0);
    if (restart)
    {
        fleet.start(any % 6, 1000);
    }
    RC_ASSERT(fleet.run_until(
        [&]()
        {
            return fleet.converged();
        },
        60s));
}

TEST(member_update, status_order_follows_precedence)
{
    const member_status alive{3, 0, vm_state::alive};
    const member_status suspect{3, 0, vm_state::suspect};
    const member_status refuted{3, 1, vm_state::alive};
    const member_status dead{3, 1, vm_state::dead};
    const member_status restarted{4, 0, vm_state::alive};
    EXPECT_LT(alive, suspect);
    EXPECT_LT(suspect, refuted);
    EXPECT_LT(refuted, dead);
    EXPECT_LT(dead, restarted);
}

TEST(member_update, decoded_message_equals_the_encoded_one)
{
    gossip_message message;
    message.kind = gossip_kind::ping_request;
    message.sequence = 77;
    message.sender = "vm-1";
    message.target = "vm-2";
    message.revision = 12;
    vm details;
    details.id = "vm-3";
    details.address = "10.0.0.3";
    details.zone = "krems";
    details.incarnation = 5;
    details.state = vm_state::leaving;
    message.updates = {
        {"vm-3", {5, 1, vm_state::leaving}, details},
        {"vm-4", {2, 0, vm_state::dead}, std::nullopt}};
    message.detail_requests = {"vm-9"};
    const std::string bytes = encode(message);
    EXPECT_EQ(decode_gossip(bytes).value(), message);
    EXPECT_FALSE(decode_gossip(bytes.substr(0, 30)).has_value());
    EXPECT_FALSE(decode_gossip("x").has_value());
    gossip_message bare = message;
    bare.updates.clear();
    EXPECT_EQ(
        bytes.size() - encode(bare).size(),
        encoded_size(message.updates[0]) + encoded_size(message.updates[1]));
}

RC_GTEST_PROP(
    member_update, any_bytes_decode_or_fail, (const std::string& bytes))
{
    const result<gossip_message> decoded = decode_gossip(bytes);
    RC_ASSERT(
        decoded.has_value() ||
        decoded.error().kind == error_kind::invalid_input);
}

} // namespace
} // namespace chicory::membership
