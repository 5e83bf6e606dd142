// Guards against a request that crashes every runner it reaches. Copies of it
// arrive at three gates concurrently; each gate starts its copy before it knows
// of the first crash, so together they may crash more than two runners.

#include "tests/process/fleet.hpp"
#include "tests/process/http_call.hpp"
#include "tests/process/wait.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace chicory::process
{

namespace
{

namespace json = boost::json;

const std::string key = "member-key";
const std::string crash_mark = "crashing-copy";
const std::vector<std::string> zones{"krems", "wien", "tulln"};
constexpr std::size_t max_crashes = 2;
constexpr std::int64_t first_token_ms = 300;
constexpr std::chrono::minutes call_limit(1);

net::http_request make_request()
{
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers["authorization"] = "Bearer " + key;
    request.headers["content-type"] = "application/json";
    request.headers["x-deadline-ms"] = "20000";
    request.body = json::serialize(json::object{
        {"model", "letters"}, {"prompt", crash_mark}, {"max_tokens", 5}});
    return request;
}

} // namespace

TEST(crashing_copies_test, three_concurrent_copies_crash_at_most_two_runners)
{
    fleet test_fleet("crashing-copies", 1);
    runner_options options;
    options.crash_mark = crash_mark;
    options.first_token_ms = first_token_ms;
    for (const std::string& zone : zones)
    {
        test_fleet.add_runner("llm", zone, options);
        test_fleet.add_runner("llm", zone, options);
        test_fleet.add_entry_vm(zone);
    }
    test_fleet.publish_vms();
    ASSERT_EQ(test_fleet.set_pool("llm", {"service=llm"}), 0);
    ASSERT_EQ(
        test_fleet.set_route(
            "letters", {"member=kremstal", "pool=llm", key_digest(key)}),
        0);
    ASSERT_TRUE(test_fleet.wait_until_serving("letters", key));
    std::vector<net::http_response> responses(zones.size());
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < zones.size(); ++index)
    {
        callers.emplace_back(
            [&responses, &test_fleet, index]()
            {
                const std::uint16_t port = test_fleet.entry(index).gate_http;
                responses[index] = call(port, make_request(), call_limit);
            });
    }
    for (std::thread& caller : callers)
    {
        caller.join();
    }
    for (const net::http_response& response : responses)
    {
        EXPECT_GE(response.status, 400);
    }
    std::size_t crashed = 0;
    for (std::size_t index = 0; index < test_fleet.runner_count(); ++index)
    {
        crashed += test_fleet.runner(index).server->is_running() ? 0 : 1;
    }
    EXPECT_LE(crashed, max_crashes);
}

} // namespace chicory::process
