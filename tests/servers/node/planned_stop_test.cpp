// Guards against requests and jobs that a planned stop of a node ends without
// an answer. The node is a separate process, which gets the platform's signals.

#include "tests/process/child_process.hpp"
#include "tests/process/http_call.hpp"
#include "tests/process/node_settings_text.hpp"
#include "tests/standins/engine_standin.hpp"
#include "tests/standins/store_standin.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace chicory::process
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr std::chrono::seconds max_wait(40);

/// Routes whose requests may take longer than any grace period.
const std::string configuration =
    R"({"version":1,"routes":[{"name":"once","host":"a.example",
    "prefix":"/once/","route_kind":"streaming","timeout_ms":30000,
    "target_latency_ms":1000,"service":"chat","max_attempts":1,
    "resumable":false},{"name":"again","host":"a.example",
    "prefix":"/again/","route_kind":"streaming","timeout_ms":30000,
    "target_latency_ms":20000,"service":"chat","max_attempts":3,
    "resumable":true},{"name":"none","host":"a.example",
    "prefix":"/none/","route_kind":"streaming","timeout_ms":30000,
    "target_latency_ms":20000,"service":"none","max_attempts":3,
    "resumable":true},{"name":"jobs","host":"a.example","prefix":"/jobs/",
    "route_kind":"batch","timeout_ms":5000,"target_latency_ms":1000,
    "service":"chat","max_attempts":3,"retention_s":60,
    "completion_target_ms":18000}],"services":[{"name":"chat",
    "engine":{"slots":64}},{"name":"none","engine":{"slots":8}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":100000,
    "header_timeout_ms":30000,"idle_timeout_ms":15000}})";

/// What a caller has received.
struct caller_outcome
{
    std::string attempt;
    /// Zero while no head of a response has arrived.
    int status = 0;
    std::string body;
    net::http_headers headers;
    /// The whole response has arrived.
    bool complete = false;
    /// The call has ended, with or without a whole response.
    bool done = false;
};

class planned_stop_test : public testing::Test
{
protected:
    planned_stop_test()
        : store(this->io), runner(this->io, "i-1"),
          http(this->io.get_executor()),
          files(
              std::filesystem::temp_directory_path() /
              ("chicory-stop-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(this->files);
        this->runner.listen();
    }

    ~planned_stop_test() override
    {
        this->node.reset();
        std::filesystem::remove_all(this->files);
    }

    void start(int grace_s)
    {
        this->store.put("op", "", "config", configuration);
        this->store.put("servers", "", "i-1", this->runner.entry("ready"));
        this->start_process(grace_s);
        this->wait_for_readiness(200);
    }

    void start_process(int grace_s)
    {
        const std::filesystem::path settings = this->files / "node.toml";
        std::ofstream(settings)
            << make_node_settings(
                   this->requests,
                   this->readiness,
                   this->store.listen(),
                   "info")
            << "[times]\nstop_grace_s = " << grace_s << "\n";
        this->node = std::make_unique<child_process>(
            std::string(CHICORY_BINARY_DIR) + "/chicory-node",
            std::vector<std::string>{"--settings", settings.string()},
            (this->files / "node.log").string());
    }

    /// Stops the node and waits until it says so.
    void signal_stop()
    {
        this->node->signal(SIGTERM);
        this->wait_for_readiness(503);
    }

    void wait_for_readiness(int expected)
    {
        net::http_request request;
        request.target = "/-/readyz";
        this->wait_until(
            [&]
            {
                const caller_outcome& outcome =
                    this->call(this->readiness, request);
                this->wait_until(
                    [&outcome]
                    {
                        return outcome.done;
                    });
                return outcome.status == expected;
            });
    }

    void wait_for_end()
    {
        this->wait_until(
            [this]
            {
                return !this->node->is_running();
            });
        EXPECT_EQ(this->node->wait(), 0);
    }

    /// Waits until calls have ended, and then for the end of the node.
    void wait_for_all()
    {
        this->wait_until(
            [this]
            {
                return std::all_of(
                    this->outcomes.begin(),
                    this->outcomes.end(),
                    [](const caller_outcome& outcome)
                    {
                        return outcome.done;
                    });
            });
        this->wait_for_end();
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

    const caller_outcome& call(net::endpoint target, net::http_request request)
    {
        caller_outcome& outcome = this->outcomes.emplace_back();
        outcome.attempt = request.headers["x-attempt-id"];
        asio::co_spawn(
            this->io,
            this->receive(std::move(target), std::move(request), outcome),
            asio::detached);
        return outcome;
    }

    asio::awaitable<void> receive(
        net::endpoint target,
        net::http_request request,
        caller_outcome& outcome)
    {
        net::open_outcome opened = co_await this->http.open(
            std::move(target), std::move(request), max_wait);
        if (opened.stream != nullptr)
        {
            outcome.status = opened.stream->head().status;
            outcome.headers = opened.stream->head().headers;
            while (true)
            {
                const result<std::string> piece =
                    co_await opened.stream->read_some(max_wait);
                if (!piece || piece.value().empty())
                {
                    outcome.complete = piece.has_value();
                    break;
                }
                outcome.body += piece.value();
            }
        }
        outcome.done = true;
    }

    const caller_outcome& post(
        const std::string& target,
        int time_limit_ms,
        std::string body = "hi",
        const std::string& repeated = "")
    {
        net::http_request request;
        request.method = "POST";
        request.target = target;
        request.headers["host"] = "a.example";
        request.headers["x-attempt-id"] =
            repeated.empty() ? "t" + std::to_string(++this->attempts)
                             : repeated;
        request.headers["x-deadline-ms"] = std::to_string(time_limit_ms);
        request.headers["x-model"] = "m";
        request.body = std::move(body);
        return this->call(this->requests, std::move(request));
    }

    const caller_outcome& submit_job(const std::string& repeated = "")
    {
        return this->post(
            "/jobs/x",
            5000,
            R"({"requests":[{"id":"a","path":"/jobs/x",)"
            R"("headers":{"X-Model":"m"},"body":"aGk=","tokens":10}]})",
            repeated);
    }

    void wait_for_head(const caller_outcome& outcome)
    {
        this->wait_until(
            [&outcome]
            {
                return outcome.status != 0 || outcome.done;
            });
    }

    void wait_for_arrivals(std::size_t count)
    {
        this->wait_until(
            [this, count]
            {
                return this->runner.arrivals.size() >= count;
            });
    }

    bool has_arrived(const std::string& attempt) const
    {
        return std::any_of(
            this->runner.arrivals.begin(),
            this->runner.arrivals.end(),
            [&attempt](const standins::engine_arrival& arrival)
            {
                return arrival.attempt == attempt;
            });
    }

    bool is_in_log(const std::string& text) const
    {
        return this->node->output().find(text) != std::string::npos;
    }

    std::size_t count_in_log(const std::string& text) const
    {
        const std::string log = this->node->output();
        std::size_t count = 0;
        for (std::size_t at = log.find(text); at != std::string::npos;
             at = log.find(text, at + 1))
        {
            ++count;
        }
        return count;
    }

    void expect_refused(const caller_outcome& outcome)
    {
        EXPECT_EQ(outcome.status, 503) << outcome.attempt;
        EXPECT_TRUE(outcome.complete) << outcome.attempt;
        EXPECT_TRUE(outcome.headers.contains("retry-after"));
        EXPECT_FALSE(this->has_arrived(outcome.attempt)) << outcome.attempt;
    }

    asio::io_context io{1};
    standins::store_standin store;
    standins::engine_standin runner;
    net::http_client http;
    net::endpoint requests{"127.0.0.1", find_free_port()};
    net::endpoint readiness{"127.0.0.1", find_free_port()};
    std::filesystem::path files;
    std::unique_ptr<child_process> node;
    std::list<caller_outcome> outcomes;
    int attempts = 0;
};

} // namespace

// Guards against a request that is taken during a stop and cut off at its end.
TEST_F(planned_stop_test, a_request_that_may_outlast_the_grace_is_refused)
{
    this->start(4);
    this->runner.events = 100000;
    this->signal_stop();
    const caller_outcome& once = this->post("/once/1", 30000);
    const caller_outcome& again = this->post("/again/1", 30000);
    this->wait_for_all();
    this->expect_refused(once);
    this->expect_refused(again);
}

TEST_F(planned_stop_test, a_request_that_ends_within_the_grace_is_served)
{
    this->start(8);
    this->signal_stop();
    const caller_outcome& outcome = this->post("/once/1", 2000);
    this->wait_for_all();
    EXPECT_EQ(outcome.status, 200);
    EXPECT_TRUE(outcome.complete);
}

// Guards against streams that are cut off at the end of the grace because
// callers that hold the address of the node keep coming.
TEST_F(planned_stop_test, callers_that_keep_coming_are_served_or_refused)
{
    constexpr int callers = 8;
    this->start(8);
    this->runner.events = 40;
    this->runner.event_time = 15ms;
    std::vector<const caller_outcome*> last(callers, nullptr);
    const auto send_next = [&]
    {
        for (const caller_outcome*& outcome : last)
        {
            if (outcome == nullptr || outcome->done)
            {
                outcome = &this->post(
                    this->attempts % 2 == 0 ? "/once/1" : "/again/1", 5000);
            }
        }
    };
    this->wait_until(
        [&]
        {
            send_next();
            return this->runner.arrivals.size() >= callers;
        });
    this->node->signal(SIGTERM);
    this->wait_until(
        [&]
        {
            if (this->node->is_running())
            {
                send_next();
                return false;
            }
            return true;
        });
    this->wait_for_all();
    for (const caller_outcome& outcome : this->outcomes)
    {
        if (this->has_arrived(outcome.attempt))
        {
            EXPECT_EQ(outcome.status, 200) << outcome.attempt;
            EXPECT_TRUE(outcome.complete) << outcome.attempt;
        }
        else if (outcome.status != 0 && !outcome.attempt.empty())
        {
            this->expect_refused(outcome);
        }
    }
    EXPECT_TRUE(this->is_in_log("drain_finished"));
    EXPECT_FALSE(this->is_in_log("request_cut_off"));
}

// Guards against connections that are closed without an answer at the end of
// the grace, whatever state their requests are in.
TEST_F(planned_stop_test, open_work_gets_an_answer_at_the_end_of_the_grace)
{
    this->start(4);
    this->runner.events = 100000;
    const caller_outcome& running = this->post("/once/1", 30000);
    this->wait_for_head(running);
    this->runner.head_time = 60s;
    const caller_outcome& sent = this->post("/once/2", 30000);
    this->wait_for_arrivals(2);
    asio::ip::tcp::socket half_body(this->io);
    half_body.connect(
        {asio::ip::make_address("127.0.0.1"), this->requests.port});
    asio::write(
        half_body,
        asio::buffer(std::string("POST /once/3 HTTP/1.1\r\nHost: a.example\r\n"
                                 "X-Attempt-Id: half\r\n"
                                 "Content-Length: 10\r\n\r\nhalf")));
    asio::ip::tcp::socket half_head(this->io);
    half_head.connect(
        {asio::ip::make_address("127.0.0.1"), this->requests.port});
    asio::write(
        half_head,
        asio::buffer(std::string("POST /once/4 HTTP/1.1\r\nHost: a.exa")));
    this->store.delay = 60s;
    const caller_outcome& job = this->submit_job();
    this->io.run_for(100ms);
    this->signal_stop();
    this->wait_for_all();
    EXPECT_EQ(running.status, 200);
    EXPECT_FALSE(running.complete);
    EXPECT_EQ(sent.status, 502);
    EXPECT_TRUE(job.status == 503 || job.status == 504) << job.status;
    for (asio::ip::tcp::socket* socket : {&half_body, &half_head})
    {
        std::string received(4096, '\0');
        boost::system::error_code code;
        const std::size_t size =
            socket->read_some(asio::buffer(received), code);
        EXPECT_TRUE(received.substr(0, size).starts_with("HTTP/1.1 503"))
            << received.substr(0, size);
    }
    EXPECT_TRUE(this->is_in_log("request_cut_off"));
}

// Guards against a request that waits for a slot through the grace, although
// it can go to another node at once.
TEST_F(
    planned_stop_test, a_waiting_request_is_refused_while_it_can_go_elsewhere)
{
    this->start(8);
    const caller_outcome& waiting = this->post("/none/1", 30000);
    this->io.run_for(300ms);
    ASSERT_FALSE(waiting.done);
    this->signal_stop();
    this->wait_until(
        [&waiting]
        {
            return waiting.done;
        });
    EXPECT_TRUE(this->node->is_running());
    this->expect_refused(waiting);
    this->wait_for_end();
}

// Guards against a stop that a node without a configuration does not complete.
TEST_F(planned_stop_test, a_node_without_a_configuration_refuses_and_stops)
{
    this->start_process(4);
    this->wait_for_readiness(503);
    this->signal_stop();
    const caller_outcome& outcome = this->post("/once/1", 1000);
    this->wait_for_all();
    this->expect_refused(outcome);
}

// Guards against a stop that was requested while the VM was frozen and cuts off
// what was open before.
TEST_F(planned_stop_test, a_stop_that_comes_during_a_freeze_completes_streams)
{
    this->start(8);
    this->runner.events = 40;
    this->runner.event_time = 15ms;
    const caller_outcome& outcome = this->post("/once/1", 5000);
    this->wait_for_head(outcome);
    this->node->signal(SIGSTOP);
    this->node->signal(SIGTERM);
    this->io.run_for(200ms);
    this->node->signal(SIGCONT);
    this->wait_for_all();
    EXPECT_EQ(outcome.status, 200);
    EXPECT_TRUE(outcome.complete);
    EXPECT_FALSE(this->is_in_log("request_cut_off"));
}

// Guards against a refusal as not kept of a job that was accepted before.
TEST_F(planned_stop_test, a_job_that_comes_again_is_not_refused)
{
    this->start(4);
    this->runner.events = 100000;
    const caller_outcome& first = this->submit_job();
    this->wait_for_head(first);
    ASSERT_EQ(first.status, 202);
    this->signal_stop();
    const caller_outcome& other = this->submit_job();
    const caller_outcome& again = this->submit_job(first.attempt);
    this->wait_for_all();
    EXPECT_EQ(other.status, 503);
    EXPECT_EQ(again.status, 202);
}

// Guards against a stop that cuts off a response which the runner has produced,
// while its caller reads the rest, and against one that waits beyond its grace
// for a caller that does not read.
TEST_F(planned_stop_test, a_stop_with_full_buffers_waits_for_slow_callers)
{
    this->start(6);
    this->runner.events = 1000;
    this->runner.event_padding = 8000;
    this->runner.event_time = 0ms;
    net::http_request request;
    request.method = "POST";
    request.headers["host"] = "a.example";
    request.headers["x-deadline-ms"] = "30000";
    std::vector<std::unique_ptr<net::http_stream>> streams;
    const auto open = [&](std::string attempt) -> asio::awaitable<void>
    {
        net::http_request message = request;
        message.target = "/once/" + attempt;
        message.headers["x-attempt-id"] = attempt;
        net::open_outcome opened = co_await this->http.open(
            this->requests, std::move(message), max_wait);
        streams.push_back(std::move(opened.stream));
    };
    for (const char* attempt : {"reads", "stalls"})
    {
        const std::size_t count = streams.size();
        asio::co_spawn(this->io, open(attempt), asio::detached);
        this->wait_until(
            [&]
            {
                return streams.size() > count;
            });
        ASSERT_NE(streams.back(), nullptr);
    }
    this->wait_until(
        [this]
        {
            return this->count_in_log("response_reading_paused") == 2;
        });
    this->signal_stop();
    std::size_t received = 0;
    bool complete = false;
    bool done = false;
    const auto read = [&]() -> asio::awaitable<void>
    {
        while (!done)
        {
            const result<std::string> piece =
                co_await streams[0]->read_some(max_wait);
            complete = piece && piece.value().empty();
            done = !piece || piece.value().empty();
            received += piece ? piece.value().size() : 0;
        }
    };
    asio::co_spawn(this->io, read(), asio::detached);
    this->wait_until(
        [&done]
        {
            return done;
        });
    EXPECT_TRUE(complete);
    EXPECT_GT(received, 8000000U);
    this->wait_for_end();
    EXPECT_EQ(this->count_in_log("request_cut_off"), 1U);
    EXPECT_TRUE(this->is_in_log("drain_finished"));
}

// Guards against a second signal that cuts off requests without an answer.
TEST_F(planned_stop_test, a_second_signal_ends_open_requests_with_an_answer)
{
    this->start(30);
    this->runner.head_time = 60s;
    const caller_outcome& sent = this->post("/once/1", 30000);
    this->wait_for_arrivals(1);
    this->signal_stop();
    this->node->signal(SIGTERM);
    this->wait_for_all();
    EXPECT_EQ(sent.status, 502);
}

// Guards against a stop that waits for a poll of results, and against a poll
// that is cut off by it.
TEST_F(planned_stop_test, a_poll_of_results_is_answered_at_once)
{
    this->start(8);
    this->runner.events = 100000;
    const caller_outcome& job = this->submit_job();
    this->wait_for_head(job);
    ASSERT_EQ(job.status, 202);
    this->wait_for_arrivals(1);
    net::http_request poll;
    poll.target = "/-/lots/" + job.attempt + "?after=0";
    poll.headers["host"] = "a.example";
    poll.headers["x-wait-ms"] = "1000";
    const caller_outcome& early = this->call(this->requests, poll);
    this->signal_stop();
    const caller_outcome& late = this->call(this->requests, poll);
    this->wait_for_all();
    EXPECT_EQ(early.status, 200);
    EXPECT_EQ(late.status, 200);
}

} // namespace chicory::process
