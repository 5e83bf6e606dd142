#include "servers/node/node.hpp"
#include "tests/process/http_call.hpp"
#include "tests/standins/engine_standin.hpp"
#include "tests/standins/store_standin.hpp"
#include "tests/support/endless_server.hpp"
#include "tests/support/scripted_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
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
constexpr std::chrono::seconds max_wait(20);

const std::string routes =
    R"("routes":[{"name":"ask","host":"a.example","prefix":"/ask/",
    "route_kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,
    "service":"chat","max_attempts":1,"resumable":false},
    {"name":"go-on","host":"a.example","prefix":"/go-on/",
    "route_kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,
    "service":"chat","max_attempts":3,"resumable":true},
    {"name":"jobs","host":"a.example","prefix":"/jobs/","route_kind":"batch",
    "timeout_ms":5000,"target_latency_ms":1000,"service":"chat",
    "max_attempts":3,"retention_s":60,"completion_target_ms":18000,
    "max_count":5000}],"services":[{"name":"chat","engine":{"slots":8}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":100000,
    "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string make_configuration(int version)
{
    return R"({"version":)" + std::to_string(version) + "," + routes;
}

/// Returns a configuration in which all routes lead to another service.
std::string make_moved_configuration(int version, const std::string& service)
{
    static const std::string field = R"("service":"chat")";
    std::string text = make_configuration(version);
    for (std::size_t at = text.find(field); at != std::string::npos;
         at = text.find(field, at))
    {
        text.replace(at, field.size(), R"("service":")" + service + '"');
    }
    return text;
}

/// Returns a configuration in which the memory of each runner of the service
/// holds `tokens` tokens, and any number of items may wait.
std::string make_memory_configuration(int version, std::int64_t tokens)
{
    std::string text = make_configuration(version);
    const std::string limit = R"("max_count":5000)";
    text.replace(text.find(limit), limit.size(), R"("max_count":0)");
    const std::string engine = R"("engine":{"slots":8)";
    text.insert(
        text.find(engine) + engine.size(),
        R"(,"kv_capacity":)" + std::to_string(tokens));
    return text;
}

class node_process_test : public ::testing::Test
{
protected:
    node_process_test()
        : store(this->io), first(this->io, "i-1"), second(this->io, "i-2"),
          http(this->io.get_executor())
    {
        this->settings.vm_id = "vm-1";
        this->settings.zone = "z1";
        this->settings.region = "r1";
        this->settings.address = "127.0.0.1";
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
        this->settings.store = {"127.0.0.1", this->store.listen()};
        this->first.listen();
        this->second.listen();
    }

    void start()
    {
        this->process =
            std::make_unique<node_process>(this->io, this->settings);
        ASSERT_TRUE(this->process->start());
    }

    void start_and_wait()
    {
        this->start();
        this->wait_until(
            [this]
            {
                return this->get(this->settings.readiness, "/-/readyz")
                           .status == 200;
            });
    }

    void start_serving()
    {
        this->store.put("op", "", "config", make_configuration(1));
        this->register_runner(this->first, "ready");
        this->start_and_wait();
    }

    /// Returns settings for the next process of the same VM. It uses other
    /// ports, because the previous process still listens on its own.
    node_settings make_next_process_settings() const
    {
        node_settings next = this->settings;
        for (net::endpoint* listen_endpoint :
             {&next.requests, &next.readiness, &next.entry_addresses})
        {
            listen_endpoint->port = process::find_free_port();
        }
        next.gossip_port = process::find_free_port();
        next.slot_port = process::find_free_port();
        next.peer_port = process::find_free_port();
        return next;
    }

    void
    register_runner(const standins::engine_standin& runner, const char* state)
    {
        this->store.put("servers", "", runner.id(), runner.entry(state));
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

    net::http_response send(net::endpoint target, net::http_request request)
    {
        bool done = false;
        net::http_response response;
        asio::co_spawn(
            this->io,
            [&]() -> asio::awaitable<void>
            {
                result<net::http_response> outcome =
                    co_await this->http.request(
                        target, std::move(request), max_wait);
                this->response_incomplete = !outcome;
                if (outcome)
                {
                    response = std::move(outcome.value());
                }
                done = true;
            },
            asio::detached);
        this->wait_until(
            [&done]
            {
                return done;
            });
        return response;
    }

    net::http_response get(net::endpoint target, const std::string& path)
    {
        net::http_request request;
        request.target = path;
        request.headers["host"] = "a.example";
        return this->send(std::move(target), std::move(request));
    }

    net::http_response post_request(
        const std::string& path, const std::string& attempt, std::string body)
    {
        net::http_request request;
        request.method = "POST";
        request.target = path;
        request.headers["host"] = "a.example";
        request.headers["x-attempt-id"] = attempt;
        request.headers["x-deadline-ms"] = "5000";
        request.headers["x-model"] = "m";
        request.body = std::move(body);
        return this->send(this->settings.requests, std::move(request));
    }

    /// Sends a request and returns where its response will be; the status is
    /// zero until then.
    std::shared_ptr<net::http_response>
    post_in_background(const std::string& path, const std::string& attempt)
    {
        const auto response = std::make_shared<net::http_response>();
        response->status = 0;
        net::http_request request;
        request.method = "POST";
        request.target = path;
        request.headers["host"] = "a.example";
        request.headers["x-attempt-id"] = attempt;
        request.headers["x-deadline-ms"] = "5000";
        asio::co_spawn(
            this->io,
            [this, response, request]() -> asio::awaitable<void>
            {
                net::http_request message = request;
                result<net::http_response> outcome =
                    co_await this->http.request(
                        this->settings.requests, std::move(message), max_wait);
                this->response_incomplete = !outcome;
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

    /// Starts with no runner left and with a request that waits for one.
    std::shared_ptr<net::http_response> start_with_waiting_request()
    {
        this->start_serving();
        this->store.remove("servers", "", "i-1");
        std::shared_ptr<net::http_response> response;
        this->wait_until(
            [&]
            {
                // The first one is refused; one that comes back after that
                // waits up to its deadline. The target latency is 1 s, so a
                // later refusal is not possible.
                response = this->post_in_background("/go-on/1", "t1");
                this->io.run_for(400ms);
                return response->status == 0;
            });
        return response;
    }

    /// Submits a job of two items and returns the status of the response.
    int submit(
        const std::string& id,
        int tokens = 100,
        const std::string& path = "/jobs/x")
    {
        const std::string item =
            R"(","path":")" + path +
            R"(","headers":{"X-Model":"m"},"body":"aGk=","tokens":)" +
            std::to_string(tokens) + "}";
        return this
            ->post_request(
                path,
                id,
                R"({"requests":[{"id":"a-)" + id + item + R"(,{"id":"b-)" + id +
                    item + "]}")
            .status;
    }

    /// Starts with one runner. `tokens` is the memory of a runner by the
    /// configuration.
    void start_with_memory(std::int64_t tokens)
    {
        this->store.put(
            "op", "", "config", make_memory_configuration(1, tokens));
        this->register_runner(this->first, "ready");
        this->start_and_wait();
    }

    /// Submits a job of items that differ in size. `headers` is added to the
    /// headers of each item. Returns the status of the response.
    int submit_items(
        const std::string& id,
        const std::vector<std::int64_t>& tokens,
        const std::string& headers = "")
    {
        std::string items;
        for (std::size_t at = 0; at < tokens.size(); ++at)
        {
            items += (at == 0 ? "" : ",") + std::string(R"({"id":")") + id +
                     "-" + std::to_string(at) +
                     R"(","path":"/jobs/x","headers":{"X-Model":"m",)" +
                     R"("X-Token-Counts":")" + std::to_string(tokens[at] - 10) +
                     R"(,10")" + headers + R"(},"body":"aGk=","tokens":)" +
                     std::to_string(tokens[at]) + "}";
        }
        return this
            ->post_request("/jobs/x", id, R"({"requests":[)" + items + "]}")
            .status;
    }

    /// Submits twice as many items that no runner can run as may wait for
    /// slots, and a moment later sound ones, which must complete.
    void expect_sound_items_complete_beside(
        std::int64_t tokens, const std::string& headers = "")
    {
        const std::vector<std::int64_t> others(12, tokens);
        ASSERT_EQ(this->submit_items("bad-1", others, headers), 202);
        ASSERT_EQ(this->submit_items("bad-2", others, headers), 202);
        this->io.run_for(300ms);
        ASSERT_EQ(
            this->submit_items("sound", std::vector<std::int64_t>(10, 100)),
            202);
        this->wait_for_results("sound", 10);
        this->expect_in_results("sound", "state", "completed");
        EXPECT_EQ(this->read_results("bad-1").at("next").as_int64(), 0);
    }

    void expect_both_other_jobs_complete()
    {
        for (const char* id : {"bad-1", "bad-2"})
        {
            this->wait_for_results(id, 12);
            this->expect_in_results(id, "state", "completed");
        }
    }

    /// Starts with two batch routes: one to the service of `first`, which is
    /// not registered here, and one to the service of `second`.
    void start_with_two_batch_services()
    {
        std::string configuration = make_configuration(1);
        const std::string field = R"("routes":[)";
        configuration.insert(
            configuration.find(field) + field.size(),
            R"({"name":"others","host":"a.example","prefix":"/others/",
            "route_kind":"batch","timeout_ms":5000,"target_latency_ms":1000,
            "service":"other","max_attempts":3,"retention_s":60,
            "completion_target_ms":18000},)");
        this->store.put("op", "", "config", configuration);
        this->second.service = "other";
        this->register_runner(this->second, "ready");
        this->start_and_wait();
    }

    /// Submits more jobs to the service of `first` than may wait at a time, and
    /// then one to the other service, which must complete.
    void expect_jobs_of_the_other_service_complete()
    {
        for (int number = 0; number < 10; ++number)
        {
            ASSERT_EQ(this->submit("lost-" + std::to_string(number)), 202);
        }
        this->io.run_for(300ms);
        ASSERT_EQ(this->submit("sound", 100, "/others/x"), 202);
        this->wait_for_results("sound", 2);
        this->expect_in_results("sound", "state", "completed");
    }

    boost::json::object read_results(const std::string& id)
    {
        const net::http_response response =
            this->get(this->settings.requests, "/-/lots/" + id + "?after=0");
        if (response.status != 200)
        {
            return {};
        }
        return boost::json::parse(response.body).as_object();
    }

    void wait_for_results(const std::string& id, std::int64_t count)
    {
        this->wait_until(
            [&]
            {
                const boost::json::object found = this->read_results(id);
                return found.contains("next") &&
                       found.at("next").to_number<std::int64_t>() == count;
            });
    }

    void wait_for_arrivals(std::size_t count)
    {
        this->wait_until(
            [this, count]
            {
                return this->first.arrivals.size() == count;
            });
    }

    void expect_in_results(
        const std::string& id, const char* field, const char* expected)
    {
        const boost::json::object found = this->read_results(id);
        for (const boost::json::value& entry : found.at("results").as_array())
        {
            EXPECT_EQ(entry.at(field).as_string(), expected);
        }
    }

    asio::io_context io{1};
    standins::store_standin store;
    standins::engine_standin first;
    standins::engine_standin second;
    net::http_client http;
    node_settings settings;
    std::unique_ptr<node_process> process;
    bool response_incomplete = false;
};

TEST_F(node_process_test, refuses_requests_as_not_run_without_a_configuration)
{
    this->start();
    EXPECT_EQ(this->get(this->settings.readiness, "/-/readyz").status, 503);
    const net::http_response response = this->post_request("/ask/1", "t1", "");
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(response.headers.contains("retry-after"));
}

TEST_F(node_process_test, forwards_request_and_response_unchanged)
{
    this->start_serving();
    const net::http_response response =
        this->post_request("/ask/1?q=2", "t1", "the body");
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.headers.at("x-response-stamp"), "stamp-i-1");
    EXPECT_EQ(
        response.body,
        "id: 1\ndata: text 1\n\nid: 2\ndata: text 2\n\n"
        "id: 3\ndata: text 3\n\nid: 4\ndata: text 4\n\n");
    ASSERT_EQ(this->first.arrivals.size(), 1U);
    const standins::engine_arrival& arrival = this->first.arrivals[0];
    EXPECT_EQ(arrival.target, "/ask/1?q=2");
    EXPECT_EQ(arrival.body, "the body");
    EXPECT_EQ(arrival.headers.at("x-model"), "m");
    EXPECT_EQ(arrival.headers.at("x-expect-instance"), "i-1");
    EXPECT_LE(std::stoi(arrival.headers.at("x-deadline-ms")), 5000);
}

TEST_F(node_process_test, rejects_unknown_routes_and_too_long_bodies)
{
    this->start_serving();
    EXPECT_EQ(this->post_request("/none/1", "t1", "").status, 404);
    EXPECT_EQ(
        this->post_request("/ask/1", "t2", std::string(200000, 'x')).status,
        413);
    EXPECT_TRUE(this->first.arrivals.empty());
}

TEST_F(node_process_test, a_broken_stream_is_not_reported_as_complete)
{
    this->start_serving();
    this->first.break_after_event = 2;
    this->post_request("/ask/1", "t1", "");
    EXPECT_TRUE(this->response_incomplete);
    EXPECT_EQ(this->first.arrivals.size(), 1U);
}

TEST_F(node_process_test, a_resumable_stream_continues_at_another_runner)
{
    this->start_serving();
    this->first.break_after_event = 2;
    this->register_runner(this->second, "ready");
    const net::http_response response =
        this->post_request("/go-on/1", "t1", "");
    if (this->first.arrivals.empty())
    {
        // The second runner was chosen, whose streams do not break.
        EXPECT_EQ(this->second.arrivals.size(), 1U);
        return;
    }
    EXPECT_FALSE(this->response_incomplete);
    EXPECT_EQ(
        response.body,
        "id: 1\ndata: text 1\n\nid: 2\ndata: text 2\n\n"
        "id: 3\ndata: text 3\n\nid: 4\ndata: text 4\n\n");
}

TEST_F(node_process_test, a_request_that_was_not_run_is_retried_or_refused)
{
    this->start_serving();
    this->first.status = 503;
    this->first.states_not_run = true;
    const net::http_response refused = this->post_request("/ask/1", "t1", "");
    EXPECT_EQ(refused.status, 503);
    EXPECT_FALSE(refused.headers.contains("x-response-stamp"));
    this->register_runner(this->second, "ready");
    this->wait_until(
        [this]
        {
            return this->post_request("/ask/1", "t2", "").status == 200;
        });
    EXPECT_FALSE(this->second.arrivals.empty());
}

TEST_F(node_process_test, a_request_that_may_have_run_is_not_retried)
{
    this->start_serving();
    this->register_runner(this->second, "ready");
    this->first.status = 500;
    this->second.status = 500;
    EXPECT_EQ(this->post_request("/ask/1", "t1", "").status, 500);
    EXPECT_EQ(this->first.arrivals.size() + this->second.arrivals.size(), 1U);
}

// Guards against a failed run of a resumable request reaching the caller. The
// runner responds immediately that each run failed.
TEST_F(node_process_test, a_resumable_request_is_retried_after_a_failed_run)
{
    this->start_serving();
    this->register_runner(this->second, "ready");
    this->first.status = 500;
    for (int number = 0; number < 20; ++number)
    {
        const std::string attempt = "t" + std::to_string(number);
        EXPECT_EQ(this->post_request("/go-on/1", attempt, attempt).status, 200);
    }
    EXPECT_FALSE(this->first.arrivals.empty());
    EXPECT_EQ(this->second.arrivals.size(), 20U);
}

// Guards against a list of runners that no node follows any more, and against
// processes that end, because of entries that another writer left in it.
TEST_F(node_process_test, odd_entries_do_not_hide_the_runners)
{
    this->store.raw_values["odd-1"] = "no base64!";
    this->store.put("servers", "", "odd-1", "");
    this->store.put("servers", "", "odd-2", std::string(30000, '['));
    this->start_serving();
    EXPECT_EQ(this->post_request("/ask/1", "t1", "").status, 200);
    // They come later as well, and a sound entry becomes an odd one.
    this->store.raw_values["odd-3"] = "%";
    this->store.put("servers", "", "odd-3", "");
    this->register_runner(this->second, "ready");
    this->store.raw_values["i-1"] = "no base64!";
    this->store.put("servers", "", "i-1", "");
    this->wait_until(
        [this]
        {
            return this->post_request("/ask/1", "t2", "").status == 200 &&
                   !this->second.arrivals.empty();
        });
    const std::size_t before = this->first.arrivals.size();
    for (int number = 0; number < 10; ++number)
    {
        const std::string attempt = "u" + std::to_string(number);
        EXPECT_EQ(this->post_request("/ask/1", attempt, "").status, 200);
    }
    EXPECT_EQ(this->first.arrivals.size(), before);
}

// Guards against requests that are refused because up to four entries without
// an address count as runners and are tried first.
// Guards against requests that a service runs to which no route leads: another
// writer names a living runner under another service.
TEST_F(node_process_test, an_entry_of_another_writer_moves_no_runner)
{
    this->start_serving();
    this->store.put("op", "", "config", make_moved_configuration(2, "other"));
    this->wait_until(
        [this]
        {
            return this->post_request("/ask/1", "t1", "").status == 503;
        });
    this->first.service = "other";
    std::string entry = this->first.entry("ready");
    const std::string own = R"("seq":1)";
    entry.replace(entry.find(own), own.size(), R"("seq":"1")");
    this->store.put("servers", "", "i-1", entry);
    const std::size_t before = this->first.arrivals.size();
    for (int number = 0; number < 10; ++number)
    {
        this->io.run_for(50ms);
        // A request that comes again after a refusal would wait for a runner.
        const std::string attempt = std::to_string(number);
        EXPECT_EQ(
            this->post_request("/ask/u" + attempt, "u" + attempt, "").status,
            503);
    }
    EXPECT_EQ(this->first.arrivals.size(), before);
    // Its own entry is used again.
    this->register_runner(this->first, "ready");
    this->wait_until(
        [this]
        {
            return this->post_request("/ask/1", "t2", "").status == 200;
        });
}

TEST_F(node_process_test, requests_go_past_entries_without_an_address)
{
    const std::string entry = this->first.entry("ready");
    for (int number = 0; number < 60; ++number)
    {
        std::string odd = entry;
        odd.insert(odd.find("127.0.0.1:"), number % 2 == 0 ? "999." : "[::1:");
        this->store.put("servers", "", "odd-" + std::to_string(number), odd);
    }
    this->store.put("op", "", "config", make_configuration(1));
    this->start_and_wait();
    const net::http_response refusal = this->post_request("/ask/1", "t0", "");
    EXPECT_EQ(refusal.status, 503);
    EXPECT_NE(refusal.body, name_of(reason::runner_refused));
    this->register_runner(this->first, "ready");
    this->wait_until(
        [this]
        {
            return this->post_request("/ask/1", "t1", "").status == 200;
        });
    for (int number = 2; number < 30; ++number)
    {
        const std::string attempt = "t" + std::to_string(number);
        EXPECT_EQ(this->post_request("/ask/1", attempt, attempt).status, 200);
    }
}

TEST_F(node_process_test, a_draining_runner_gets_no_new_work)
{
    this->start_serving();
    this->register_runner(this->second, "ready");
    this->register_runner(this->first, "draining");
    this->wait_until(
        [this]
        {
            this->post_request("/ask/1", "t1", "");
            return !this->second.arrivals.empty();
        });
    const std::size_t before = this->first.arrivals.size();
    for (int number = 0; number < 10; ++number)
    {
        this->post_request("/ask/1", "u" + std::to_string(number), "");
    }
    EXPECT_EQ(this->first.arrivals.size(), before);
}

// Guards against work being sent to a runner that is leaving. During a release
// under load, the runner's own response is the first sign of its leaving, and
// its entry in the store stays "ready" to the end.
TEST_F(node_process_test, a_runner_that_reports_leaving_gets_no_new_work)
{
    this->start_serving();
    this->first.reports_leaving = true;
    EXPECT_EQ(this->post_request("/ask/1", "t1", "").status, 200);
    ASSERT_EQ(this->first.arrivals.size(), 1U);
    this->register_runner(this->second, "ready");
    // The entry is written again and still has the state "ready".
    this->register_runner(this->first, "ready");
    this->wait_until(
        [this]
        {
            return this->post_request("/ask/1", "t2", "").status == 200;
        });
    EXPECT_EQ(this->submit("j1"), 202);
    this->wait_for_results("j1", 2);
    EXPECT_EQ(this->first.arrivals.size(), 1U);
    // A later start under the same name is a different runner.
    this->first.reports_leaving = false;
    this->first.started_ms = 2;
    this->register_runner(this->first, "ready");
    this->store.remove("servers", "", "i-2");
    this->wait_until(
        [this]
        {
            return this->post_request("/ask/1", "t3", "").status == 200 &&
                   this->first.arrivals.size() > 1;
        });
}

/// Tests with a runner whose responses never end, in place of `first`.
class endless_runner_test : public node_process_test
{
protected:
    endless_runner_test() : broken_runner(this->io)
    {
    }

    void
    start_with_response(const std::string& content_type, std::string repeated)
    {
        this->broken_runner.responses = {
            {"HTTP/1.1 200 OK\r\nContent-Type: " + content_type +
                 "\r\n\r\nid: 1\ndata: text 1\n\n",
             std::move(repeated)}};
        this->store.put("op", "", "config", make_configuration(1));
        this->store.put(
            "servers",
            "",
            "i-9",
            R"({"service":"chat","addr":"127.0.0.1:)" +
                std::to_string(this->broken_runner.address().port) +
                R"(","zone":"z1","version":"v1","cold_left_ms":0,"slots":8,)" +
                R"("state":"ready","born":1,"seq":1})");
        this->start_and_wait();
    }

    void expect_connections_closed()
    {
        this->wait_until(
            [this]
            {
                return this->broken_runner.open_connections == 0;
            });
        EXPECT_GT(this->broken_runner.unfinished_responses, 0U);
        EXPECT_LT(
            this->broken_runner.max_sent_bytes,
            testing_support::max_endless_bytes);
    }

    testing_support::endless_server broken_runner;
};

// Guards against reading without limit. A faulty runner sends bytes that form
// no event at full speed until its caller closes the connection.
TEST_F(endless_runner_test, an_endless_event_does_not_reach_the_caller)
{
    this->start_with_response("text/event-stream", "x");
    const net::http_response response = this->post_request("/ask/1", "t1", "");
    EXPECT_TRUE(this->response_incomplete);
    EXPECT_EQ(response.body.find('x'), std::string::npos);
    this->expect_connections_closed();
    EXPECT_EQ(this->broken_runner.requests, 1U);
}

TEST_F(endless_runner_test, a_resumable_stream_continues_at_another_runner)
{
    this->start_with_response("text/event-stream", "x");
    // The coordinator may choose the second runner for the first requests.
    this->register_runner(this->second, "ready");
    this->wait_until(
        [this]
        {
            const net::http_response response =
                this->post_request("/go-on/1", "t1", "");
            EXPECT_FALSE(this->response_incomplete);
            EXPECT_EQ(
                response.body,
                "id: 1\ndata: text 1\n\nid: 2\ndata: text 2\n\n"
                "id: 3\ndata: text 3\n\nid: 4\ndata: text 4\n\n");
            return this->broken_runner.requests > 0;
        });
    this->expect_connections_closed();
}

TEST_F(endless_runner_test, an_endless_stream_of_events_is_closed)
{
    this->settings.bounds.stream_bytes = 1 << 20;
    this->start_with_response("text/event-stream", "data: y\n\n");
    this->post_request("/ask/1", "t1", "");
    EXPECT_TRUE(this->response_incomplete);
    this->expect_connections_closed();
}

TEST_F(endless_runner_test, an_endless_response_body_is_a_failure)
{
    this->start_with_response("text/plain", "x");
    EXPECT_EQ(this->post_request("/ask/1", "t1", "").status, 502);
    this->expect_connections_closed();
    EXPECT_EQ(this->broken_runner.requests, 1U);
}

TEST_F(endless_runner_test, an_item_continues_at_another_runner)
{
    this->start_with_response("text/event-stream", "x");
    EXPECT_EQ(this->submit("j1"), 202);
    this->wait_until(
        [this]
        {
            return this->broken_runner.unfinished_responses > 0;
        });
    this->register_runner(this->second, "ready");
    this->wait_for_results("j1", 2);
    this->expect_in_results("j1", "state", "completed");
    this->expect_in_results("j1", "text", "text 1\ntext 2\ntext 3\ntext 4");
    this->expect_connections_closed();
}

// Guards against an item that can never complete. Consecutive events are
// accepted as the item's text until it exceeds the limit. The item must then
// start again from the beginning, because no run that continues after such a
// text could complete.
TEST_F(endless_runner_test, an_item_with_an_endless_text_restarts)
{
    this->settings.bounds.item_text_bytes = 16384;
    std::string events;
    for (int number = 2; number < 4000; ++number)
    {
        events += "id: " + std::to_string(number) + "\ndata: endless\n\n";
    }
    this->start_with_response("text/event-stream", events);
    EXPECT_EQ(this->submit("j1"), 202);
    this->wait_until(
        [this]
        {
            return this->broken_runner.unfinished_responses > 0;
        });
    this->register_runner(this->second, "ready");
    this->wait_for_results("j1", 2);
    this->expect_in_results("j1", "text", "text 1\ntext 2\ntext 3\ntext 4");
}

std::string make_chunk(const std::string& text)
{
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
}

/// Returns the events from one number to another, both included.
std::string make_events(std::int64_t from, std::int64_t to)
{
    std::string events;
    for (std::int64_t number = from; number <= to; ++number)
    {
        events += "id: " + std::to_string(number) + "\ndata: text " +
                  std::to_string(number) + "\n\n";
    }
    return events;
}

std::string make_head(
    const std::string& status,
    const std::string& attempt,
    const std::string& headers)
{
    return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + attempt +
           "\r\nX-Response-Stamp: stamp\r\n" + headers + "\r\n";
}

const std::string stream_headers = "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n";

/// Returns a whole response with the events up to the fourth.
std::string make_stream(const std::string& attempt, std::int64_t from)
{
    return make_head("200 OK", attempt, stream_headers) +
           make_chunk(make_events(from, 4)) + "0\r\n\r\n";
}

std::string make_refusal_response(const std::string& attempt)
{
    return make_head(
        "503 Service Unavailable",
        attempt,
        "X-Not-Executed: 1\r\nContent-Length: 0\r\n");
}

/// Tests with runners that send any bytes, in place of `first` and `second`.
class scripted_runner_test : public node_process_test
{
protected:
    void start_with_runners(
        int count, testing_support::scripted_server::respond_hook respond)
    {
        this->store.put("op", "", "config", make_configuration(1));
        for (int number = 0; number < count; ++number)
        {
            this->runners.push_back(
                std::make_unique<testing_support::scripted_server>(
                    this->io, respond));
            this->store.put(
                "servers",
                "",
                "s-" + std::to_string(number),
                R"({"service":"chat","addr":"127.0.0.1:)" +
                    std::to_string(this->runners.back()->port()) +
                    R"(","zone":"z1","version":"v1","cold_left_ms":0,)" +
                    R"("slots":8,"state":"ready","born":1,"seq":1})");
        }
        this->start_and_wait();
    }

    /// Sends a request and returns the body of the response as far as it
    /// arrives. The bytes are read as they are, because a client would hide
    /// those that are no part of a chunked body.
    std::string read_stream(const std::string& path, const std::string& attempt)
    {
        bool done = false;
        std::string received;
        asio::co_spawn(
            this->io,
            [&]() -> asio::awaitable<void>
            {
                constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
                asio::ip::tcp::socket socket(this->io);
                const asio::ip::tcp::endpoint target(
                    asio::ip::make_address(this->settings.requests.address),
                    this->settings.requests.port);
                co_await socket.async_connect(target, as_result);
                const std::string request =
                    "POST " + path + " HTTP/1.1\r\nHost: a.example\r\n" +
                    "X-Attempt-Id: " + attempt +
                    "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                co_await asio::async_write(
                    socket, asio::buffer(request), as_result);
                co_await asio::async_read(
                    socket, asio::dynamic_buffer(received), as_result);
                done = true;
            },
            asio::detached);
        this->wait_until(
            [&done]
            {
                return done;
            });
        std::size_t at = received.find("\r\n\r\n") + 4;
        std::string text;
        this->response_incomplete = true;
        while (at < received.size())
        {
            const std::size_t line_end = received.find("\r\n", at);
            const std::string line = received.substr(at, line_end - at);
            if (line.find_first_not_of("0123456789abcdefABCDEF") !=
                std::string::npos)
            {
                ADD_FAILURE() << "no chunk: " << received.substr(at, 80);
                break;
            }
            const std::size_t size = std::stoul(line, nullptr, 16);
            this->response_incomplete = size > 0;
            text += received.substr(line_end + 2, size);
            at = line_end + 2 + size + 2;
        }
        return text;
    }

    std::vector<std::unique_ptr<testing_support::scripted_server>> runners;
};

/// Response of a runner that is asked to continue a stream.
struct continuation
{
    const char* name;
    std::string bytes;
    bool closes = false;
};

class continued_stream_test : public scripted_runner_test,
                              public ::testing::WithParamInterface<continuation>
{
protected:
    /// Starts three runners. For each request, the first run breaks off after
    /// two events, the next `odd_runs` respond with the parameter, and later
    /// ones continue the stream properly.
    void start_with_odd_runs(int odd_runs)
    {
        this->start_with_runners(
            3,
            [this, odd_runs](const testing_support::scripted_request& request)
            {
                const std::string& attempt = request.attempt;
                const int run = this->runs[attempt]++;
                if (run == 0)
                {
                    return testing_support::scripted_response{
                        make_head("200 OK", attempt, stream_headers) +
                            make_chunk(make_events(1, 2)),
                        "",
                        true};
                }
                if (run <= odd_runs)
                {
                    std::string bytes = this->GetParam().bytes;
                    const std::string id = "{id}";
                    if (const std::size_t at = bytes.find(id);
                        at != std::string::npos)
                    {
                        bytes.replace(at, id.size(), attempt);
                    }
                    return testing_support::scripted_response{
                        bytes, "", this->GetParam().closes};
                }
                return testing_support::scripted_response{make_stream(
                    attempt,
                    request.after.empty() ? 1 : std::stoll(request.after) + 1)};
            });
    }

    std::map<std::string, int> runs;
};

// Guards against an error's text or head in the middle of a caller's stream,
// and against a stream that ends as if it were complete: a stream has begun and
// breaks off, and the next runner does not continue it.
TEST_P(continued_stream_test, goes_on_at_a_runner_that_continues_it)
{
    this->start_with_odd_runs(1);
    EXPECT_EQ(this->read_stream("/go-on/1", "t1"), make_events(1, 4));
    EXPECT_FALSE(this->response_incomplete);
}

TEST_P(continued_stream_test, is_broken_off_when_no_runner_continues_it)
{
    this->start_with_odd_runs(100);
    EXPECT_EQ(this->read_stream("/go-on/1", "t1"), make_events(1, 2));
    EXPECT_TRUE(this->response_incomplete);
}

// Guards against an error's text in a result, and against a result without the
// events that a runner did not send.
TEST_P(continued_stream_test, an_item_has_its_whole_text)
{
    this->start_with_odd_runs(1);
    ASSERT_EQ(this->submit("j1"), 202);
    this->wait_for_results("j1", 2);
    this->expect_in_results("j1", "state", "completed");
    this->expect_in_results("j1", "text", "text 1\ntext 2\ntext 3\ntext 4");
}

INSTANTIATE_TEST_SUITE_P(
    all,
    continued_stream_test,
    ::testing::Values(
        continuation{
            "error_500",
            make_head("500 Oops", "{id}", "Content-Length: 4\r\n") + "oops"},
        continuation{
            "error_404",
            make_head("404 Not Found", "{id}", "Content-Length: 4\r\n") +
                "none"},
        continuation{
            "error_429",
            make_head("429 Too Many", "{id}", "Content-Length: 4\r\n") +
                "many"},
        continuation{
            "not_run",
            make_head(
                "503 Full",
                "{id}",
                "X-Not-Executed: 1\r\nContent-Length: 4\r\n") +
                "full"},
        continuation{
            "no_stream",
            make_head(
                "200 OK",
                "{id}",
                "Content-Type: text/plain\r\nContent-Length: 4\r\n") +
                "text"},
        continuation{
            "error_as_stream",
            make_head("500 Oops", "{id}", stream_headers) +
                make_chunk(make_events(3, 4)) + "0\r\n\r\n"},
        continuation{
            "error_without_length",
            make_head("500 Oops", "{id}", "") + "oops",
            true},
        continuation{
            "error_cut_in_its_body",
            make_head("500 Oops", "{id}", "Content-Length: 9\r\n") + "oops",
            true},
        continuation{"stream_from_the_start", make_stream("{id}", 1)},
        continuation{"stream_that_skips_an_event", make_stream("{id}", 4)},
        continuation{
            "stream_that_ends_at_once",
            make_head("200 OK", "{id}", stream_headers) + "0\r\n\r\n"},
        continuation{
            "stream_without_ids",
            make_head("200 OK", "{id}", stream_headers) +
                make_chunk("data: text 3\n\n") + "0\r\n\r\n"}),
    [](const auto& tested)
    {
        return std::string(tested.param.name);
    });

/// A runner that writes an earlier refusal once more.
struct repeated_refusal
{
    const char* name;
    bool refuses_first;
    /// Responses to the first request and to the later ones.
    std::function<testing_support::scripted_response(const std::string&)> first;
    std::function<testing_support::scripted_response(const std::string&)> later;
};

class repeated_refusal_test
    : public scripted_runner_test,
      public ::testing::WithParamInterface<repeated_refusal>
{
protected:
    void start_with_faulty_runner()
    {
        this->start_with_runners(
            1,
            [this](const testing_support::scripted_request& request)
            {
                return this->runners[0]->requests.size() == 1
                           ? this->GetParam().first(request.attempt)
                           : this->GetParam().later(request.attempt);
            });
    }
};

// Guards against a caller that is told "not run" for a request that a runner
// runs, and against a second run of it: a faulty runner writes the refusal of
// an earlier request once more on a kept connection.
TEST_P(repeated_refusal_test, is_not_the_answer_to_a_later_request)
{
    this->start_with_faulty_runner();
    this->post_request("/ask/1", "t0", "");
    std::string attempt;
    int number = 0;
    // The coordinator avoids the runner for a moment after a refusal.
    this->wait_until(
        [&]
        {
            attempt = "t" + std::to_string(++number);
            return this->post_request("/ask/1", attempt, "").status == 200;
        });
    const auto& requests = this->runners[0]->requests;
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_EQ(requests[1].attempt, attempt);
    if (this->GetParam().refuses_first)
    {
        EXPECT_NE(requests[1].connection, requests[0].connection);
    }
}

// The id of the item is the same in its later runs.
TEST_P(repeated_refusal_test, is_not_the_answer_to_a_later_run_of_an_item)
{
    this->start_with_faulty_runner();
    ASSERT_EQ(this->submit("j1"), 202);
    this->wait_for_results("j1", 2);
    this->expect_in_results("j1", "state", "completed");
    this->expect_in_results("j1", "text", "text 1\ntext 2\ntext 3\ntext 4");
}

INSTANTIATE_TEST_SUITE_P(
    all,
    repeated_refusal_test,
    ::testing::Values(
        repeated_refusal{
            "at_once",
            true,
            [](const std::string& attempt)
            {
                return testing_support::scripted_response{
                    make_refusal_response(attempt) +
                    make_refusal_response(attempt)};
            },
            [](const std::string& attempt)
            {
                return testing_support::scripted_response{
                    make_stream(attempt, 1)};
            }},
        repeated_refusal{
            "in_an_idle_pause",
            true,
            [](const std::string& attempt)
            {
                return testing_support::scripted_response{
                    make_refusal_response(attempt),
                    make_refusal_response(attempt)};
            },
            [](const std::string& attempt)
            {
                return testing_support::scripted_response{
                    make_stream(attempt, 1)};
            }},
        repeated_refusal{
            "after_an_answer",
            false,
            [](const std::string& attempt)
            {
                return testing_support::scripted_response{
                    make_stream(attempt, 1), make_refusal_response(attempt)};
            },
            [](const std::string& attempt)
            {
                return testing_support::scripted_response{
                    make_stream(attempt, 1)};
            }},
        repeated_refusal{
            "ahead_of_the_next_answer",
            true,
            [](const std::string& attempt)
            {
                return testing_support::scripted_response{
                    make_refusal_response(attempt)};
            },
            [](const std::string& attempt)
            {
                return testing_support::scripted_response{
                    make_refusal_response("t0") + make_stream(attempt, 1)};
            }},
        repeated_refusal{
            "ahead_of_the_next_answer_on_a_kept_connection",
            false,
            [](const std::string& attempt)
            {
                return testing_support::scripted_response{
                    make_stream(attempt, 1)};
            },
            [](const std::string& attempt)
            {
                return testing_support::scripted_response{
                    make_refusal_response("t0") + make_stream(attempt, 1)};
            }}),
    [](const auto& tested)
    {
        return std::string(tested.param.name);
    });

// Guards against bytes in the middle of an answer that are passed on as if they
// belonged to it, and against a second run of a request that may run once.
/// First bytes of a response, after which a runner closes the connection.
struct cut_response
{
    const char* name;
    std::string bytes;
};

class cut_response_test : public scripted_runner_test,
                          public ::testing::WithParamInterface<cut_response>
{
protected:
    /// Starts three runners, the first of which cuts all its responses.
    void start_with_a_cutting_runner()
    {
        this->start_with_runners(
            3,
            [this](const testing_support::scripted_request& request)
            {
                // The runner that gets the first request cuts all responses.
                const bool cuts = this->cut_attempts.empty() ||
                                  this->cutting_port == request.port;
                if (!cuts)
                {
                    return testing_support::scripted_response{make_stream(
                        request.attempt,
                        request.after.empty() ? 1
                                              : std::stoll(request.after) + 1)};
                }
                this->cutting_port = request.port;
                this->cut_attempts.insert(request.attempt);
                std::string bytes = this->GetParam().bytes;
                const std::string id = "{id}";
                if (const std::size_t at = bytes.find(id);
                    at != std::string::npos)
                {
                    bytes.replace(at, id.size(), request.attempt);
                }
                return testing_support::scripted_response{bytes, "", true};
            });
    }

    std::uint16_t cutting_port = 0;
    std::set<std::string> cut_attempts;
};

// Guards against a response that breaks off in its head and is passed on as a
// whole one with an empty or a short body, from one runner of several.
TEST_P(cut_response_test, is_not_passed_on_as_whole)
{
    this->start_with_a_cutting_runner();
    for (int number = 0; number < 8; ++number)
    {
        const std::string attempt = "t" + std::to_string(number);
        const bool once = number % 2 == 1;
        const net::http_response response =
            this->post_request(once ? "/ask/1" : "/go-on/1", attempt, "");
        if (once && this->cut_attempts.contains(attempt))
        {
            EXPECT_TRUE(this->response_incomplete || response.status == 502)
                << response.status;
            continue;
        }
        EXPECT_EQ(response.status, 200) << attempt;
        EXPECT_EQ(response.body, make_events(1, 4)) << attempt;
    }
    EXPECT_FALSE(this->cut_attempts.empty());
}

TEST_P(cut_response_test, does_not_shorten_an_item)
{
    this->start_with_a_cutting_runner();
    ASSERT_EQ(this->submit("j1"), 202);
    this->wait_for_results("j1", 2);
    this->expect_in_results("j1", "state", "completed");
    this->expect_in_results("j1", "text", "text 1\ntext 2\ntext 3\ntext 4");
    EXPECT_FALSE(this->cut_attempts.empty());
}

INSTANTIATE_TEST_SUITE_P(
    all,
    cut_response_test,
    ::testing::Values(
        cut_response{"in_the_status_line", "HTTP/1.1 20"},
        cut_response{"after_the_status_line", "HTTP/1.1 200 OK\r\n"},
        cut_response{
            "in_a_header", "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Resp"},
        cut_response{
            "before_the_blank_line",
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n"
            "Content-Type: text/event-stream\r\n"},
        cut_response{
            "after_the_head",
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n"
            "Content-Type: text/event-stream\r\n\r\n"},
        cut_response{
            "after_a_head_with_chunks",
            make_head("200 OK", "{id}", stream_headers)},
        cut_response{
            "after_a_head_with_a_length",
            make_head("200 OK", "{id}", "Content-Length: 40\r\n")},
        cut_response{
            "after_an_informational_head", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        cut_response{
            "in_a_head_after_an_informational_one",
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-"}),
    [](const auto& tested)
    {
        return std::string(tested.param.name);
    });

// Guards against bytes that are no response of HTTP and are passed on as one: a
// runner in trouble states a status that does not exist, or a coding of the
// body that the caller would not see.
INSTANTIATE_TEST_SUITE_P(
    invalid_head,
    cut_response_test,
    ::testing::Values(
        cut_response{
            "status_000",
            make_head("000 Odd", "{id}", "Content-Length: 2\r\n") + "hi"},
        cut_response{
            "status_099",
            make_head("099 Odd", "{id}", "Content-Length: 2\r\n") + "hi"},
        cut_response{"status_101", make_head("101 Switching", "{id}", "")},
        cut_response{
            "status_600",
            make_head("600 Odd", "{id}", "Content-Length: 2\r\n") + "hi"},
        cut_response{
            "status_999",
            make_head("999 Odd", "{id}", "Content-Length: 2\r\n") + "hi"},
        cut_response{
            "coding_without_chunks",
            make_head("200 OK", "{id}", "Transfer-Encoding: gzip\r\n") + "hi"},
        cut_response{
            "coding_with_chunks",
            make_head(
                "200 OK", "{id}", "Transfer-Encoding: gzip, chunked\r\n") +
                make_chunk("hi") + "0\r\n\r\n"},
        cut_response{
            "length_and_chunks",
            make_head(
                "200 OK",
                "{id}",
                "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n") +
                make_chunk("hi") + "0\r\n\r\n"},
        cut_response{
            "two_lengths",
            make_head(
                "200 OK",
                "{id}",
                "Content-Length: 2\r\nContent-Length: 1\r\n") +
                "hi"}),
    [](const auto& tested)
    {
        return std::string(tested.param.name);
    });

TEST_F(scripted_runner_test, a_connection_with_an_invalid_head_is_not_reused)
{
    this->start_with_runners(
        1,
        [](const testing_support::scripted_request& request)
        {
            return testing_support::scripted_response{
                make_head("000 Odd", request.attempt, "Content-Length: 2\r\n") +
                "hi"};
        });
    const auto& requests = this->runners[0]->requests;
    // The runner is avoided for a moment after such a response.
    for (int number = 0; requests.size() < 2; ++number)
    {
        ASSERT_LT(number, 100);
        this->post_request("/ask/1", "t" + std::to_string(number), "");
        this->io.run_for(50ms);
    }
    EXPECT_NE(requests[0].connection, requests[1].connection);
}

TEST_F(scripted_runner_test, a_refusal_within_a_stream_breaks_it_off)
{
    this->start_with_runners(
        2,
        [](const testing_support::scripted_request& request)
        {
            return testing_support::scripted_response{
                make_head("200 OK", request.attempt, stream_headers) +
                make_chunk(make_events(1, 2)) +
                make_refusal_response(request.attempt) +
                make_chunk(make_events(3, 4)) + "0\r\n\r\n"};
        });
    EXPECT_EQ(this->read_stream("/ask/1", "t1"), make_events(1, 2));
    EXPECT_TRUE(this->response_incomplete);
    EXPECT_EQ(
        this->runners[0]->requests.size() + this->runners[1]->requests.size(),
        1U);
}

TEST_F(node_process_test, an_endless_store_response_is_abandoned)
{
    testing_support::endless_server endless(this->io);
    endless.responses = {{"HTTP/1.1 200 OK\r\n\r\n", "{"}};
    this->settings.store = endless.address();
    this->start();
    this->wait_until(
        [&endless]
        {
            return endless.unfinished_responses >= 4;
        });
    EXPECT_LT(endless.max_sent_bytes, testing_support::max_endless_bytes);
    EXPECT_EQ(this->post_request("/ask/1", "t1", "").status, 503);
}

TEST_F(node_process_test, an_endless_peer_response_is_abandoned)
{
    testing_support::endless_server endless(this->io);
    endless.responses = {{"HTTP/1.1 200 OK\r\n\r\n", "{"}};
    // Seeds are contacted at this node's own peer port, so another loopback
    // address stands for another VM.
    this->settings.peer_port = endless.address().port;
    this->settings.address = "127.0.0.2";
    this->settings.seeds = {"127.0.0.1:1"};
    this->store.fault = standins::store_fault::unavailable;
    this->start();
    this->wait_until(
        [&endless]
        {
            return endless.unfinished_responses >= 2;
        });
    EXPECT_LT(endless.max_sent_bytes, testing_support::max_endless_bytes);
}

TEST_F(node_process_test, a_disconnected_caller_ends_its_run)
{
    this->start_serving();
    this->first.events = 100000;
    bool opened = false;
    std::unique_ptr<net::http_stream> stream;
    asio::co_spawn(
        this->io,
        [&]() -> asio::awaitable<void>
        {
            net::http_request request;
            request.method = "POST";
            request.target = "/ask/1";
            request.headers["host"] = "a.example";
            request.headers["x-attempt-id"] = "t1";
            net::open_outcome outcome = co_await this->http.open(
                this->settings.requests, std::move(request), max_wait);
            stream = std::move(outcome.stream);
            opened = true;
        },
        asio::detached);
    this->wait_until(
        [&opened]
        {
            return opened;
        });
    ASSERT_NE(stream, nullptr);
    stream->close();
    this->wait_until(
        [this]
        {
            return this->first.arrivals.at(0).cut;
        });
}

TEST_F(node_process_test, a_configuration_is_adopted_and_never_reverts)
{
    this->start_serving();
    this->store.put(
        "op",
        "",
        "config",
        R"({"version":5,"routes":[{"name":"new","host":"a.example",
        "prefix":"/new/","route_kind":"streaming","service":"chat"}]})");
    this->wait_until(
        [this]
        {
            return this->post_request("/new/1", "t1", "").status == 200;
        });
    this->store.put("op", "", "config", make_configuration(4));
    this->store.drop_history();
    this->store.put("servers", "", "i-2", this->second.entry("ready"));
    this->store.remove("servers", "", "i-1");
    this->wait_until(
        [this]
        {
            this->post_request("/new/1", "t2", "");
            return !this->second.arrivals.empty();
        });
    EXPECT_EQ(this->post_request("/ask/1", "t3", "").status, 404);
}

// Guards against items that never run: they wait for a slot while their route
// moves to another service and all runners of the previous one leave.
TEST_F(node_process_test, items_that_wait_follow_their_route)
{
    this->start_serving();
    this->store.remove("servers", "", "i-1");
    this->wait_until(
        [this]
        {
            return this->post_request("/ask/1", "t1", "").status == 503;
        });
    ASSERT_EQ(this->submit("j1"), 202);
    this->io.run_for(300ms);
    this->second.service = "other";
    this->register_runner(this->second, "ready");
    this->store.put("op", "", "config", make_moved_configuration(2, "other"));
    this->wait_for_results("j1", 2);
    this->expect_in_results("j1", "state", "completed");
    EXPECT_EQ(this->second.arrivals.size(), 2U);
}

// Guards against items that wait for a route that was removed, and never run
// after it was added again with another service.
TEST_F(node_process_test, items_that_wait_end_with_their_route)
{
    this->start_serving();
    this->store.remove("servers", "", "i-1");
    this->wait_until(
        [this]
        {
            return this->post_request("/ask/1", "t1", "").status == 503;
        });
    ASSERT_EQ(this->submit("j1"), 202);
    this->io.run_for(300ms);
    this->store.put("op", "", "config", R"({"version":2,"routes":[]})");
    this->wait_until(
        [this]
        {
            return this->store.value("jobs", "j1").find(R"("listed":[[)") !=
                   std::string::npos;
        });
    this->second.service = "other";
    this->register_runner(this->second, "ready");
    this->store.put("op", "", "config", make_moved_configuration(3, "other"));
    this->wait_for_results("j1", 2);
    this->expect_in_results("j1", "state", "errored");
    ASSERT_EQ(this->submit("j2"), 202);
    this->wait_for_results("j2", 2);
    this->expect_in_results("j2", "state", "completed");
    EXPECT_EQ(this->second.arrivals.size(), 2U);
}

// Guards against a caller that waits up to its deadline for runners of a
// service to which its route no longer leads.
TEST_F(node_process_test, a_request_that_waits_follows_its_route)
{
    const auto response = this->start_with_waiting_request();
    this->second.service = "other";
    this->register_runner(this->second, "ready");
    this->store.put("op", "", "config", make_moved_configuration(2, "other"));
    this->wait_until(
        [&response]
        {
            return response->status != 0;
        });
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(this->second.arrivals.size(), 1U);
}

// Guards against a caller that waits up to its deadline although its route was
// removed.
TEST_F(node_process_test, a_request_that_waits_ends_with_its_route)
{
    const auto response = this->start_with_waiting_request();
    this->store.put("op", "", "config", R"({"version":2,"routes":[]})");
    this->wait_until(
        [&response]
        {
            return response->status != 0;
        });
    EXPECT_EQ(response->status, 404);
}

// Guards against a broken stream that is resumed at the service that its route
// named when the request arrived.
TEST_F(node_process_test, a_stream_is_resumed_by_the_current_route)
{
    this->start_serving();
    this->first.events = 100000;
    const auto response = this->post_in_background("/go-on/1", "t1");
    this->wait_for_arrivals(1);
    this->second.service = "other";
    this->register_runner(this->second, "ready");
    std::string moved = make_moved_configuration(2, "other");
    const std::string field = R"("routes":[)";
    moved.insert(
        moved.find(field) + field.size(),
        R"({"name":"new","host":"a.example","prefix":"/new/",
        "route_kind":"streaming","service":"other"},)");
    this->store.put("op", "", "config", moved);
    this->wait_until(
        [this]
        {
            return this->post_request("/new/1", "t2", "").status == 200;
        });
    this->second.events = 100000;
    this->first.break_after_event = 1;
    this->wait_until(
        [this]
        {
            return this->second.arrivals.size() == 2;
        });
    this->second.events = 4;
    this->wait_until(
        [&response]
        {
            return response->status != 0;
        });
    EXPECT_FALSE(this->response_incomplete);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(this->second.arrivals.back().attempt, "t1");
    EXPECT_GT(this->second.arrivals.back().after, 0);
}

// Guards against a lost service that stops the batch work of other members:
// more of its items wait for slots than a node lets wait at a time.
TEST_F(node_process_test, a_lost_service_does_not_stop_jobs_of_another)
{
    this->start_with_two_batch_services();
    this->expect_jobs_of_the_other_service_complete();
    // The service comes back, and its items run.
    this->register_runner(this->first, "ready");
    for (int number = 0; number < 10; ++number)
    {
        this->wait_for_results("lost-" + std::to_string(number), 2);
    }
}

// Guards against the same for a service whose runners refuse everything.
TEST_F(node_process_test, a_refusing_service_does_not_stop_jobs_of_another)
{
    this->first.status = 503;
    this->first.states_not_run = true;
    this->register_runner(this->first, "ready");
    this->start_with_two_batch_services();
    this->expect_jobs_of_the_other_service_complete();
}

// Guards against items that are larger than the memory of every runner and hold
// all places of those that wait, so that no sound item of the service starts.
TEST_F(node_process_test, items_too_large_for_every_runner_delay_no_others)
{
    this->start_with_memory(1000);
    this->first.token_capacity = 1000;
    this->expect_sound_items_complete_beside(1500);
    EXPECT_EQ(this->first.unsuitable, 0U);
    // They are still owed and run as soon as the memory has grown.
    this->first.token_capacity = 2000;
    this->store.put("op", "", "config", make_memory_configuration(2, 2000));
    this->expect_both_other_jobs_complete();
}

// Guards against the same if sound items follow in the same job.
TEST_F(node_process_test, large_items_of_a_job_do_not_delay_its_sound_ones)
{
    this->start_with_memory(1000);
    std::vector<std::int64_t> tokens(30, 1500);
    tokens.resize(40, 100);
    ASSERT_EQ(this->submit_items("mixed", tokens), 202);
    this->wait_for_results("mixed", 10);
    this->expect_in_results("mixed", "state", "completed");
}

// Guards against the same for items whose size is within the configured memory,
// but which the runners refuse each time.
TEST_F(node_process_test, items_that_runners_refuse_delay_no_others)
{
    this->start_with_memory(2000);
    this->first.token_capacity = 1000;
    this->expect_sound_items_complete_beside(1500);
    this->first.token_capacity = 2000;
    this->first.started_ms = 2;
    this->register_runner(this->first, "ready");
    this->expect_both_other_jobs_complete();
}

// Guards against the same for items that name weights that no runner has.
TEST_F(node_process_test, items_for_missing_weights_delay_no_others)
{
    this->start_with_memory(2000);
    this->expect_sound_items_complete_beside(100, R"(,"X-Expect-Version":"9")");
    EXPECT_EQ(this->post_request("/ask/1", "t1", "").status, 200);
    this->first.weights = 9;
    this->register_runner(this->first, "ready");
    this->expect_both_other_jobs_complete();
}

// Guards against items that are run again and again, while sound ones wait,
// because each run ends with a response that is neither a text nor a failure.
TEST_F(node_process_test, items_without_a_usable_response_delay_no_others)
{
    this->start_with_memory(2000);
    for (const int status : {404, 200, 502})
    {
        this->first.odd_status = status;
        this->first.odd_runs = 0;
        const std::string name = std::to_string(status);
        for (int job = 0; job < 5; ++job)
        {
            ASSERT_EQ(
                this->submit_items(
                    "odd-" + name + "-" + std::to_string(job),
                    std::vector<std::int64_t>(40, 100),
                    R"(,"X-Odd":"1")"),
                202);
        }
        this->io.run_for(500ms);
        ASSERT_EQ(
            this->submit_items(
                "sound-" + name, std::vector<std::int64_t>(10, 100)),
            202);
        this->wait_for_results("sound-" + name, 10);
        this->expect_in_results("sound-" + name, "state", "completed");
        // Each of the 200 items is run once or a few times before it is held.
        this->io.run_for(3s);
        EXPECT_LT(this->first.odd_runs, 400U) << status;
        this->first.odd_status = 0;
        ++this->first.started_ms;
        this->register_runner(this->first, "ready");
        for (int job = 0; job < 5; ++job)
        {
            this->wait_for_results(
                "odd-" + name + "-" + std::to_string(job), 40);
        }
    }
}

// Guards against a status 421 for weights that is taken for the answer of
// another runner: one such request takes the runner away from all callers.
TEST_F(
    node_process_test, a_request_for_missing_weights_leaves_the_runner_in_use)
{
    this->start_with_memory(2000);
    net::http_request request;
    request.method = "POST";
    request.target = "/ask/1";
    request.headers = {
        {"host", "a.example"},
        {"x-attempt-id", "t1"},
        {"x-deadline-ms", "5000"},
        {"x-expect-version", "9"}};
    EXPECT_EQ(
        this->send(this->settings.requests, std::move(request)).status, 503);
    EXPECT_EQ(this->post_request("/ask/2", "t2", "").status, 200);
}

// Guards against held items that are forgotten, given up before their time, or
// run after their job has ended: with the end of the job, its retention, or a
// restart of the node that holds them.
TEST_F(node_process_test, held_items_end_with_their_job_or_run_after_a_restart)
{
    this->start_with_memory(1000);
    const std::vector<std::int64_t> large(20, 1500);
    for (const char* job : {"ended", "kept"})
    {
        ASSERT_EQ(this->submit_items(job, large), 202);
    }
    this->io.run_for(500ms);
    net::http_request request;
    request.method = "DELETE";
    request.target = "/-/lots/ended";
    request.headers["host"] = "a.example";
    EXPECT_EQ(this->send(this->settings.requests, request).status, 200);
    // A second node with the same id stands for the next process.
    node_process next(this->io, this->make_next_process_settings());
    ASSERT_TRUE(next.start());
    this->io.run_for(500ms);
    EXPECT_EQ(this->read_results("kept").at("next").as_int64(), 0);
    this->store.put("op", "", "config", make_memory_configuration(2, 2000));
    this->wait_for_results("kept", 20);
    this->expect_in_results("kept", "state", "completed");
    for (const standins::engine_arrival& arrival : this->first.arrivals)
    {
        EXPECT_FALSE(arrival.attempt.starts_with("ended")) << arrival.attempt;
    }
    // The retention of its route ends the wait of an item.
    std::string configuration = make_memory_configuration(3, 1000);
    const std::string retention = R"("retention_s":60)";
    configuration.replace(
        configuration.find(retention), retention.size(), R"("retention_s":2)");
    this->store.put("op", "", "config", configuration);
    this->io.run_for(300ms);
    ASSERT_EQ(this->submit_items("late", large), 202);
    this->io.run_for(500ms);
    EXPECT_EQ(this->read_results("late").at("next").as_int64(), 0);
    this->wait_for_results("late", 20);
    this->expect_in_results("late", "state", "errored");
}

// An item that only one of several runners can hold reaches that runner.
TEST_F(node_process_test, an_item_for_the_only_large_runner_completes)
{
    this->first.token_capacity = 1000;
    this->register_runner(this->second, "ready");
    this->start_with_memory(2000);
    ASSERT_EQ(
        this->submit_items("large", std::vector<std::int64_t>(20, 1500)), 202);
    this->wait_for_results("large", 20);
    this->expect_in_results("large", "state", "completed");
}

TEST_F(node_process_test, runs_a_job_and_stores_its_results)
{
    this->start_serving();
    EXPECT_EQ(this->submit("j1"), 202);
    EXPECT_EQ(this->submit("j1"), 202);
    this->wait_for_results("j1", 2);
    const boost::json::object found = this->read_results("j1");
    EXPECT_EQ(found.at("total").to_number<std::int64_t>(), 2);
    for (const boost::json::value& entry : found.at("results").as_array())
    {
        EXPECT_EQ(entry.at("state").as_string(), "completed");
        EXPECT_EQ(
            entry.at("text").as_string(), "text 1\ntext 2\ntext 3\ntext 4");
    }
    EXPECT_EQ(this->first.arrivals.size(), 2U);
    EXPECT_EQ(this->first.arrivals[0].body, "hi");
    EXPECT_EQ(
        this->get(this->settings.requests, "/-/items/j1?id=a-j1").body, "hi");
    EXPECT_EQ(
        this->get(this->settings.requests, "/-/lots/none?after=0").status, 404);
}

TEST_F(node_process_test, an_interrupted_item_continues_after_its_last_event)
{
    this->start_serving();
    this->first.break_after_event = 2;
    ASSERT_EQ(this->submit("j1"), 202);
    this->wait_for_results("j1", 2);
    EXPECT_EQ(this->first.arrivals.size(), 3U);
    EXPECT_EQ(this->first.arrivals.back().after, 2);
    this->expect_in_results("j1", "text", "text 1\ntext 2\ntext 3\ntext 4");
}

// Guards against a stalled stream that never ends because the runner sends a
// byte now and then, as operators have seen.
TEST_F(node_process_test, an_item_with_a_stalled_stream_continues)
{
    this->start_serving();
    this->first.sends_stalled_stream = true;
    ASSERT_EQ(this->submit("j1"), 202);
    this->wait_for_results("j1", 2);
    this->expect_in_results("j1", "text", "text 1\ntext 2\ntext 3\ntext 4");
}

TEST_F(node_process_test, an_item_fails_only_after_its_last_attempt)
{
    this->start_serving();
    this->first.status = 500;
    ASSERT_EQ(this->submit("j1"), 202);
    this->wait_for_results("j1", 2);
    EXPECT_EQ(this->first.arrivals.size(), 6U);
    this->expect_in_results("j1", "state", "errored");
}

TEST_F(node_process_test, an_impossible_item_is_sent_once)
{
    this->start_serving();
    this->first.status = 422;
    ASSERT_EQ(this->submit("j1"), 202);
    this->wait_for_results("j1", 2);
    EXPECT_EQ(this->first.arrivals.size(), 2U);
}

TEST_F(node_process_test, a_job_over_the_limit_is_refused_and_never_runs)
{
    this->start_serving();
    EXPECT_EQ(this->submit("j1", 3000), 429);
    EXPECT_EQ(this->submit("j2", 100), 202);
    this->wait_for_results("j2", 2);
    for (const standins::engine_arrival& arrival : this->first.arrivals)
    {
        EXPECT_TRUE(arrival.attempt.ends_with("j2")) << arrival.attempt;
    }
}

TEST_F(node_process_test, a_cancelled_job_stops)
{
    this->start_serving();
    this->first.events = 100000;
    ASSERT_EQ(this->submit("j1"), 202);
    this->wait_for_arrivals(2);
    net::http_request request;
    request.method = "DELETE";
    request.target = "/-/lots/j1";
    request.headers["host"] = "a.example";
    EXPECT_EQ(this->send(this->settings.requests, request).status, 200);
    EXPECT_EQ(this->send(this->settings.requests, request).status, 200);
    this->wait_until(
        [this]
        {
            return this->first.arrivals[0].cut && this->first.arrivals[1].cut;
        });
}

TEST_F(node_process_test, an_unavailable_store_refuses_jobs_but_not_requests)
{
    this->start_serving();
    this->store.fault = standins::store_fault::unavailable;
    EXPECT_EQ(this->submit("j1"), 503);
    EXPECT_EQ(this->post_request("/ask/1", "t1", "").status, 200);
    EXPECT_EQ(
        this->get(this->settings.requests, "/-/lots/j1?after=0").status, 503);
    this->store.fault = standins::store_fault::none;
    this->wait_until(
        [this]
        {
            return this->get(this->settings.requests, "/-/lots/j1?after=0")
                       .status == 404;
        });
    EXPECT_EQ(this->store.count("jobs"), 0U);
}

TEST_F(node_process_test, a_slow_store_delays_jobs_but_not_requests)
{
    this->start_serving();
    // This delay exceeds the request's deadline: a request that waited for the
    // store would fail.
    this->store.delay = 8s;
    EXPECT_EQ(this->post_request("/ask/1", "t1", "").status, 200);
    this->store.delay = 400ms;
    EXPECT_EQ(this->submit("j1"), 202);
    this->wait_for_results("j1", 2);
    EXPECT_EQ(this->store.count("job_bodies"), 1U);
}

TEST_F(node_process_test, a_dropped_store_response_does_not_duplicate_a_job)
{
    this->start_serving();
    this->store.fault = standins::store_fault::drops_responses;
    this->submit("j1");
    this->store.fault = standins::store_fault::none;
    EXPECT_EQ(this->submit("j1"), 202);
    this->wait_for_results("j1", 2);
    EXPECT_EQ(this->first.arrivals.size(), 2U);
}

TEST_F(node_process_test, a_restarted_node_finishes_accepted_jobs)
{
    this->start_serving();
    this->first.events = 100000;
    ASSERT_EQ(this->submit("j1"), 202);
    this->wait_for_arrivals(2);
    // A second node with the same id stands for the next process. The first one
    // is not stopped, as after a loss of power.
    const std::size_t before = this->first.arrivals.size();
    node_process next(this->io, this->make_next_process_settings());
    ASSERT_TRUE(next.start());
    this->first.events = 4;
    this->wait_until(
        [&]
        {
            return this->first.arrivals.size() >= before + 2;
        });
    this->wait_for_results("j1", 2);
}

// Guards against the loss of a job that an earlier version accepted with an
// item that is refused now: a node that takes it over must run the other items.
TEST_F(node_process_test, a_stored_job_with_an_invalid_item_runs_the_others)
{
    const std::string partition = make_partition("jobs");
    serving::job_record job;
    job.id = "old";
    job.route = "jobs";
    job.owner = "vm-9";
    job.accepted_ms = 1;
    job.body_records = 1;
    job.tokens = {100, 100, 100};
    this->store.put("jobs", partition, "old", serving::encode_job(job));
    const std::string submission =
        R"({"requests":[{"id":"a","path":"/jobs/x","body":"aGk=","tokens":9},
        {"id":"b","path":"/jobs/x","headers":{"A\r\nB":"c"},"body":"aGk="},
        {"id":"c","path":"/jobs/\u00fc","body":"aGk="}]})";
    for (const ports::record_write& write :
         make_part_writes(body_table, "old", 0, submission, 65536))
    {
        this->store.put(write.table, partition, write.key, *write.value);
    }
    this->start_serving();
    this->wait_for_results("old", 3);
    const boost::json::object results = this->read_results("old");
    for (const boost::json::value& entry : results.at("results").as_array())
    {
        EXPECT_EQ(
            entry.at("state").as_string(),
            entry.at("id").as_string() == "a" ? "completed" : "errored");
    }
    ASSERT_EQ(this->first.arrivals.size(), 1U);
    EXPECT_EQ(this->first.arrivals[0].attempt, "a");
}

// Guards against the loss of work when a node loses power while items run that
// take seconds.
TEST_F(node_process_test, a_restarted_node_continues_from_saved_texts)
{
    this->start_serving();
    this->first.events = 3000;
    ASSERT_EQ(this->submit("j1"), 202);
    this->wait_until(
        [this]
        {
            return this->store.count("job_pieces") >= 2;
        });
    const std::size_t before = this->first.arrivals.size();
    node_process next(this->io, this->make_next_process_settings());
    ASSERT_TRUE(next.start());
    this->wait_until(
        [&]
        {
            return this->first.arrivals.size() >= before + 2;
        });
    for (std::size_t index = before; index < before + 2; ++index)
    {
        EXPECT_GT(this->first.arrivals[index].after, 0);
    }
    this->wait_for_results("j1", 2);
    std::string expected = "text 1";
    for (int number = 2; number <= 3000; ++number)
    {
        expected += "\ntext " + std::to_string(number);
    }
    this->expect_in_results("j1", "text", expected.c_str());
    EXPECT_EQ(this->store.count("job_pieces"), 0U);
}

// Guards against an item that is never listed because its many pieces do not
// fit into one transaction. An item that runs for minutes is saved each second.
TEST_F(node_process_test, an_item_with_many_saved_pieces_is_listed)
{
    this->start_serving();
    this->first.events = 100000;
    ASSERT_EQ(this->submit("j1"), 202);
    this->wait_for_arrivals(2);
    serving::item_piece piece;
    piece.events = 1;
    for (piece.first = 200000; piece.first < 200150; ++piece.first)
    {
        this->store.put(
            "job_pieces",
            make_partition("jobs"),
            make_piece_key("j1", 0, piece.first),
            serving::encode_piece(piece));
    }
    const std::size_t before = this->first.arrivals.size();
    node_process next(this->io, this->make_next_process_settings());
    ASSERT_TRUE(next.start());
    this->first.events = 4;
    this->wait_until(
        [&]
        {
            return this->first.arrivals.size() >= before + 2;
        });
    this->wait_for_results("j1", 2);
}

// Guards against jobs that stall during a rolling restart while their items
// run.
TEST_F(node_process_test, a_stopping_node_hands_over_its_jobs)
{
    // No process runs for this node, but it is listed in the store.
    membership::vm other;
    other.id = "vm-2";
    other.role = membership::vm_role::entry;
    other.incarnation = 7;
    other.region = "r1";
    other.zone = "z1";
    other.address = "127.0.0.1";
    other.http_port = 1;
    this->store.put("nodes", "", other.id, to_text(other));
    this->start_serving();
    this->first.events = 100000;
    ASSERT_EQ(this->submit("j1"), 202);
    this->wait_for_arrivals(2);
    this->io.run_for(50ms);
    ASSERT_EQ(std::raise(SIGTERM), 0);
    this->wait_until(
        [this]
        {
            return this->store.value("jobs", "j1")
                       .find(R"("owner":"vm-2","owner_incarnation":7)") !=
                   std::string::npos;
        });
    EXPECT_EQ(this->store.count("job_pieces"), 2U);
}

// Guards against an incarnation lower than that of the previous process. All
// nodes are killed and the clock of one jumps back, so that only the store
// knows its previous process, which owned jobs.
TEST_F(
    node_process_test, a_node_whose_clock_jumped_back_uses_a_later_incarnation)
{
    membership::vm earlier;
    earlier.id = this->settings.vm_id;
    earlier.incarnation = 9'000'000'000'000;
    this->store.put("nodes", "", earlier.id, to_text(earlier));
    this->start_serving();
    this->wait_until(
        [this]
        {
            return this->store.value("nodes", "vm-1").find("9000000000001") !=
                   std::string::npos;
        });
}

// Guards against excessive reads of the store when hundreds of nodes all read
// the list of nodes.
TEST_F(node_process_test, reads_only_changes_of_the_list_of_nodes)
{
    this->start_serving();
    // No process runs for this node, but it is listed in the store and the node
    // under test returns it as an entry address.
    membership::vm other;
    other.id = "vm-2";
    other.role = membership::vm_role::entry;
    other.incarnation = 1;
    other.region = "r1";
    other.zone = "z1";
    other.address = "127.0.0.1";
    other.http_port = 1;
    const std::size_t reads = this->store.calls["rows-get nodes"];
    this->store.put("nodes", "", other.id, to_text(other));
    this->wait_until(
        [this]
        {
            return this->get(
                           this->settings.entry_addresses,
                           "/-/resolve?name=a.example&region=r1&zone=z1")
                       .body.find("127.0.0.1:1\"") != std::string::npos;
        });
    EXPECT_EQ(this->store.calls["rows-get nodes"], reads);
    EXPECT_GT(this->store.calls["rows-feed nodes"], 0U);
}

TEST_F(node_process_test, returns_entry_addresses_to_callers)
{
    this->start_serving();
    const net::http_response response = this->get(
        this->settings.entry_addresses,
        "/-/resolve?name=a.example&region=r1&zone=z1");
    EXPECT_EQ(response.status, 200);
    EXPECT_NE(
        response.body.find(
            "127.0.0.1:" + std::to_string(this->settings.requests.port)),
        std::string::npos);
}

} // namespace

} // namespace chicory::node
