#include "tests/process/fleet.hpp"
#include "tests/process/wait.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace chicory::process
{
namespace
{

using steady = std::chrono::steady_clock;

/// Number of entry VMs in the fleet of one organisation.
constexpr std::size_t entry_vms = 13;

/// All tests of this file share one fleet.
class control_fleet_test : public testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        test_fleet = std::make_unique<fleet>("control-fleet", 1);
        const std::vector<std::string> zones = {
            "krems", "stpoelten", "wien", "tulln"};
        for (int count = 0; count < 3; ++count)
        {
            test_fleet->add_runner("engines", "krems", {});
        }
        for (std::size_t index = 0; index < entry_vms; ++index)
        {
            test_fleet->add_entry_vm(zones.at(index % zones.size()));
        }
        test_fleet->publish_vms();
        ASSERT_EQ(test_fleet->set_pool("engines", {"service=engines"}), 0);
        revision = 1;
        ASSERT_TRUE(wait_for_revision());
    }

    static void TearDownTestSuite()
    {
        test_fleet.reset();
    }

    static child_process& control(std::size_t index)
    {
        return *test_fleet->entry(index).daemons.at(daemon::control);
    }

    /// Returns whether a process has logged an event with these consecutive
    /// fields.
    static bool has_logged(
        std::size_t index,
        const std::string& event_name,
        const std::string& fields)
    {
        std::istringstream lines(control(index).output());
        std::string line;
        while (std::getline(lines, line))
        {
            line += " ";
            const bool found =
                line.find(" " + event_name + " ") != std::string::npos &&
                line.find(" " + fields + " ") != std::string::npos;
            if (found)
            {
                return true;
            }
        }
        return false;
    }

    /// Waits until all control processes except one have logged an event.
    static bool wait_for_all(
        const std::string& event_name,
        const std::string& fields,
        std::size_t except)
    {
        return wait_until(
            [&]()
            {
                for (std::size_t index = 0; index < entry_vms; ++index)
                {
                    const bool is_missing =
                        index != except &&
                        !has_logged(index, event_name, fields);
                    if (is_missing)
                    {
                        return false;
                    }
                }
                return true;
            });
    }

    static bool has_adopted(std::size_t index)
    {
        return has_logged(
            index,
            "configuration_adopted",
            "revision=" + std::to_string(revision));
    }

    static bool wait_for_revision()
    {
        return wait_for_all(
            "configuration_adopted",
            "revision=" + std::to_string(revision),
            entry_vms);
    }

    static bool edit(std::int64_t slots)
    {
        ++revision;
        return test_fleet->set_pool(
                   "engines", {"slots_per_runner=" + std::to_string(slots)}) ==
               0;
    }

    static void report(const std::string& action, steady::time_point start)
    {
        const std::chrono::duration<double> elapsed = steady::now() - start;
        std::cout << action << ": " << elapsed.count() << " s\n";
    }

    static std::unique_ptr<fleet> test_fleet;
    static std::int64_t revision;
};

std::unique_ptr<fleet> control_fleet_test::test_fleet;
std::int64_t control_fleet_test::revision = 0;

TEST_F(control_fleet_test, edit_is_adopted_by_all)
{
    for (std::int64_t slots = 2; slots < 7; ++slots)
    {
        ASSERT_TRUE(edit(slots));
        const steady::time_point start = steady::now();
        ASSERT_TRUE(wait_for_revision());
        report("edit adopted by 13 processes", start);
    }
}

TEST_F(control_fleet_test, uses_bounded_memory)
{
    const std::int64_t before = control(0).processor_ms();
    const steady::time_point start = steady::now();
    std::this_thread::sleep_for(std::chrono::seconds(5));
    const std::chrono::duration<double> elapsed = steady::now() - start;
    const std::int64_t used = control(0).processor_ms() - before;
    std::cout << "control process: "
              << static_cast<double>(used) / elapsed.count() / 10.0
              << "% of a core, " << control(0).resident_kb() << " KB\n";
    EXPECT_LT(control(0).resident_kb(), 256 * 1024);
}

TEST_F(control_fleet_test, failure_and_restart_are_seen_by_all)
{
    constexpr std::size_t victim = 3;
    test_fleet->kill(test_fleet->entry(victim));
    const steady::time_point start = steady::now();
    ASSERT_TRUE(wait_for_all("vm_dead", "vm=entry-3", victim));
    report("failure detected by 12 processes", start);
    test_fleet->restart(test_fleet->entry(victim));
    test_fleet->publish_vms();
    EXPECT_TRUE(wait_until(
        [&]()
        {
            return has_adopted(victim);
        }));
}

TEST_F(control_fleet_test, starts_from_peers_while_the_table_is_down)
{
    constexpr std::size_t restarted = 5;
    test_fleet->set_platform_fault(
        {{"service", "table"}, {"mode", "down"}, {"count", 0}});
    test_fleet->kill(test_fleet->entry(restarted));
    test_fleet->restart(test_fleet->entry(restarted));
    EXPECT_TRUE(wait_until(
        [&]()
        {
            return has_adopted(restarted);
        }));
    test_fleet->set_platform_fault(
        {{"service", "table"}, {"mode", "up"}, {"count", 0}});
}

TEST_F(control_fleet_test, engines_load_the_models_of_the_pool)
{
    ++revision;
    ASSERT_EQ(
        test_fleet->set_pool(
            "engines",
            {"engines_check_fencing=true",
             R"(wanted_models={"letters":2,"tiles":1})"}),
        0);
    const auto loaded = [&]()
    {
        std::map<std::string, int> models;
        for (std::size_t index = 0; index < test_fleet->runner_count(); ++index)
        {
            const boost::json::value report =
                parse_body(get(test_fleet->runner(index).http, "/load"));
            ++models[std::string(report.at("model").as_string())];
        }
        return models["letters"] == 2 && models["tiles"] == 1;
    };
    EXPECT_TRUE(wait_until(loaded));
}

/// The issuers of three pools, which usually run on three VMs, request more
/// weights than the rate limit of the weight store allows.
TEST_F(control_fleet_test, pools_share_the_weight_store)
{
    const std::vector<std::string> pools = {"first", "second", "third"};
    constexpr std::size_t engines_of_pool = 3;
    const std::size_t first_index = test_fleet->runner_count();
    for (const std::string& pool : pools)
    {
        for (std::size_t count = 0; count < engines_of_pool; ++count)
        {
            test_fleet->add_runner(pool, "krems", {});
        }
    }
    test_fleet->publish_vms();
    const steady::time_point start = steady::now();
    for (const std::string& pool : pools)
    {
        ++revision;
        ASSERT_EQ(
            test_fleet->set_pool(
                pool,
                {"service=" + pool,
                 "engines_check_fencing=true",
                 R"(wanted_models={"m":3})",
                 R"(wanted_versions={"m":"v2"})",
                 R"(wanted_adapters={"m":["x","y"]})"}),
            0);
    }
    const auto is_done = [&](std::size_t index)
    {
        const boost::json::value report =
            parse_body(get(test_fleet->runner(index).http, "/load"));
        return report.at("model") == "m" && report.at("version") == "v2" &&
               report.at("adapters").as_array().size() == 2;
    };
    for (std::size_t index = first_index; index < test_fleet->runner_count();
         ++index)
    {
        EXPECT_TRUE(wait_until(
            [&]()
            {
                return is_done(index);
            }));
    }
    report("9 engines loaded version and adapters", start);
    const boost::json::value log = test_fleet->read_platform_log();
    const boost::json::object& fetches = log.at("weight_fetches").as_object();
    std::cout << "weight store: " << boost::json::serialize(fetches) << ", "
              << log.at("weight_refusals").as_int64() << " refused\n";
    // Each engine fetches the version and both adapters exactly once.
    for (const std::string name : {"m/v2", "m/x", "m/y"})
    {
        EXPECT_EQ(fetches.at(name).as_int64(), 9);
    }
}

TEST_F(control_fleet_test, signal_announces_leaving_and_stops)
{
    constexpr std::size_t stopping_vm = 7;
    control(stopping_vm).signal(SIGTERM);
    EXPECT_EQ(control(stopping_vm).wait(), 0);
    EXPECT_TRUE(has_logged(
        stopping_vm,
        "process_draining",
        "vm=" + test_fleet->entry(stopping_vm).id));
    EXPECT_TRUE(has_logged(
        stopping_vm,
        "process_stopped",
        "vm=" + test_fleet->entry(stopping_vm).id));
    EXPECT_FALSE(
        control(stopping_vm).output().find("cut_off=") != std::string::npos);
    EXPECT_TRUE(wait_for_all("vm_leaving", "vm=entry-7", stopping_vm));
}

TEST_F(control_fleet_test, second_signal_stops_immediately)
{
    constexpr std::size_t stopping_vm = 8;
    control(stopping_vm).signal(SIGTERM);
    ASSERT_TRUE(wait_until(
        [&]()
        {
            return has_logged(
                stopping_vm,
                "process_draining",
                "vm=" + test_fleet->entry(stopping_vm).id);
        }));
    control(stopping_vm).signal(SIGTERM);
    EXPECT_EQ(control(stopping_vm).wait(), 0);
    EXPECT_TRUE(
        control(stopping_vm).output().find("cut_off=") != std::string::npos);
}

} // namespace
} // namespace chicory::process
