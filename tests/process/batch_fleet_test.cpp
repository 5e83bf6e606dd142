#include "tests/process/fleet.hpp"
#include "tests/process/http_call.hpp"
#include "tests/process/wait.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace chicory::process
{

namespace
{

const std::string key = "member-key";
constexpr std::size_t items = 24;

/// Starts two batch processes and two runners.
class batch_fleet_test : public testing::Test
{
protected:
    fleet test_fleet{"batch-fleet", 3};
    std::string job;

    void start(std::int64_t token_ms)
    {
        runner_options options;
        options.token_ms = token_ms;
        this->test_fleet.add_runner("llm", "krems", options);
        this->test_fleet.add_runner("llm", "wien", options);
        this->test_fleet.add_entry_vm("krems");
        this->test_fleet.add_entry_vm("wien");
        this->test_fleet.publish_vms();
        ASSERT_EQ(this->test_fleet.set_pool("llm", {"service=llm"}), 0);
        ASSERT_EQ(
            this->test_fleet.set_route(
                "letters", {"member=kremstal", "pool=llm", key_digest(key)}),
            0);
        ASSERT_TRUE(this->test_fleet.wait_until_serving("letters", key));
    }

    net::http_response send_request(
        std::size_t entry,
        const std::string& method,
        const std::string& target,
        const std::string& body = {})
    {
        net::http_request request;
        request.method = method;
        request.target = "/v1/batches" + target;
        request.headers["authorization"] = "Bearer " + key;
        request.headers["content-type"] = "application/jsonl";
        request.headers["idempotency-key"] = "job";
        request.body = body;
        return call(
            this->test_fleet.entry(entry).batch_http, std::move(request));
    }

    void submit(std::int64_t tokens)
    {
        std::string lines;
        for (std::size_t i = 0; i < items; ++i)
        {
            const std::string number = std::to_string(i);
            lines += R"({"custom_id":"item-)" + number +
                     R"(","url":"/v1/completions","body":{"prompt":"letter )" +
                     number + R"(","max_tokens":)" + std::to_string(tokens) +
                     "}}\n";
        }
        ASSERT_TRUE(wait_until(
            [this, &lines]()
            {
                const boost::json::value response = parse_body(
                    this->send_request(0, "POST", "?route=letters", lines));
                if (!response.is_object() ||
                    !response.as_object().contains("id"))
                {
                    return false;
                }
                this->job =
                    boost::json::value_to<std::string>(response.at("id"));
                return true;
            }));
    }

    bool has_status(const std::string& status)
    {
        const boost::json::value response =
            parse_body(this->send_request(1, "GET", "/" + this->job));
        return response.is_object() &&
               response.as_object().contains("status") &&
               response.at("status") == boost::json::value(status);
    }

    std::size_t count_runs(const std::string& outcome)
    {
        const std::vector<logged_run> runs = this->test_fleet.read_runs();
        return static_cast<std::size_t>(
            std::ranges::count(runs, outcome, &logged_run::outcome));
    }
};

} // namespace

TEST_F(batch_fleet_test, a_cancel_stops_the_runs_on_the_runners)
{
    // Without the cancel, each item would run for ten minutes.
    this->start(1000);
    this->submit(600);
    ASSERT_TRUE(wait_until(
        [this]()
        {
            return this->count_runs("running") > 0;
        }));
    EXPECT_EQ(
        this->send_request(1, "POST", "/" + this->job + "/cancel").status, 200);
    EXPECT_TRUE(wait_until(
        [this]()
        {
            return this->count_runs("running") == 0;
        }));
    EXPECT_GT(this->count_runs("cancelled"), 0U);
    EXPECT_TRUE(this->has_status("cancelled"));
    EXPECT_EQ(
        this->send_request(1, "GET", "/" + this->job + "/results").body, "");
}

TEST_F(
    batch_fleet_test,
    an_outage_of_both_stores_neither_drops_nor_duplicates_results)
{
    this->start(20);
    const std::size_t before = this->count_runs("completed");
    this->submit(50);
    ASSERT_TRUE(wait_until(
        [this]()
        {
            return this->count_runs("running") > 0;
        }));
    for (const char* service : {"table", "object"})
    {
        this->test_fleet.set_platform_fault(
            {{"service", service}, {"mode", "down"}});
    }
    // Leased work continues to its end without the stores.
    EXPECT_TRUE(wait_until(
        [this]()
        {
            return this->count_runs("running") == 0;
        }));
    for (const char* service : {"table", "object"})
    {
        this->test_fleet.set_platform_fault(
            {{"service", service}, {"mode", "up"}});
    }
    ASSERT_TRUE(wait_until(
        [this]()
        {
            return this->has_status("completed");
        }));
    const std::string results =
        this->send_request(0, "GET", "/" + this->job + "/results").body;
    EXPECT_EQ(
        static_cast<std::size_t>(std::ranges::count(results, '\n')), items);
    for (std::size_t i = 0; i < items; ++i)
    {
        const std::string name = "\"item-" + std::to_string(i) + "\"";
        const std::size_t first = results.find(name);
        ASSERT_NE(first, std::string::npos) << name;
        EXPECT_EQ(results.find(name, first + 1), std::string::npos) << name;
    }
    EXPECT_EQ(this->count_runs("completed") - before, items);
}

} // namespace chicory::process
