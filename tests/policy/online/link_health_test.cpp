#include "policy/online/online.hpp"

#include <gtest/gtest.h>

namespace chicory::online
{

namespace
{

constexpr time_point start = time_point(std::chrono::hours(1));
constexpr time_point late = start + link_health::suspect_after;

} // namespace

TEST(link_health, heartbeats_are_sent_at_their_interval)
{
    link_health link(start);
    EXPECT_EQ(link.tick(start), link_action::none);
    const time_point due = start + link_health::heartbeat_interval;
    EXPECT_EQ(link.tick(due), link_action::send_heartbeat);
    EXPECT_EQ(link.tick(due), link_action::none);
}

TEST(link_health, a_silent_link_is_dead_once_a_fresh_one_answers)
{
    link_health link(start);
    EXPECT_EQ(link.tick(late), link_action::try_fresh_connection);
    EXPECT_EQ(link.state(), link_state::suspect);
    EXPECT_EQ(link.fresh_connection(true, late), link_action::close);
    EXPECT_EQ(link.state(), link_state::dead);
    link.received(late);
    EXPECT_EQ(link.state(), link_state::dead);
}

TEST(link_health, a_link_that_speaks_again_is_kept)
{
    link_health link(start);
    link.tick(late);
    link.received(late);
    EXPECT_EQ(link.state(), link_state::healthy);
    EXPECT_EQ(link.fresh_connection(true, late), link_action::none);
    EXPECT_EQ(link.state(), link_state::healthy);
}

TEST(link_health, old_news_does_not_clear_a_doubt)
{
    link_health link(start);
    link.tick(late);
    link.received(start);
    EXPECT_EQ(link.state(), link_state::suspect);
}

TEST(link_health, long_silence_ends_a_link_even_without_a_fresh_one)
{
    link_health link(start);
    link.tick(late);
    EXPECT_EQ(link.fresh_connection(false, late), link_action::none);
    EXPECT_EQ(link.tick(start + link_health::dead_after), link_action::close);
}

} // namespace chicory::online
