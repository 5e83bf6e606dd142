// Guards against requests that crash one runner after the other because they
// have a part of their prompts in common, though no two of them are alike.

#include "servers/node/node.hpp"
#include "tests/process/http_call.hpp"
#include "tests/standins/engine_standin.hpp"
#include "tests/standins/store_standin.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chicory::node
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Maximum time of each wait in a test. A condition that is not met by then
/// fails the test.
constexpr std::chrono::seconds max_wait(30);
constexpr std::size_t runner_count = 6;
/// Number of runners that requests with one part may crash.
constexpr std::size_t max_crashes = 5;

const std::string configuration =
    R"({"version":1,"routes":[{"name":"ask","host":"a.example",
    "prefix":"/ask/","route_kind":"streaming","timeout_ms":5000,
    "target_latency_ms":1000,"service":"chat","max_attempts":2,
    "resumable":true},{"name":"other","host":"b.example",
    "prefix":"/ask/","route_kind":"streaming","timeout_ms":5000,
    "target_latency_ms":1000,"service":"chat","max_attempts":2,
    "resumable":true}],"services":[{"name":"chat","engine":{"slots":8}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":100000,
    "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

class deadly_part_test : public ::testing::Test
{
protected:
    deadly_part_test() : store(this->io), http(this->io.get_executor())
    {
        this->store.put("op", "", "config", configuration);
        for (std::size_t index = 0; index < runner_count; ++index)
        {
            this->runners.push_back(std::make_unique<standins::engine_standin>(
                this->io, "i-" + std::to_string(index)));
            standins::engine_standin& runner = *this->runners.back();
            runner.deadly_part = "dead";
            runner.listen();
            this->store.put("servers", "", runner.id(), runner.entry("ready"));
        }
        this->store_endpoint = {"127.0.0.1", this->store.listen()};
    }

    /// Starts a node and waits until it is ready.
    void start_node(const std::string& vm_id)
    {
        node_settings settings;
        settings.vm_id = vm_id;
        settings.zone = "z1";
        settings.region = "r1";
        settings.address = "127.0.0.1";
        for (net::endpoint* listen_endpoint :
             {&settings.requests,
              &settings.readiness,
              &settings.entry_addresses})
        {
            *listen_endpoint = {"127.0.0.1", process::find_free_port()};
        }
        settings.gossip_port = process::find_free_port();
        settings.slot_port = process::find_free_port();
        settings.peer_port = process::find_free_port();
        settings.store = this->store_endpoint;
        this->entries.push_back(settings.requests);
        this->nodes.push_back(
            std::make_unique<node_process>(this->io, settings));
        ASSERT_TRUE(this->nodes.back()->start());
        this->wait_until(
            [this, &settings]
            {
                net::http_request request;
                request.target = "/-/readyz";
                return this->send(settings.readiness, std::move(request)) ==
                       200;
            });
    }

    void wait_until(const std::function<bool()>& condition)
    {
        const time_point until = read_monotonic_clock() + duration(max_wait);
        while (!condition())
        {
            ASSERT_LT(read_monotonic_clock(), until);
            this->io.run_for(5ms);
        }
    }

    /// Returns the status of the response, or zero if it was incomplete.
    int send(net::endpoint target, net::http_request request)
    {
        bool done = false;
        int status = 0;
        asio::co_spawn(
            this->io,
            [&]() -> asio::awaitable<void>
            {
                const result<net::http_response> response =
                    co_await this->http.request(
                        std::move(target), std::move(request), max_wait);
                status = response ? response.value().status : 0;
                this->last_body = response ? response.value().body : "";
                done = true;
            },
            asio::detached);
        this->wait_until(
            [&done]
            {
                return done;
            });
        return status;
    }

    /// Sends a request through the next node. `parts` are all parts but the
    /// last, which belongs to the request itself.
    int ask(const std::string& parts, const std::string& host = "a.example")
    {
        const std::string number = std::to_string(++this->asked);
        net::http_request request;
        request.method = "POST";
        request.target = "/ask/" + number;
        request.headers["host"] = host;
        request.headers["x-attempt-id"] = "t" + number;
        request.headers["x-deadline-ms"] = "5000";
        request.headers["x-prefix-hash"] = parts + ",e" + number + ":250";
        request.body = "body " + number;
        return this->send(
            this->entries[this->asked % this->entries.size()],
            std::move(request));
    }

    std::size_t crashes() const
    {
        std::size_t sum = 0;
        for (const std::unique_ptr<standins::engine_standin>& runner :
             this->runners)
        {
            sum += runner->crashes;
        }
        return sum;
    }

    asio::io_context io{1};
    standins::store_standin store;
    net::endpoint store_endpoint;
    net::http_client http;
    std::vector<std::unique_ptr<standins::engine_standin>> runners;
    std::vector<net::endpoint> entries;
    std::vector<std::unique_ptr<node_process>> nodes;
    std::size_t asked = 0;
    /// Body of the last response, which states the reason of a refusal.
    std::string last_body;
};

// The part comes with a sound part that is rare otherwise, through two nodes.
TEST_F(deadly_part_test, different_requests_with_one_part_crash_few_runners)
{
    this->start_node("vm-1");
    this->start_node("vm-2");
    for (int round = 0; round < 12; ++round)
    {
        EXPECT_EQ(this->ask("aa:100,c" + std::to_string(round) + ":50"), 200);
        this->ask("aa:100,ab:50,dead:40");
    }
    EXPECT_LE(this->crashes(), max_crashes);
    EXPECT_EQ(this->ask("aa:100,ab:50"), 200);
    EXPECT_EQ(this->ask("aa:100,dead:40"), 503);
}

// Guards against a part that crashes runners again after all nodes restarted,
// and against a quarantine that an operator cannot end.
TEST_F(deadly_part_test, a_node_that_starts_refuses_by_the_record_until_removed)
{
    serving::trait_quarantine quarantine;
    quarantine.trait = serving::digest_parts("a.example", {"dead"}).front();
    quarantine.companions = {quarantine.trait};
    const std::string key = serving::to_text({quarantine.trait});
    constexpr std::int64_t far_future_ms = 4'000'000'000'000;
    this->store.put("quarantine", "", key, to_text(quarantine, far_future_ms));
    this->start_node("vm-1");
    // The node follows the changes of the table once it has read all records.
    this->wait_until(
        [this]
        {
            return this->store.calls["rows-feed quarantine"] > 0;
        });
    EXPECT_EQ(this->ask("aa:100,dead:40"), 503);
    EXPECT_EQ(this->crashes(), 0U);
    EXPECT_EQ(this->ask("aa:100"), 200);
    for (const std::unique_ptr<standins::engine_standin>& runner :
         this->runners)
    {
        runner->deadly_part.clear();
    }
    this->store.remove("quarantine", "", key);
    this->wait_until(
        [this]
        {
            return this->ask("aa:100,dead:40") == 200;
        });
}

// Guards against sound requests that are refused because live runners closed
// the connections of several requests with the same part.
TEST_F(deadly_part_test, runners_that_only_close_connections_accuse_no_part)
{
    this->start_node("vm-1");
    for (const std::unique_ptr<standins::engine_standin>& runner :
         this->runners)
    {
        runner->closed_streams = 2;
    }
    const auto has_closed_all = [this]
    {
        return std::all_of(
            this->runners.begin(),
            this->runners.end(),
            [](const std::unique_ptr<standins::engine_standin>& runner)
            {
                return runner->closed_streams == 0;
            });
    };
    // While all runners are in their pause after a failure, a request is
    // refused for lack of slots, which is no quarantine.
    this->wait_until(
        [this, &has_closed_all]
        {
            const int status = this->ask("ab:50,ac:40");
            EXPECT_NE(this->last_body, "quarantined");
            return has_closed_all() && status == 200;
        });
}

TEST_F(deadly_part_test, another_member_may_use_the_same_value)
{
    this->start_node("vm-1");
    for (int round = 0; round < 4; ++round)
    {
        this->ask("aa:100");
        this->ask("aa:100,dead:40");
    }
    for (const std::unique_ptr<standins::engine_standin>& runner :
         this->runners)
    {
        runner->deadly_part.clear();
    }
    EXPECT_EQ(this->ask("aa:100,dead:40"), 503);
    EXPECT_EQ(this->ask("aa:100,dead:40", "b.example"), 200);
}

} // namespace

} // namespace chicory::node
