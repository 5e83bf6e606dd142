#include "servers/lifecycle/lifecycle.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <csignal>

namespace chicory
{
namespace
{

struct recorded_life
{
    std::vector<std::string> steps;
    std::string unfinished;
    daemon_lifecycle life;

    recorded_life()
        : life(
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
    recorded_life daemon;
    EXPECT_EQ(daemon.life.state(), daemon_state::starting);
    daemon.life.on_started();
    EXPECT_EQ(daemon.life.state(), daemon_state::serving);
    daemon.life.on_stop_signal();
    EXPECT_EQ(daemon.life.state(), daemon_state::announcing);
    daemon.life.on_drained();
    EXPECT_EQ(daemon.life.state(), daemon_state::announcing);
    daemon.life.on_announced();
    EXPECT_EQ(daemon.life.state(), daemon_state::draining);
    daemon.life.on_drained();
    EXPECT_EQ(daemon.life.state(), daemon_state::stopped);
    const std::vector<std::string> expected = {"announce", "drain", "stop"};
    EXPECT_EQ(daemon.steps, expected);
}

TEST(daemon_lifecycle, second_signal_stops_at_once_with_a_warning)
{
    for (const bool announced : {false, true})
    {
        recorded_life daemon;
        daemon.life.on_started();
        daemon.life.on_stop_signal();
        if (announced)
        {
            daemon.life.on_announced();
        }
        daemon.life.on_stop_signal();
        EXPECT_EQ(daemon.life.state(), daemon_state::stopped);
        const std::vector<std::string> end = {"warn", "stop"};
        const std::vector<std::string> last(
            daemon.steps.end() - 2, daemon.steps.end());
        EXPECT_EQ(last, end);
        daemon.life.on_stop_signal();
        EXPECT_EQ(daemon.steps.back(), "stop");
    }
}

TEST(daemon_lifecycle, hooks_may_report_at_once)
{
    daemon_lifecycle* handle = nullptr;
    bool stopped = false;
    daemon_lifecycle life(
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
    handle = &life;
    life.on_started();
    life.on_stop_signal();
    EXPECT_TRUE(stopped);
    EXPECT_EQ(life.state(), daemon_state::stopped);
}

TEST(stop_signals, pass_each_signal_on)
{
    boost::asio::io_context context;
    daemon_lifecycle life(
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
    const stop_signals signals(context, life);
    life.on_started();
    std::raise(SIGTERM);
    context.run();
    EXPECT_EQ(life.state(), daemon_state::stopped);
}

} // namespace
} // namespace chicory
