// Guards against requests that run without a valid API key, keys and false
// names that reach a runner, and jobs that another organisation can see.

#include "servers/node/node.hpp"
#include "tests/process/http_call.hpp"
#include "tests/standins/engine_standin.hpp"
#include "tests/standins/store_standin.hpp"
#include "tests/support/memory_records.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

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
constexpr std::chrono::milliseconds revocation_limit(1500);

const std::string north_and_south =
    R"("tenants":[{"name":"north","api_keys":["k-north","k-north-2"],
    "priority":1,"rate_per_s":5,"burst":2},
    {"name":"south","api_keys":["k-south"]}],)";
const std::string north_without_first_key =
    R"("tenants":[{"name":"north","api_keys":["k-north-2"]},
    {"name":"south","api_keys":["k-south"]}],)";

std::string make_configuration(int version, const std::string& organisations)
{
    return R"({"version":)" + std::to_string(version) + "," + organisations +
           R"("routes":[{"name":"ask","host":"a.example","prefix":"/ask/",
        "route_kind":"streaming","timeout_ms":8000,"target_latency_ms":6000,
        "service":"chat","max_attempts":3,"resumable":true},
        {"name":"open","host":"a.example","prefix":"/open/","public":true,
        "route_kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,
        "service":"chat"},
        {"name":"jobs","host":"a.example","prefix":"/jobs/",
        "route_kind":"batch","service":"chat","max_attempts":3,
        "retention_s":60,"completion_target_ms":18000,"max_count":300}],
        "services":[{"name":"chat","engine":{"slots":8}}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":100000,
        "header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

class access_test : public ::testing::Test
{
protected:
    access_test()
        : store(this->io), runner(this->io, "i-1"),
          http(this->io.get_executor())
    {
        this->runner.listen();
        this->store.put("servers", "", "i-1", this->runner.entry("ready"));
        this->settings.vm_id = "vm-1";
        this->settings.zone = "z1";
        this->settings.region = "r1";
        this->settings.address = "127.0.0.1";
        this->settings.store = {"127.0.0.1", this->store.listen()};
        for (net::endpoint* listen_endpoint :
             {&this->settings.requests,
              &this->settings.readiness,
              &this->settings.entry_addresses})
        {
            *listen_endpoint = {"127.0.0.1", process::find_free_port()};
        }
        this->settings.gossip_port = process::find_free_port();
        this->settings.slot_port = process::find_free_port();
        this->settings.peer_port = process::find_free_port();
        this->settings.metrics_port = process::find_free_port();
    }

    void configure(const std::string& text)
    {
        this->store.put("op", "", "config", text);
    }

    void start(const std::string& configuration)
    {
        this->configure(configuration);
        this->process =
            std::make_unique<node_process>(this->io, this->settings);
        const result<void> started = this->process->start();
        ASSERT_TRUE(started) << started.error().text;
        this->wait_until(
            [this]
            {
                net::http_request request;
                request.target = "/-/readyz";
                return this->send(this->settings.readiness, request).status ==
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

    /// Sends a request and returns where its response will be; the status is
    /// zero until then, and -1 after a failure.
    std::shared_ptr<net::http_response>
    send_in_background(net::endpoint target, net::http_request request)
    {
        const auto response = std::make_shared<net::http_response>();
        response->status = 0;
        asio::co_spawn(
            this->io,
            [this, response, target, request]() -> asio::awaitable<void>
            {
                net::http_request message = request;
                result<net::http_response> outcome =
                    co_await this->http.request(
                        target, std::move(message), max_wait);
                if (outcome)
                {
                    *response = std::move(outcome.value());
                }
                else
                {
                    response->status = -1;
                }
            },
            asio::detached);
        return response;
    }

    net::http_response send(net::endpoint target, net::http_request request)
    {
        const auto response =
            this->send_in_background(std::move(target), std::move(request));
        this->wait_until(
            [&response]
            {
                return response->status != 0;
            });
        return *response;
    }

    net::http_request make_request(
        const std::string& method,
        const std::string& target,
        const net::http_headers& headers,
        const std::string& body = "")
    {
        net::http_request request;
        request.method = method;
        request.target = target;
        request.headers = headers;
        request.headers["host"] = "a.example";
        request.headers.try_emplace(
            "x-attempt-id", "t" + std::to_string(++this->sent));
        request.body = body;
        return request;
    }

    net::http_response
    ask(const net::http_headers& headers, const std::string& target = "/ask/1")
    {
        return this->send(
            this->settings.requests,
            this->make_request("POST", target, headers, "body"));
    }

    int call_about_job(
        const std::string& method,
        const std::string& target,
        const net::http_headers& headers)
    {
        return this
            ->send(
                this->settings.requests,
                this->make_request(method, target, headers))
            .status;
    }

    int
    submit(const std::string& id, net::http_headers headers, int tokens = 100)
    {
        headers["x-attempt-id"] = id;
        const std::string item = R"({"requests":[{"id":"a-)" + id +
                                 R"(","path":"/jobs/x","headers":{
            "X-Credential":"k-north","X-Tenant":"south"},"body":"aGk=",
            "tokens":)" + std::to_string(tokens) +
                                 "}]}";
        return this
            ->send(
                this->settings.requests,
                this->make_request("POST", "/jobs/x", headers, item))
            .status;
    }

    /// Starts with a runner of one slot, which a stream of 3 s holds.
    void start_with_full_runner()
    {
        std::string entry = this->runner.entry("ready");
        const std::string slots = R"("slots":8)";
        entry.replace(entry.find(slots), slots.size(), R"("slots":1)");
        this->store.put("servers", "", "i-1", entry);
        this->start(make_configuration(1, north_and_south));
        this->runner.events = 30;
        this->runner.event_time = 100ms;
        this->wait_until(
            [this]
            {
                if (this->streaming == nullptr || this->streaming->status != 0)
                {
                    this->streaming = this->send_in_background(
                        this->settings.requests,
                        this->make_request(
                            "POST",
                            "/ask/1",
                            {{"x-credential", "k-north"}},
                            "a"));
                }
                return this->runner.arrivals.size() == 1;
            });
    }

    asio::io_context io{1};
    standins::store_standin store;
    standins::engine_standin runner;
    net::http_client http;
    node_settings settings;
    std::unique_ptr<node_process> process;
    std::shared_ptr<net::http_response> streaming;
    int sent = 0;
};

/// Record store whose calls for changes take a while. The first one states that
/// there are more changes.
class slow_records final : public testing_support::memory_records
{
public:
    explicit slow_records(asio::io_context& io) : context(io)
    {
    }

    /// Times at which calls for changes were received.
    std::vector<boot_time_point> received;

    asio::awaitable<result<ports::record_page>>
    follow(std::string, std::int64_t, duration) override
    {
        this->received.push_back(read_boot_clock());
        asio::steady_timer timer(this->context);
        timer.expires_after(50ms);
        co_await timer.async_wait(asio::use_awaitable);
        ports::record_page page;
        page.has_more = this->received.size() == 1;
        co_return page;
    }

private:
    asio::io_context& context;
};

const net::http_headers north = {{"x-credential", "k-north"}};
const net::http_headers north_2 = {{"x-credential", "k-north-2"}};
const net::http_headers south = {{"x-credential", "k-south"}};

} // namespace

TEST_F(access_test, requests_without_one_valid_key_are_not_run)
{
    this->start(make_configuration(1, north_and_south));
    const std::vector<net::http_headers> refused = {
        {},
        {{"x-credential", ""}},
        {{"x-credential", "k-east"}},
        {{"x-credential", "k-north, k-south"}},
        {{"x-credential", std::string(257, 'k')}},
        {{"x-tenant", "north"}}};
    for (const net::http_headers& headers : refused)
    {
        EXPECT_EQ(this->ask(headers).status, 401);
        EXPECT_EQ(this->submit("j1", headers), 401);
        EXPECT_EQ(
            this->call_about_job("GET", "/-/lots/j1?after=0", headers), 401);
        EXPECT_EQ(
            this->call_about_job("DELETE", "/-/lots/no%20name", headers), 401);
    }
    EXPECT_TRUE(this->runner.arrivals.empty());
    EXPECT_EQ(this->store.count("jobs"), 0U);
    net::http_request request;
    request.target = "/metrics";
    const std::string values =
        this->send(
                {this->settings.address, this->settings.metrics_port}, request)
            .body;
    EXPECT_NE(
        values.find("chicory_refusals_total{reason=\"unknown_key\"}"),
        std::string::npos);
    EXPECT_NE(values.find("chicory_key_information_age_ms"), std::string::npos);
}

TEST_F(access_test, runners_learn_the_organisation_and_never_the_key)
{
    this->start(make_configuration(1, north_and_south));
    net::http_headers headers = north_2;
    headers["x-tenant"] = "south";
    EXPECT_EQ(this->ask(headers).status, 200);
    EXPECT_EQ(this->ask({{"x-tenant", "south"}}, "/open/1").status, 200);
    EXPECT_EQ(this->ask({{"x-credential", "k-east"}}, "/open/1").status, 200);
    EXPECT_EQ(this->ask(north, "/open/1").status, 200);
    ASSERT_EQ(this->runner.arrivals.size(), 4U);
    for (const standins::engine_arrival& arrival : this->runner.arrivals)
    {
        EXPECT_FALSE(arrival.headers.contains("x-credential"));
    }
    EXPECT_EQ(this->runner.arrivals[0].headers.at("x-tenant"), "north");
    EXPECT_FALSE(this->runner.arrivals[1].headers.contains("x-tenant"));
    EXPECT_FALSE(this->runner.arrivals[2].headers.contains("x-tenant"));
    EXPECT_EQ(this->runner.arrivals[3].headers.at("x-tenant"), "north");
}

// Deployments without organisations may use these headers for other purposes.
TEST_F(access_test, without_organisations_headers_are_passed_on)
{
    this->start(make_configuration(1, ""));
    EXPECT_EQ(
        this->ask({{"x-credential", "any"}, {"x-tenant", "other"}}).status,
        200);
    ASSERT_EQ(this->submit("j1", {}), 202);
    this->wait_until(
        [this]
        {
            return this->runner.arrivals.size() == 2;
        });
    EXPECT_EQ(this->runner.arrivals[0].headers.at("x-credential"), "any");
    EXPECT_EQ(this->runner.arrivals[0].headers.at("x-tenant"), "other");
    EXPECT_EQ(this->runner.arrivals[1].headers.at("x-credential"), "k-north");
    EXPECT_EQ(
        this->store.value("jobs", "j1").find("organisation"),
        std::string::npos);
}

TEST_F(access_test, a_job_is_known_to_its_organisation_only)
{
    this->start(make_configuration(1, north_and_south));
    this->runner.event_time = 100ms;
    ASSERT_EQ(this->submit("j1", north), 202);
    EXPECT_EQ(this->submit("j1", north_2), 202);
    EXPECT_EQ(this->submit("j1", south), 404);
    for (const char* target : {"/-/lots/j1?after=0", "/-/lots/unknown?after=0"})
    {
        const net::http_response response = this->send(
            this->settings.requests, this->make_request("GET", target, south));
        EXPECT_EQ(response.status, 404);
        EXPECT_TRUE(response.body.starts_with("there is no job "));
    }
    EXPECT_EQ(this->call_about_job("GET", "/-/items/j1?id=a-j1", south), 404);
    EXPECT_EQ(this->call_about_job("DELETE", "/-/lots/j1", south), 404);
    EXPECT_EQ(this->call_about_job("DELETE", "/-/lots/j1", {}), 401);
    EXPECT_EQ(this->call_about_job("GET", "/-/items/j1?id=a-j1", north_2), 200);
    // The job goes on after the key with which it was submitted is revoked.
    this->configure(make_configuration(2, north_without_first_key));
    this->wait_until(
        [this]
        {
            return this->call_about_job("GET", "/-/lots/j1?after=0", north) ==
                   401;
        });
    this->wait_until(
        [this]
        {
            const net::http_response response = this->send(
                this->settings.requests,
                this->make_request("GET", "/-/lots/j1?after=0", north_2));
            return response.status == 200 &&
                   response.body.find("completed") != std::string::npos;
        });
    ASSERT_EQ(this->runner.arrivals.size(), 1U);
    EXPECT_EQ(this->runner.arrivals[0].headers.at("x-tenant"), "north");
    EXPECT_FALSE(this->runner.arrivals[0].headers.contains("x-credential"));
}

// A job that was stored before there were organisations belongs to none.
TEST_F(access_test, a_job_without_an_organisation_is_hidden_from_organisations)
{
    this->start(make_configuration(1, ""));
    ASSERT_EQ(this->submit("j1", {}), 202);
    EXPECT_EQ(this->call_about_job("GET", "/-/lots/j1?after=0", {}), 200);
    this->configure(make_configuration(2, north_and_south));
    this->wait_until(
        [this]
        {
            return this->call_about_job("GET", "/-/lots/j1?after=0", {}) == 401;
        });
    EXPECT_EQ(this->call_about_job("GET", "/-/lots/j1?after=0", north), 404);
    EXPECT_EQ(this->submit("j1", north), 404);
}

TEST_F(access_test, waiting_tokens_are_limited_for_each_organisation)
{
    this->start(make_configuration(1, north_and_south));
    this->runner.events = 100000;
    EXPECT_EQ(this->submit("j1", north, 200), 202);
    EXPECT_EQ(this->submit("j2", north_2, 200), 429);
    EXPECT_EQ(this->submit("j3", south, 200), 202);
}

// The key of a request that waits for a slot is revoked: the request is refused
// instead of run, and the stream of the same key that holds the slot goes on.
TEST_F(access_test, a_request_that_waits_is_refused_when_its_key_is_revoked)
{
    this->start_with_full_runner();
    const auto waiting = this->send_in_background(
        this->settings.requests,
        this->make_request("POST", "/ask/2", north, "b"));
    this->io.run_for(300ms);
    ASSERT_EQ(waiting->status, 0);
    this->configure(make_configuration(2, north_without_first_key));
    this->wait_until(
        [&]
        {
            return waiting->status != 0 && this->streaming->status != 0;
        });
    EXPECT_EQ(waiting->status, 401);
    EXPECT_EQ(this->streaming->status, 200);
    EXPECT_EQ(this->runner.arrivals.size(), 1U);
}

// A request that was accepted with current keys gets its slot when they may be
// out of date: no configuration arrived meanwhile that would have ended its
// wait.
TEST_F(access_test, a_request_that_waited_too_long_without_contact_is_not_run)
{
    this->settings.key_freshness = {true, revocation_limit};
    this->start_with_full_runner();
    const auto waiting = this->send_in_background(
        this->settings.requests,
        this->make_request("POST", "/ask/2", north, "b"));
    this->io.run_for(100ms);
    ASSERT_EQ(waiting->status, 0);
    this->store.fault = standins::store_fault::unavailable;
    this->wait_until(
        [&]
        {
            return waiting->status != 0 && this->streaming->status != 0;
        });
    EXPECT_EQ(waiting->status, 503);
    EXPECT_EQ(waiting->body, "credentials_stale");
    EXPECT_EQ(this->streaming->status, 200);
    EXPECT_EQ(this->runner.arrivals.size(), 1U);
}

// A node that is cut off from the store does not learn that a key was revoked.
TEST_F(access_test, a_node_without_contact_refuses_keys_if_it_fails_closed)
{
    this->settings.key_freshness = {true, revocation_limit};
    this->start(make_configuration(1, north_and_south));
    this->wait_until(
        [this]
        {
            return this->ask(north).status == 200;
        });
    this->store.fault = standins::store_fault::unavailable;
    net::http_response refusal;
    this->wait_until(
        [&]
        {
            refusal = this->ask(north);
            return refusal.status == 503;
        });
    EXPECT_EQ(refusal.body, "credentials_stale");
    EXPECT_EQ(refusal.headers.at("retry-after"), "0.500");
    EXPECT_EQ(this->ask({}).status, 401);
    EXPECT_EQ(this->ask({}, "/open/1").status, 200);
    EXPECT_EQ(this->call_about_job("GET", "/-/lots/j1?after=0", north), 503);
    this->store.fault = standins::store_fault::none;
    this->wait_until(
        [this]
        {
            return this->ask(north).status == 200;
        });
}

// The newest configuration may revoke keys, but cannot be decoded.
TEST_F(access_test, an_unreadable_configuration_makes_keys_stale)
{
    this->settings.key_freshness = {true, revocation_limit};
    this->start(make_configuration(1, north_and_south));
    this->configure("{");
    this->wait_until(
        [this]
        {
            return this->ask(north).status == 503;
        });
    this->configure(make_configuration(2, north_and_south));
    this->wait_until(
        [this]
        {
            return this->ask(north).status == 200;
        });
}

TEST_F(access_test, a_node_without_contact_goes_on_if_it_fails_open)
{
    this->start(make_configuration(1, north_and_south));
    this->store.fault = standins::store_fault::unavailable;
    this->io.run_for(2s);
    EXPECT_EQ(this->ask(north).status, 200);
}

// A response may be late, so that its own time would show a node as younger
// than it is; a response without all changes shows nothing.
TEST(table_watch, confirms_the_time_of_sending_once_all_changes_are_known)
{
    asio::io_context io(1);
    slow_records records(io);
    std::vector<boot_time_point> confirmed;
    table_watch watch(
        io,
        records,
        "op",
        {[](const std::vector<ports::record>&, std::int64_t) {},
         [](const ports::record&) {},
         [](bool) {},
         {},
         [&confirmed](boot_time_point sent)
         {
             confirmed.push_back(sent);
         }},
        1);
    watch.start();
    while (confirmed.size() < 3)
    {
        io.run_for(5ms);
    }
    // The first confirmation is the one of the snapshot.
    ASSERT_GE(records.received.size(), 3U);
    EXPECT_LE(confirmed[0], records.received[0]);
    EXPECT_GT(confirmed[1], records.received[0]);
    EXPECT_LE(confirmed[1], records.received[1]);
    EXPECT_LE(confirmed[2], records.received[2]);
}

// Two organisations that submit large jobs under one id must not share the
// object with the submission: it is stored before it is known who has the id.
TEST(job_records, submissions_of_two_organisations_have_different_objects)
{
    serving::job_record first;
    first.id = "j1";
    serving::job_record second = first;
    second.organisation = "north";
    serving::job_record third = first;
    third.organisation = "south";
    EXPECT_EQ(make_object_name(first), "job-j1");
    EXPECT_NE(make_object_name(second), make_object_name(first));
    EXPECT_NE(make_object_name(second), make_object_name(third));
}

} // namespace chicory::node
