#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

// Load pattern: all nodes lose power and start within 0.3 s of each other; the
// store still names the nodes of before, so that the first ones up ask a
// coordinator that is not up yet.
TEST(coordinator_health_test, a_node_that_starts_anew_is_asked_again_at_once)
{
    coordinator_health contact;
    contact.set_nodes({{"a", 1}, {"b", 1}});
    time_point now{};
    contact.on_sent(now, "a");
    contact.on_sent(now, "b");
    now += 200ms;
    EXPECT_FALSE(contact.is_responding(now, "a"));
    EXPECT_FALSE(contact.is_responding(now, "b"));
    contact.set_nodes({{"a", 2}, {"b", 1}});
    EXPECT_TRUE(contact.is_responding(now, "a"));
    EXPECT_FALSE(contact.is_responding(now, "b"));
}

} // namespace

} // namespace chicory::serving
