#include "servers/gate/gate.hpp"
#include "servers/gate/online_session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <vector>

namespace chicory::gate
{

namespace
{

namespace asio = boost::asio;

/// Iterations after which run_until stops waiting for its condition.
constexpr int max_iterations = 3000;

/// A caller's connection that records what is sent to it.
class fake_exchange : public net::http_exchange
{
public:
    const net::http_request& head() const override
    {
        return this->request;
    }

    asio::awaitable<result<std::string>> read_body(std::size_t) override
    {
        co_return std::string();
    }

    asio::awaitable<result<std::string>> read_some() override
    {
        co_return std::string();
    }

    asio::awaitable<result<void>> respond(net::http_response) override
    {
        co_return boost::outcome_v2::success();
    }

    asio::awaitable<result<void>> start_stream(net::http_response) override
    {
        this->heads += 1;
        co_return boost::outcome_v2::success();
    }

    asio::awaitable<result<void>> write_chunk(std::string_view bytes) override
    {
        this->bytes += bytes;
        co_return boost::outcome_v2::success();
    }

    result<void> send_chunk(std::string_view bytes) override
    {
        this->bytes += bytes;
        return boost::outcome_v2::success();
    }

    std::size_t unsent_bytes() const override
    {
        return 0;
    }

    void set_progress_hook(std::function<void(bool)>) override
    {
    }

    asio::awaitable<result<void>> end_stream() override
    {
        this->ended = true;
        co_return boost::outcome_v2::success();
    }

    void
    watch_disconnect(std::function<void(net::connection_side)> hook) override
    {
        this->disconnect = [hook]
        {
            hook(net::connection_side::peer);
        };
    }

    net::http_request request;
    std::function<void()> disconnect;
    std::string bytes;
    int heads = 0;
    bool ended = false;
};

/// A gate that owns two runners. The test records the messages to their owner
/// and sends the responses.
class online_session_test : public testing::Test
{
protected:
    online_session_test()
        : owners(this->context.get_executor(), this->fleet, "e0"),
          suspects(std::chrono::minutes(10)), state(
                                                  this->context.get_executor(),
                                                  this->settings,
                                                  this->fleet,
                                                  this->owners,
                                                  this->suspects,
                                                  this->counters)
    {
        membership::vm entry;
        entry.id = "e0";
        membership::fleet_view view;
        view.version = 1;
        view.vms.push_back(entry);
        for (const char* const id : {"w0", "w1"})
        {
            membership::vm runner;
            runner.id = id;
            runner.role = membership::vm_role::runner;
            runner.service = "llm";
            view.vms.push_back(runner);
        }
        this->fleet.update_view(view);
        configuration::table_set tables;
        tables.revision = 1;
        tables.pools["p"].name = "p";
        tables.pools["p"].service = "llm";
        this->fleet.update_tables(tables);
        this->request.pool = tables.pools["p"];
        this->request.route.name = "r";
        this->request.route.member = "m";
        this->request.route.retry_budget_percent = 100;
        this->request.time_left = std::chrono::seconds(30);
        this->request.streaming = true;
        this->owners.set_local_hook(
            [this](const wire::message& value)
            {
                this->record_message(value);
            });
    }

    /// Records the messages that the session sends to the owner and replies to
    /// probes.
    void record_message(const wire::message& value)
    {
        if (const auto* const probe = std::get_if<wire::probe>(&value))
        {
            wire::probe_reply reply;
            reply.probe_id = probe->probe_id;
            reply.pool = probe->pool;
            this->probes += 1;
            if (this->replies_to_probes)
            {
                this->state.handle_probe_reply(reply);
            }
        }
        if (const auto* const sent = std::get_if<wire::dispatch>(&value))
        {
            this->sent.push_back(*sent);
            if (this->on_dispatch)
            {
                this->on_dispatch(*sent);
            }
        }
        if (const auto* const resume =
                std::get_if<wire::resume_response>(&value))
        {
            this->resumed.push_back(*resume);
        }
        if (std::holds_alternative<wire::cancel_attempt>(value))
        {
            this->cancels += 1;
        }
    }

    void send_response(const wire::message& value)
    {
        this->owners.receive("e0", value);
    }

    void send_head(const wire::dispatch& to)
    {
        wire::response_head head;
        head.request_id = to.request_id;
        head.attempt = to.attempt;
        head.status = 200;
        this->send_response(head);
    }

    void send_frame(
        const wire::dispatch& to, std::uint64_t offset, std::string bytes)
    {
        wire::response_frame frame;
        frame.request_id = to.request_id;
        frame.attempt = to.attempt;
        frame.offset = offset;
        frame.bytes = std::move(bytes);
        this->send_response(frame);
    }

    void send_end(const wire::dispatch& to, std::uint64_t length)
    {
        wire::response_end end;
        end.request_id = to.request_id;
        end.attempt = to.attempt;
        end.length = length;
        this->send_response(end);
    }

    void
    fail(const wire::dispatch& to, wire::attempt_outcome outcome, reason why)
    {
        wire::response_failed failure;
        failure.request_id = to.request_id;
        failure.attempt = to.attempt;
        failure.outcome = outcome;
        failure.reason = std::string(name_of(why));
        this->send_response(failure);
    }

    /// Fails every attempt with the same outcome and reason.
    void fail_all(wire::attempt_outcome outcome, reason why)
    {
        this->on_dispatch = [this, outcome, why](const wire::dispatch& to)
        {
            asio::post(
                this->context,
                [this, to, outcome, why]()
                {
                    this->fail(to, outcome, why);
                });
        };
    }

    void start()
    {
        this->session = std::make_unique<online_session>(
            this->state,
            this->exchange,
            this->request,
            read_monotonic_clock() + this->request.time_left);
        asio::co_spawn(
            this->context,
            [this]() -> asio::awaitable<void>
            {
                this->outcome = co_await this->session->run();
            },
            asio::detached);
    }

    /// Runs the context until a condition holds. Returns true when it held.
    bool run_until(const std::function<bool()>& condition)
    {
        for (int iteration = 0; iteration < max_iterations && !condition();
             ++iteration)
        {
            this->context.restart();
            this->context.run_for(std::chrono::milliseconds(2));
        }
        return condition();
    }

    bool run_until_sent(std::size_t count)
    {
        return this->run_until(
            [this, count]()
            {
                return this->sent.size() >= count;
            });
    }

    bool run_until_ended()
    {
        return this->run_until(
            [this]()
            {
                return this->outcome.has_value();
            });
    }

    asio::io_context context;
    dispatching::fleet_cache fleet;
    dispatching::dispatcher owners;
    online::quarantine suspects;
    metrics counters;
    vm_settings settings;
    gate_state state;
    online_request request;
    fake_exchange exchange;
    std::unique_ptr<online_session> session;
    std::optional<session_outcome> outcome;
    std::function<void(const wire::dispatch&)> on_dispatch;
    std::vector<wire::dispatch> sent;
    std::vector<wire::resume_response> resumed;
    int probes = 0;
    int cancels = 0;
    bool replies_to_probes = true;
};

} // namespace

TEST_F(
    online_session_test, duplicate_and_reordered_frames_reach_the_caller_once)
{
    this->start();
    ASSERT_TRUE(this->run_until_sent(1));
    const wire::dispatch& run = this->sent.front();
    this->send_head(run);
    this->send_frame(run, 3, "def");
    this->send_frame(run, 0, "abc");
    this->send_frame(run, 0, "abc");
    this->send_frame(run, 3, "def");
    this->send_end(run, 6);
    ASSERT_TRUE(this->run_until_ended());
    EXPECT_EQ(this->exchange.bytes, "abcdef");
    EXPECT_EQ(this->exchange.heads, 1);
    EXPECT_TRUE(this->exchange.ended);
    EXPECT_EQ(this->outcome->result, online::request_result::answered);
}

TEST_F(online_session_test, a_response_without_its_end_is_not_complete)
{
    this->request.time_left = std::chrono::milliseconds(100);
    this->start();
    ASSERT_TRUE(this->run_until_sent(1));
    this->send_head(this->sent.front());
    this->send_frame(this->sent.front(), 0, "abc");
    ASSERT_TRUE(this->run_until_ended());
    EXPECT_FALSE(this->exchange.ended);
    ASSERT_TRUE(this->outcome->failure.has_value());
    EXPECT_FALSE(this->outcome->failure->not_run);
    EXPECT_EQ(this->sent.size(), 1U);
}

TEST_F(online_session_test, a_refused_attempt_is_retried_at_another_runner)
{
    this->start();
    ASSERT_TRUE(this->run_until_sent(1));
    const wire::dispatch first = this->sent.front();
    this->fail(
        first, wire::attempt_outcome::refused_not_run, reason::runner_leaving);
    ASSERT_TRUE(this->run_until_sent(2));
    const wire::dispatch second = this->sent.back();
    EXPECT_NE(second.runner, first.runner);
    // A late frame of the first attempt is discarded.
    this->send_frame(first, 0, "old");
    this->send_head(second);
    this->send_frame(second, 0, "new");
    this->send_end(second, 3);
    ASSERT_TRUE(this->run_until_ended());
    EXPECT_EQ(this->exchange.bytes, "new");
}

TEST_F(
    online_session_test, not_run_is_reported_only_when_no_attempt_may_have_run)
{
    this->fail_all(wire::attempt_outcome::refused_not_run, reason::runner_full);
    this->start();
    ASSERT_TRUE(this->run_until_ended());
    ASSERT_TRUE(this->outcome->failure.has_value());
    EXPECT_TRUE(this->outcome->failure->not_run);
    EXPECT_GT(this->sent.size(), 1U);
    EXPECT_GT(this->outcome->failure->retry_after_ms, 0);
}

TEST_F(
    online_session_test,
    an_unknown_outcome_of_a_not_repeatable_request_is_final)
{
    this->request.not_repeatable = true;
    this->fail_all(wire::attempt_outcome::unknown, reason::runner_crashed);
    this->start();
    ASSERT_TRUE(this->run_until_ended());
    ASSERT_TRUE(this->outcome->failure.has_value());
    EXPECT_FALSE(this->outcome->failure->not_run);
    EXPECT_EQ(this->sent.size(), 1U);
}

TEST_F(
    online_session_test, a_lost_link_is_resumed_after_the_last_forwarded_byte)
{
    this->start();
    ASSERT_TRUE(this->run_until_sent(1));
    const wire::dispatch run = this->sent.front();
    this->send_head(run);
    this->send_frame(run, 0, "abc");
    wire::response_failed broken;
    broken.request_id = run.request_id;
    broken.attempt = run.attempt;
    broken.outcome = wire::attempt_outcome::unknown;
    broken.reason = "link_lost";
    this->send_response(broken);
    ASSERT_TRUE(this->run_until(
        [this]()
        {
            return !this->resumed.empty();
        }));
    EXPECT_EQ(this->resumed.front().offset, 3U);
    EXPECT_EQ(this->resumed.front().runner, run.runner);
    this->send_frame(run, 3, "def");
    this->send_end(run, 6);
    ASSERT_TRUE(this->run_until_ended());
    EXPECT_EQ(this->exchange.bytes, "abcdef");
    EXPECT_EQ(this->sent.size(), 1U);
}

TEST_F(online_session_test, the_run_of_a_disconnected_caller_is_cancelled)
{
    this->start();
    ASSERT_TRUE(this->run_until_sent(1));
    this->exchange.disconnect();
    ASSERT_TRUE(this->run_until_ended());
    EXPECT_EQ(this->cancels, 1);
    EXPECT_EQ(this->outcome->result, online::request_result::cancelled);
}

TEST_F(online_session_test, owners_without_a_probe_reply_do_not_block_a_request)
{
    this->replies_to_probes = false;
    this->start();
    ASSERT_TRUE(this->run_until_sent(1));
    EXPECT_GT(this->probes, 0);
}

TEST_F(online_session_test, a_request_without_a_runner_is_reported_as_not_run)
{
    membership::fleet_view empty;
    empty.version = 2;
    this->fleet.update_view(empty);
    this->start();
    ASSERT_TRUE(this->run_until_ended());
    ASSERT_TRUE(this->outcome->failure.has_value());
    EXPECT_TRUE(this->outcome->failure->not_run);
    EXPECT_TRUE(this->sent.empty());
}

} // namespace chicory::gate
