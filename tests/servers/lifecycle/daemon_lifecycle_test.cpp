#include "servers/lifecycle/lifecycle.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <csignal>

namespace chicory
{
namespace
{

struct recorded_lifecycle
{
    std::vector<std::string> steps;
    std::string unfinished;
    daemon_lifecycle lifecycle;

    recorded_lifecycle()
        : lifecycle(
              {[this]()
               {
                   this->steps.emplace_back("announce");
               },
               [this]()
               {
                   this->steps.emplace_back("drain");
               },
               [this]()
               {
                   this->steps.emplace_back("stop");
               },
               [this]()
               {
                   this->steps.emplace_back("warn");
                   return this->unfinished;
               }})
    {
    }
};

TEST(daemon_lifecycle, announces_drains_and_stops)
{
    recorded_lifecycle daemon;
    EXPECT_EQ(daemon.lifecycle.state(), daemon_state::starting);
    daemon.lifecycle.on_started();
    EXPECT_EQ(daemon.lifecycle.state(), daemon_state::serving);
    daemon.lifecycle.on_stop_signal();
    EXPECT_EQ(daemon.lifecycle.state(), daemon_state::announcing);
    daemon.lifecycle.on_drained();
    EXPECT_EQ(daemon.lifecycle.state(), daemon_state::announcing);
    daemon.lifecycle.on_announced();
    EXPECT_EQ(daemon.lifecycle.state(), daemon_state::draining);
    daemon.lifecycle.on_drained();
    EXPECT_EQ(daemon.lifecycle.state(), daemon_state::stopped);
    const std::vector<std::string> expected = {"announce", "drain", "stop"};
    EXPECT_EQ(daemon.steps, expected);
}

TEST(daemon_lifecycle, second_signal_stops_immediately_with_a_warning)
{
    for (const bool announced : {false, true})
    {
        recorded_lifecycle daemon;
        daemon.lifecycle.on_started();
        daemon.lifecycle.on_stop_signal();
        if (announced)
        {
            daemon.lifecycle.on_announced();
        }
        daemon.lifecycle.on_stop_signal();
        EXPECT_EQ(daemon.lifecycle.state(), daemon_state::stopped);
        const std::vector<std::string> expected_end = {"warn", "stop"};
        const std::vector<std::string> last(
            daemon.steps.end() - 2, daemon.steps.end());
        EXPECT_EQ(last, expected_end);
        daemon.lifecycle.on_stop_signal();
        EXPECT_EQ(daemon.steps.back(), "stop");
    }
}

TEST(daemon_lifecycle, hooks_may_report_immediately)
{
    daemon_lifecycle* handle = nullptr;
    bool stopped = false;
    daemon_lifecycle lifecycle(
        {[&]()
         {
             handle->on_announced();
         },
         [&]()
         {
             handle->on_drained();
         },
         [&]()
         {
             stopped = true;
         },
         []()
         {
             return std::string();
         }});
    handle = &lifecycle;
    lifecycle.on_started();
    lifecycle.on_stop_signal();
    EXPECT_TRUE(stopped);
    EXPECT_EQ(lifecycle.state(), daemon_state::stopped);
}

TEST(stop_signals, forward_each_signal)
{
    boost::asio::io_context context;
    daemon_lifecycle lifecycle(
        {[]()
         {
             std::raise(SIGTERM);
         },
         []() {},
         [&]()
         {
             context.stop();
         },
         []()
         {
             return std::string();
         }});
    const stop_signals signals(context, lifecycle);
    lifecycle.on_started();
    std::raise(SIGTERM);
    context.run();
    EXPECT_EQ(lifecycle.state(), daemon_state::stopped);
}

} // namespace
} // namespace chicory
