// Guards against slow callers that hold the slots of runners or the memory of a
// node, and against bodies that exceed its memory. The node runs in this
// process; callers and runners use sockets on loopback.

#include "servers/node/node.hpp"
#include "tests/process/http_call.hpp"
#include "tests/standins/engine_standin.hpp"
#include "tests/standins/store_standin.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace chicory::node
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr std::chrono::seconds max_wait(40);
constexpr std::size_t kb = std::size_t(1) << 10U;
constexpr std::size_t usual_body = 900 * kb;
/// Largest buffer of one response, with the piece that was read last.
constexpr std::int64_t max_unread = 256 * 1024 + 32 * 1024;

const std::string configuration =
    R"({"version":1,"routes":[{"name":"ask","host":"a.example",
    "prefix":"/ask/","route_kind":"streaming","timeout_ms":30000,
    "target_latency_ms":20000,"service":"chat","max_attempts":1,
    "resumable":false},{"name":"go-on","host":"a.example",
    "prefix":"/go-on/","route_kind":"streaming","timeout_ms":30000,
    "target_latency_ms":20000,"service":"chat","max_attempts":3,
    "resumable":true},{"name":"short","host":"a.example",
    "prefix":"/short/","route_kind":"streaming","timeout_ms":1500,
    "target_latency_ms":1000,"service":"chat","max_attempts":1,
    "resumable":false},{"name":"jobs","host":"a.example","prefix":"/jobs/",
    "route_kind":"batch","timeout_ms":5000,"target_latency_ms":1000,
    "service":"chat","max_attempts":3,"retention_s":60,
    "completion_target_ms":18000,"max_count":5000}],
    "services":[{"name":"chat","engine":{"slots":8}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4000000,
    "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// A call whose response is read when the test says so.
struct slow_call
{
    int status = 0;
    net::http_headers headers;
    std::string body;
    /// Null before the head has arrived.
    std::unique_ptr<net::http_stream> stream;
    bool complete = false;
    bool done = false;
};

class slow_readers_test : public testing::Test
{
protected:
    slow_readers_test()
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
        this->settings.metrics_port = process::find_free_port();
        this->settings.store = {"127.0.0.1", this->store.listen()};
        this->settings.memory_mb = 64;
        this->first.listen();
        this->second.listen();
        this->first.event_time = 0ms;
        this->second.event_time = 0ms;
    }

    void start()
    {
        this->store.put("op", "", "config", configuration);
        this->store.put("servers", "", "i-1", this->first.entry("ready"));
        this->process =
            std::make_unique<node_process>(this->io, this->settings);
        ASSERT_TRUE(this->process->start());
        this->wait_until(
            [this]
            {
                return this->get(this->settings.readiness, "/-/readyz")
                           .status == 200;
            });
    }

    void wait_until(const std::function<bool()>& condition)
    {
        const time_point until = read_monotonic_clock() + duration(max_wait);
        while (!condition())
        {
            ASSERT_LT(read_monotonic_clock(), until);
            this->io.run_for(2ms);
        }
    }

    /// Sends a request. Its response is read at once if `reads` is true, and
    /// otherwise by `read_rest`.
    slow_call& send(net::endpoint target, net::http_request request, bool reads)
    {
        slow_call& call = this->calls.emplace_back();
        asio::co_spawn(
            this->io,
            this->open(std::move(target), std::move(request), reads, call),
            asio::detached);
        return call;
    }

    asio::awaitable<void> open(
        net::endpoint target,
        net::http_request request,
        bool reads,
        slow_call& call)
    {
        net::open_outcome opened = co_await this->http.open(
            std::move(target), std::move(request), max_wait);
        if (opened.stream == nullptr)
        {
            call.done = true;
            co_return;
        }
        call.status = opened.stream->head().status;
        call.headers = opened.stream->head().headers;
        call.stream = std::move(opened.stream);
        if (reads)
        {
            co_await this->read(call);
        }
    }

    asio::awaitable<void> read(slow_call& call)
    {
        while (!call.done)
        {
            const result<std::string> piece =
                co_await call.stream->read_some(max_wait);
            call.complete = piece && piece.value().empty();
            call.done = !piece || piece.value().empty();
            call.body += piece ? piece.value() : std::string();
        }
        call.stream.reset();
    }

    /// Reads the rest of a response to its end.
    void read_rest(slow_call& call)
    {
        asio::co_spawn(this->io, this->read(call), asio::detached);
        this->wait_for_end(call);
    }

    /// Starts streams of growing length that are not read, until one ends whose
    /// last bytes the connection of its caller did not accept. The sizes of the
    /// system's buffers are not known, and the step is smaller than the buffer
    /// of the node.
    slow_call& start_buffered_stream(const std::string& target)
    {
        constexpr std::int64_t step = 12;
        this->first.event_padding = 8000;
        this->first.events = 0;
        slow_call* call = nullptr;
        while (!HasFatalFailure() && this->metric("unread_response_bytes") <= 0)
        {
            this->first.events += step;
            const std::size_t arrivals = this->first.arrivals.size();
            call = &this->post(target, false);
            this->wait_until(
                [this, arrivals]
                {
                    return this->first.arrivals.size() > arrivals &&
                           (this->metric("slots_in_use") == 0 ||
                            this->metric("responses_paused") > 0);
                });
        }
        return *call;
    }

    void wait_for_end(const slow_call& call)
    {
        this->wait_until(
            [&call]
            {
                return call.done;
            });
    }

    slow_call&
    post(const std::string& target, bool reads, std::string body = "hi")
    {
        net::http_request request;
        request.method = "POST";
        request.target = target;
        request.headers["host"] = "a.example";
        request.headers["x-attempt-id"] = "t" + std::to_string(++this->sent);
        request.headers["x-deadline-ms"] = "30000";
        request.headers["x-model"] = "m";
        request.body = std::move(body);
        return this->send(this->settings.requests, std::move(request), reads);
    }

    net::http_response get(net::endpoint target, const std::string& path)
    {
        net::http_request request;
        request.target = path;
        request.headers["host"] = "a.example";
        slow_call& call = this->send(std::move(target), request, true);
        this->wait_for_end(call);
        return {call.status, call.headers, call.body};
    }

    /// Returns the value of a metric without labels; -1 if there is none.
    std::int64_t metric(const std::string& name)
    {
        const std::string text =
            "\n" +
            this->get({"127.0.0.1", this->settings.metrics_port}, "/metrics")
                .body;
        const std::string start = "\nchicory_" + name + " ";
        const std::size_t found = text.find(start);
        return found == std::string::npos
                   ? -1
                   : std::stoll(text.substr(found + start.size()));
    }

    void wait_for_metric(const std::string& name, std::int64_t value)
    {
        this->wait_until(
            [&]
            {
                return this->metric(name) == value;
            });
    }

    /// Expects the events from one to `last`, each once and in order.
    static void expect_events(
        const std::string& body, std::int64_t last, std::size_t padding)
    {
        std::string expected;
        for (std::int64_t number = 1; number <= last; ++number)
        {
            expected += "id: " + std::to_string(number) + "\ndata: text " +
                        std::to_string(number) + std::string(padding, '.') +
                        "\n\n";
        }
        EXPECT_EQ(body.size(), expected.size());
        EXPECT_TRUE(body == expected);
    }

    void expect_refused(const slow_call& call)
    {
        EXPECT_EQ(call.status, 503);
        EXPECT_EQ(call.body, "out_of_memory_budget");
        EXPECT_TRUE(call.complete);
        EXPECT_TRUE(call.headers.contains("retry-after"));
    }

    /// Starts a stream of 8 MB that its caller does not read, and waits until
    /// the node has paused.
    slow_call& start_paused_stream(const std::string& target)
    {
        this->first.events = 1000;
        this->first.event_padding = 8000;
        slow_call& call = this->post(target, false);
        this->wait_for_metric("responses_paused", 1);
        return call;
    }

    asio::io_context io{1};
    standins::store_standin store;
    standins::engine_standin first;
    standins::engine_standin second;
    net::http_client http;
    node_settings settings;
    std::unique_ptr<node_process> process;
    std::list<slow_call> calls;
    int sent = 0;
};

// Guards against a stream without a limit on what is held for a slow caller,
// and against bytes that are lost, repeated or reordered in the buffer.
TEST_F(slow_readers_test, a_full_buffer_pauses_the_run_and_keeps_the_order)
{
    this->start();
    slow_call& call = this->start_paused_stream("/ask/1");
    const std::int64_t unread = this->metric("unread_response_bytes");
    EXPECT_GT(unread, 200000);
    EXPECT_LE(unread, max_unread);
    EXPECT_EQ(this->metric("slots_in_use"), 1);
    EXPECT_FALSE(this->first.arrivals[0].complete);
    this->read_rest(call);
    EXPECT_TRUE(call.complete);
    expect_events(call.body, 1000, 8000);
    this->wait_for_metric("slots_in_use", 0);
    EXPECT_EQ(this->metric("unread_response_bytes"), 0);
    EXPECT_EQ(this->metric("responses_paused"), 0);
    EXPECT_EQ(this->metric("responses_paused_total"), 1);
}

// Guards against a run that holds its slot until its caller has read, although
// the runner has finished, and against a response that the runner has produced
// and that the deadline cuts off.
TEST_F(slow_readers_test, a_finished_run_frees_its_slot_and_is_delivered_late)
{
    this->start();
    slow_call& call = this->start_buffered_stream("/short/1");
    const std::int64_t events = this->first.events;
    EXPECT_EQ(this->metric("slots_in_use"), 0);
    EXPECT_EQ(this->metric("responses_paused"), 0);
    this->io.run_for(2s);
    EXPECT_GT(this->metric("unread_response_bytes"), 0);
    this->read_rest(call);
    EXPECT_TRUE(call.complete);
    expect_events(call.body, events, 8000);
    this->wait_for_metric("unread_response_bytes", 0);
}

// Guards against a deadline that a paused run outlasts.
TEST_F(slow_readers_test, the_deadline_ends_a_paused_run)
{
    this->start();
    slow_call& call = this->start_paused_stream("/short/1");
    this->wait_until(
        [this]
        {
            return this->first.arrivals[0].cut;
        });
    this->wait_for_metric("slots_in_use", 0);
    EXPECT_EQ(this->metric("unread_response_bytes"), 0);
    this->read_rest(call);
    EXPECT_FALSE(call.complete);
}

// Guards against a departure of the caller that is noticed only by a write,
// which does not take place while the buffer is full.
TEST_F(slow_readers_test, a_caller_that_leaves_with_a_full_buffer_ends_the_run)
{
    this->start();
    slow_call& call = this->start_paused_stream("/go-on/1");
    call.stream.reset();
    const time_point left = read_monotonic_clock();
    this->wait_until(
        [this]
        {
            return this->first.arrivals[0].cut;
        });
    EXPECT_LT(read_monotonic_clock() - left, duration(500ms));
    this->wait_for_metric("slots_in_use", 0);
    EXPECT_EQ(this->metric("unread_response_bytes"), 0);
    EXPECT_EQ(this->metric("requests_abandoned_total"), 1);
    EXPECT_EQ(this->first.arrivals.size(), 1U);
}

// Guards against a stream that is resumed after the events that its caller has
// read, and not after those that are buffered for it.
TEST_F(slow_readers_test, a_stream_is_resumed_after_the_buffered_events)
{
    this->start();
    this->store.put("servers", "", "i-2", this->second.entry("ready"));
    this->io.run_for(300ms);
    for (standins::engine_standin* runner : {&this->first, &this->second})
    {
        runner->events = 1000;
        runner->event_padding = 8000;
        runner->break_after_event = 700;
    }
    slow_call& call = this->post("/go-on/1", false);
    this->wait_for_metric("responses_paused", 1);
    (this->first.arrivals.empty() ? this->first : this->second)
        .break_after_event = 0;
    this->read_rest(call);
    EXPECT_TRUE(call.complete);
    expect_events(call.body, 1000, 8000);
    EXPECT_EQ(this->first.arrivals.size() + this->second.arrivals.size(), 2U);
}

// Guards against a runner whose response is paused and that is taken for a
// silent one, so that it gets no further work.
TEST_F(slow_readers_test, a_paused_run_does_not_make_its_runner_suspect)
{
    this->start();
    this->start_paused_stream("/ask/1");
    this->io.run_for(1500ms);
    this->first.events = 4;
    this->first.event_padding = 0;
    const time_point begun = read_monotonic_clock();
    slow_call& other = this->post("/ask/2", true);
    this->wait_for_end(other);
    EXPECT_LT(read_monotonic_clock() - begun, duration(1s));
    EXPECT_TRUE(other.complete);
}

// Guards against slow callers that take all slots of the runners, so that the
// requests of other callers wait for them.
TEST_F(slow_readers_test, slow_callers_leave_the_slots_to_others)
{
    constexpr int slow_callers = 24;
    this->start();
    this->first.events = 25;
    this->first.event_padding = 8000;
    std::vector<slow_call*> slow;
    for (int number = 0; number < slow_callers; ++number)
    {
        slow.push_back(&this->post("/ask/1", false));
    }
    slow_call& other = this->post("/ask/2", true);
    this->wait_for_end(other);
    EXPECT_TRUE(other.complete);
    this->wait_for_metric("slots_in_use", 0);
    for (slow_call* call : slow)
    {
        this->read_rest(*call);
        EXPECT_TRUE(call->complete);
        expect_events(call->body, 25, 8000);
    }
    this->wait_for_metric("unread_response_bytes", 0);
}

// Guards against bodies of waiting requests that exceed the memory while
// runners are slow, and against refusals whose response is lost in a reset.
TEST_F(slow_readers_test, bodies_beyond_the_budget_are_refused_as_not_run)
{
    constexpr int callers = 24;
    this->start();
    this->first.head_time = 1500ms;
    std::vector<slow_call*> posted;
    for (int number = 0; number < callers; ++number)
    {
        posted.push_back(
            &this->post("/ask/1", true, std::string(usual_body, 'x')));
    }
    const std::int64_t limit = std::int64_t(16) << 20U;
    int refused = 0;
    for (const slow_call* call : posted)
    {
        this->wait_until(
            [this, call, limit]
            {
                EXPECT_LE(this->metric("request_body_bytes"), limit);
                return call->done;
            });
        if (call->status == 200)
        {
            EXPECT_TRUE(call->complete);
            continue;
        }
        this->expect_refused(*call);
        ++refused;
    }
    EXPECT_GT(refused, 0);
    EXPECT_LT(refused, callers);
    EXPECT_EQ(
        this->first.arrivals.size(),
        static_cast<std::size_t>(callers - refused));
    for (const standins::engine_arrival& arrival : this->first.arrivals)
    {
        EXPECT_EQ(arrival.body.size(), usual_body);
        EXPECT_FALSE(arrival.cut);
    }
    EXPECT_EQ(this->metric("request_body_bytes"), 0);
    slow_call& later = this->post("/ask/1", true, std::string(usual_body, 'x'));
    this->wait_for_end(later);
    EXPECT_EQ(later.status, 200);
}

// Guards against bodies without a length that arrive slowly and are counted
// only when they are whole, and against a job whose body has no memory.
TEST_F(slow_readers_test, bodies_that_arrive_slowly_are_counted)
{
    constexpr int callers = 30;
    this->start();
    std::list<asio::ip::tcp::socket> slow;
    const std::string size_line = "DBBA0\r\n"; // 900,000 bytes
    const std::string head = "POST /ask/1 HTTP/1.1\r\nHost: a.example\r\n"
                             "X-Attempt-Id: slow\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n" +
                             size_line + std::string(700000, 'x');
    for (int number = 0; number < callers; ++number)
    {
        asio::ip::tcp::socket& socket = slow.emplace_back(this->io);
        socket.connect(
            {asio::ip::make_address("127.0.0.1"),
             this->settings.requests.port});
        asio::async_write(
            socket,
            asio::buffer(head),
            [](boost::system::error_code, std::size_t) {});
    }
    this->wait_until(
        [this]
        {
            return this->metric("request_body_bytes") > 12000000;
        });
    slow_call& job = this->post(
        "/jobs/x",
        true,
        R"({"requests":[{"id":"a","path":"/jobs/x","body":"aGk=","tokens":1}]})");
    this->wait_for_end(job);
    this->expect_refused(job);
    slow_call& online = this->post("/ask/1", true);
    this->wait_for_end(online);
    this->expect_refused(online);
    EXPECT_LE(
        this->metric("request_body_bytes"),
        this->metric("request_body_limit_bytes"));
    slow.clear();
    this->wait_for_metric("request_body_bytes", 0);
    EXPECT_TRUE(this->first.arrivals.empty());
}

} // namespace

} // namespace chicory::node
