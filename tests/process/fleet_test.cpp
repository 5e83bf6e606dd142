#include "tests/process/fleet.hpp"
#include "tests/process/http_call.hpp"
#include "tests/process/wait.hpp"
#include "tests/standins/generated_response.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace chicory::process
{

TEST(fleet_test, serves_an_online_request_through_every_gate)
{
    const std::string key = "member-key";
    fleet test_fleet("fleet-test", 1);
    test_fleet.add_runner("llm", "krems", {});
    test_fleet.add_runner("llm", "wien", {}, true);
    test_fleet.add_entry_vm("krems");
    test_fleet.add_entry_vm("wien", true);
    test_fleet.publish_vms();
    ASSERT_EQ(test_fleet.set_pool("llm", {"service=llm"}), 0);
    ASSERT_EQ(
        test_fleet.set_route(
            "letters", {"member=kremstal", "pool=llm", key_digest(key)}),
        0);
    ASSERT_TRUE(test_fleet.wait_until_serving("letters", key));
    EXPECT_GE(test_fleet.read_runs().size(), 2U);
}

namespace
{

/// Returns the number of occurrences of a text in a log.
std::size_t count_occurrences(const std::string& log, const std::string& text)
{
    std::size_t count = 0;
    for (std::size_t position = log.find(text); position != std::string::npos;
         position = log.find(text, position + 1))
    {
        ++count;
    }
    return count;
}

} // namespace

TEST(fleet_test, the_client_shows_the_owner_and_the_load_of_each_runner)
{
    const std::string key = "member-key";
    fleet test_fleet("fleet-runner-list", 1);
    test_fleet.add_runner("llm", "krems", {});
    test_fleet.add_entry_vm("krems");
    test_fleet.add_entry_vm("wien");
    test_fleet.publish_vms();
    ASSERT_EQ(test_fleet.set_pool("llm", {"service=llm"}), 0);
    ASSERT_EQ(
        test_fleet.set_route(
            "letters", {"member=kremstal", "pool=llm", key_digest(key)}),
        0);
    ASSERT_TRUE(test_fleet.wait_until_serving("letters", key));

    boost::json::object shown;
    const auto list = [&]()
    {
        std::string output;
        EXPECT_EQ(
            test_fleet.run_chicoryctl({"--json", "runner", "list"}, output), 0);
        const boost::json::value report = boost::json::parse(output);
        shown = report.at("runners").at(0).as_object();
        return shown.at("owner").is_string() && shown.at("slots").is_int64();
    };
    ASSERT_TRUE(wait_until(list)) << boost::json::serialize(shown);
    const std::string owner(shown.at("owner").as_string());
    EXPECT_TRUE(
        owner == test_fleet.entry(0).id || owner == test_fleet.entry(1).id);
    EXPECT_EQ(shown.at("slots").as_int64(), 4);
    EXPECT_GT(shown.at("limit").as_int64(), 0);
    EXPECT_EQ(shown.at("state").as_string(), "live");
    EXPECT_FALSE(shown.at("leaving").as_bool());

    // Without its gate the owner reports nothing; the other fields are still
    // shown.
    for (std::size_t index = 0; index < test_fleet.entry_count(); ++index)
    {
        test_fleet.entry(index).daemons.at(daemon::gate)->signal(SIGKILL);
    }
    ASSERT_TRUE(wait_until(
        [&]()
        {
            return !list() && shown.at("owner").is_null();
        }));
    EXPECT_EQ(shown.at("slots").as_int64(), 4);
}

TEST(fleet_test, a_vm_without_its_gate_is_not_listed_as_an_entry)
{
    const std::string key = "member-key";
    fleet test_fleet("fleet-gate-lost", 1);
    test_fleet.add_runner("llm", "krems", {});
    entry_vm& first = test_fleet.add_entry_vm("krems");
    entry_vm& second = test_fleet.add_entry_vm("wien");
    test_fleet.publish_vms();
    ASSERT_EQ(test_fleet.set_pool("llm", {"service=llm"}), 0);
    ASSERT_EQ(
        test_fleet.set_route(
            "letters", {"member=kremstal", "pool=llm", key_digest(key)}),
        0);
    ASSERT_TRUE(test_fleet.wait_until_serving("letters", key));
    const std::string url = ":" + std::to_string(first.gate_http) + "\"";
    const auto lists_first = [&]()
    {
        const net::http_response response =
            get(second.gate_http, "/v1/entrypoints");
        return response.status == 200 &&
               response.body.find(url) != std::string::npos;
    };
    EXPECT_TRUE(wait_until(lists_first));
    first.daemons.at(daemon::gate)->signal(SIGKILL);
    EXPECT_TRUE(wait_until(
        [&]()
        {
            const int status = get(second.gate_http, "/healthz").status;
            return status == 200 && !lists_first();
        }));
    // A control process that starts while the gate of its VM is down announces
    // the VM as alive only until it detects that the gate is missing.
    const auto count_alive = [&]()
    {
        return count_occurrences(
            second.daemons.at(daemon::control)->output(),
            " vm_alive program=chicory-control vm=" + second.id +
                " vm=" + first.id + " ");
    };
    const std::size_t before = count_alive();
    first.daemons.at(daemon::control)->signal(SIGKILL);
    first.daemons.at(daemon::control)->wait();
    test_fleet.start_daemon(first, daemon::control);
    ASSERT_TRUE(wait_until(
        [&]()
        {
            return count_alive() > before;
        }));
    EXPECT_TRUE(wait_until(
        [&]()
        {
            return !lists_first();
        }));
    test_fleet.start_daemon(first, daemon::gate);
    EXPECT_TRUE(wait_until(lists_first));
}

TEST(fleet_test, a_second_signal_stops_a_daemon_immediately_with_a_warning)
{
    fleet test_fleet("fleet-second-signal", 1);
    entry_vm& vm = test_fleet.add_entry_vm("krems");
    test_fleet.publish_vms();
    const auto gate_serves = [&]()
    {
        return get(vm.gate_http, "/healthz").status == 200;
    };
    ASSERT_TRUE(wait_until(gate_serves));
    for (const daemon which : {daemon::gate, daemon::batch, daemon::control})
    {
        child_process& process = *vm.daemons.at(which);
        const auto has_logged = [&process](const std::string& text)
        {
            return process.output().find(text) != std::string::npos;
        };
        ASSERT_TRUE(wait_until(
            [&]()
            {
                return has_logged("process_started");
            }));
        process.signal(SIGTERM);
        process.signal(SIGINT);
        EXPECT_EQ(process.wait(), 0);
        EXPECT_TRUE(
            has_logged("work_cut_off") || has_logged("process_stopped"));
    }
    EXPECT_NE(
        vm.daemons.at(daemon::gate)->output().find("work_cut_off"),
        std::string::npos);
}

} // namespace chicory::process
