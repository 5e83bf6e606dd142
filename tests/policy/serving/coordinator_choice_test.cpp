#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

// Guards against requests that wait for a coordinator which has just restarted.
// All nodes lose power and start again within 0.3 s of each other. The store
// still lists the previous nodes, so the first nodes to start ask a coordinator
// that is not running yet.
TEST(coordinator_health_test, a_restarted_node_is_asked_again_immediately)
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
