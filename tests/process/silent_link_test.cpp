// Guards against new requests that wait on a link between two gates that has
// become silent, while new connections work: the proxy stops forwarding on the
// open connections only.

#include "tests/process/fleet.hpp"
#include "tests/process/http_call.hpp"
#include "tests/process/wait.hpp"
#include "tests/standins/generated_response.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace chicory::process
{

namespace
{

namespace json = boost::json;

const std::string completions = "/v1/completions";
const std::string key = "member-key";
constexpr std::int64_t long_response_tokens = 1500;
constexpr std::int64_t token_ms = 20;
constexpr int new_requests = 6;
constexpr std::chrono::minutes call_limit(2);

net::http_request make_request(const std::string& name, std::int64_t tokens)
{
    json::object body;
    body["model"] = "letters";
    body["prompt"] = name;
    body["max_tokens"] = tokens;
    body["stream"] = true;
    body["metadata"] = json::object{{"custom_id", name}};
    net::http_request request;
    request.method = "POST";
    request.target = completions;
    request.headers["authorization"] = "Bearer " + key;
    request.headers["content-type"] = "application/json";
    request.headers["x-deadline-ms"] = "110000";
    request.body = json::serialize(body);
    return request;
}

bool is_expected_response(
    const partial_response& received, const net::http_request& request)
{
    return received.is_complete &&
           received.response.body ==
               standin::generated_response(completions, request.body)
                   .all_bytes();
}

/// Starts two entry VMs in two zones. The runner is in the zone of the second
/// VM, so that requests to the first VM pass over the link between the gates.
class silent_link_test : public testing::Test
{
protected:
    silent_link_test() : test_fleet("silent-link", 1)
    {
        runner_options options;
        options.token_ms = token_ms;
        this->test_fleet.add_runner("llm", "wien", options);
        this->test_fleet.add_entry_vm("krems", true);
        this->test_fleet.add_entry_vm("wien", true);
        this->test_fleet.publish_vms();
    }

    bool start()
    {
        return this->test_fleet.set_pool("llm", {"service=llm"}) == 0 &&
               this->test_fleet.set_route(
                   "letters",
                   {"member=kremstal", "pool=llm", key_digest(key)}) == 0 &&
               this->test_fleet.wait_until_serving("letters", key);
    }

    std::vector<logged_run> find_runs(const std::string& name)
    {
        std::vector<logged_run> runs = this->test_fleet.read_runs();
        std::erase_if(
            runs,
            [&name](const logged_run& run)
            {
                return run.custom_id != name || run.outcome == "refused";
            });
        return runs;
    }

    std::string gate_output()
    {
        return this->test_fleet.entry(0).daemons.at(daemon::gate)->output();
    }

    fleet test_fleet;
};

} // namespace

TEST_F(silent_link_test, new_requests_use_a_new_link_and_streams_are_resumed)
{
    ASSERT_TRUE(this->start());
    const std::uint16_t port = this->test_fleet.entry(0).gate_http;
    const net::http_request stream = make_request("long", long_response_tokens);
    partial_response streamed;
    std::thread caller(
        [&streamed, &stream, port]()
        {
            streamed = call_keeping_partial_response(port, stream, call_limit);
        });
    EXPECT_TRUE(wait_until(
        [this]()
        {
            return this->find_runs("long").size() == 1;
        }));
    this->test_fleet.call_proxy(
        "/faults", {{"leg", "entry-1-link"}, {"fault", "silence"}});
    for (int number = 0; number < new_requests; ++number)
    {
        const std::string name = "new-" + std::to_string(number);
        const net::http_request request = make_request(name, 1);
        const partial_response received =
            call_keeping_partial_response(port, request, call_limit);
        EXPECT_TRUE(is_expected_response(received, request))
            << received.response.body;
        EXPECT_EQ(this->find_runs(name).size(), 1U);
    }
    // No new request waited for the stream on the silent link.
    ASSERT_EQ(this->find_runs("long").size(), 1U);
    EXPECT_EQ(this->find_runs("long").front().outcome, "running");
    caller.join();
    EXPECT_TRUE(is_expected_response(streamed, stream));
    EXPECT_EQ(this->find_runs("long").size(), 1U);
    EXPECT_NE(this->gate_output().find("link_silent"), std::string::npos);
}

} // namespace chicory::process
