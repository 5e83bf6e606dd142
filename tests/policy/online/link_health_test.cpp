#include "policy/online/online.hpp"

#include <gtest/gtest.h>

namespace chicory::online
{

namespace
{

constexpr time_point start = time_point(std::chrono::hours(1));
constexpr time_point suspect_time = start + link_health::suspect_after;

} // namespace

TEST(link_health, heartbeats_are_sent_at_their_interval)
{
    link_health link(start);
    EXPECT_EQ(link.tick(start), link_action::none);
    const time_point heartbeat_time = start + link_health::heartbeat_interval;
    EXPECT_EQ(link.tick(heartbeat_time), link_action::send_heartbeat);
    EXPECT_EQ(link.tick(heartbeat_time), link_action::none);
}

TEST(link_health, a_silent_link_is_dead_once_a_fresh_one_responds)
{
    link_health link(start);
    EXPECT_EQ(link.tick(suspect_time), link_action::try_fresh_connection);
    EXPECT_EQ(link.state(), link_state::suspect);
    EXPECT_EQ(link.fresh_connection(true, suspect_time), link_action::close);
    EXPECT_EQ(link.state(), link_state::dead);
    link.received(suspect_time);
    EXPECT_EQ(link.state(), link_state::dead);
}

TEST(link_health, a_link_that_receives_again_is_healthy)
{
    link_health link(start);
    link.tick(suspect_time);
    link.received(suspect_time);
    EXPECT_EQ(link.state(), link_state::healthy);
    EXPECT_EQ(link.fresh_connection(true, suspect_time), link_action::none);
    EXPECT_EQ(link.state(), link_state::healthy);
}

TEST(link_health, old_data_does_not_clear_a_suspect_link)
{
    link_health link(start);
    link.tick(suspect_time);
    link.received(start);
    EXPECT_EQ(link.state(), link_state::suspect);
}

TEST(link_health, long_silence_closes_a_link_even_without_a_fresh_one)
{
    link_health link(start);
    link.tick(suspect_time);
    EXPECT_EQ(link.fresh_connection(false, suspect_time), link_action::none);
    EXPECT_EQ(link.tick(start + link_health::dead_after), link_action::close);
}

} // namespace chicory::online
