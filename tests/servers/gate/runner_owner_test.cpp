#include "servers/gate/gate.hpp"
#include "tests/servers/gate/fake_backend.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>

namespace chicory::gate
{

namespace
{

/// Iterations after which run_until stops waiting for its condition.
constexpr int max_iterations = 3000;

class runner_owner_test : public testing::Test
{
protected:
    runner_owner_test()
        : backend(this->context.get_executor()),
          suspects(std::chrono::minutes(10)), owner(
                                                  this->context.get_executor(),
                                                  this->fleet,
                                                  this->backend,
                                                  this->suspects,
                                                  this->counters,
                                                  "e0")
    {
        membership::vm entry;
        entry.id = "e0";
        membership::vm runner;
        runner.id = "w0";
        runner.role = membership::vm_role::runner;
        runner.service = "llm";
        runner.incarnation = 1;
        this->fleet.update_view({1, {entry, runner}});
        configuration::table_set tables;
        tables.revision = 1;
        tables.pools["p"].name = "p";
        tables.pools["p"].service = "llm";
        tables.pools["p"].slots_per_runner = 2;
        this->fleet.update_tables(tables);
        this->owner.set_notice_hook(
            [this](const wire::message& notice)
            {
                this->notices.push_back(notice);
            });
    }

    void send(
        const std::string& id, wire::work_class kind = wire::work_class::online)
    {
        wire::dispatch request;
        request.request_id = id;
        request.attempt = 1;
        request.kind = kind;
        request.member = "m";
        request.pool = "p";
        request.runner = "w0";
        request.time_left_us = 60000000;
        request.fingerprint = hash_bytes(id);
        this->send_message(request, id);
    }

    void send_message(const wire::message& value, const std::string& id)
    {
        this->owner.handle_message(
            value,
            [this, id](const wire::message& response)
            {
                this->responses[id].push_back(response);
            });
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

    bool was_run(const std::string& id)
    {
        const auto& runs = this->backend.runs;
        return std::ranges::find(runs, id + "-1") != runs.end();
    }

    const wire::response_failed* find_failure(const std::string& id)
    {
        for (const wire::message& response : this->responses[id])
        {
            if (const auto* failed =
                    std::get_if<wire::response_failed>(&response))
            {
                return failed;
            }
        }
        return nullptr;
    }

    std::string bytes_of(const std::string& id)
    {
        online::response_assembler assembler(1);
        std::string bytes;
        for (const wire::message& message : this->responses[id])
        {
            if (const auto* frame = std::get_if<wire::response_frame>(&message))
            {
                bytes += assembler.add(1, frame->offset, frame->bytes);
            }
            if (const auto* end = std::get_if<wire::response_end>(&message))
            {
                assembler.end(1, end->length);
            }
        }
        const bool is_complete =
            assembler.state() == online::response_state::complete;
        return is_complete ? bytes : bytes + " (not whole)";
    }

    boost::asio::io_context context;
    dispatching::fleet_cache fleet;
    fake_backend backend;
    online::quarantine suspects;
    metrics counters;
    runner_owner owner;
    std::vector<wire::message> notices;
    std::map<std::string, std::vector<wire::message>> responses;
};

} // namespace

TEST_F(runner_owner_test, online_is_sent_immediately_and_preempts_batch)
{
    this->send("b1", wire::work_class::batch);
    this->send("b2", wire::work_class::batch);
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->was_run("b2");
        }));
    this->send("o1");
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->was_run("o1");
        }));
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->find_failure("b2") != nullptr;
        }));
    EXPECT_EQ(this->backend.cancels, std::vector<std::string>{"b2-1"});
    EXPECT_EQ(this->find_failure("b2")->reason, "yielded_to_online");
    EXPECT_EQ(
        this->find_failure("b2")->outcome, wire::attempt_outcome::cancelled);
}

TEST_F(runner_owner_test, a_broken_stream_is_resumed_and_not_run_again)
{
    this->send("o1");
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->was_run("o1");
        }));
    this->backend.connection("o1-1").feed("abc");
    this->backend.connection("o1-1").finish(false);
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return !this->backend.resumed_offsets.empty();
        }));
    EXPECT_EQ(this->backend.resumed_offsets.front(), 3U);
    this->backend.connection("o1-1").feed("def");
    this->backend.connection("o1-1").finish(true);
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->bytes_of("o1") == "abcdef";
        }));
    EXPECT_EQ(this->backend.runs.size(), 1U);
}

TEST_F(runner_owner_test, a_silent_connection_is_replaced_by_a_new_one)
{
    this->backend.drops_responses = true;
    this->send("o1");
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return !this->backend.resumed_offsets.empty();
        }));
    this->backend.connection("o1-1").feed("abc");
    this->backend.connection("o1-1").finish(true);
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->bytes_of("o1") == "abc";
        }));
    EXPECT_EQ(this->backend.runs.size(), 1U);
}

TEST_F(runner_owner_test, a_lost_link_is_resumed_from_the_stored_response)
{
    this->send("o1");
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->was_run("o1");
        }));
    this->backend.connection("o1-1").feed("abcdef");
    this->backend.connection("o1-1").finish(true);
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->owner.in_progress() == 0;
        }));
    this->send_message(wire::resume_response{"o1", 1, 2, "w0"}, "again");
    std::string rest;
    for (const wire::message& response : this->responses["again"])
    {
        if (const auto* frame = std::get_if<wire::response_frame>(&response))
        {
            rest += frame->bytes;
        }
    }
    EXPECT_EQ(rest, "cdef");
    EXPECT_EQ(this->backend.runs.size(), 1U);
}

TEST_F(runner_owner_test, a_crash_makes_running_requests_suspect_at_all_gates)
{
    this->send("o1");
    this->send("o2");
    this->send("o3");
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->was_run("o2");
        }));
    this->backend.refuses_connections = true;
    this->backend.connection("o1-1").finish(false);
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->find_failure("o2") != nullptr;
        }));
    EXPECT_EQ(
        this->find_failure("o1")->outcome, wire::attempt_outcome::unknown);
    EXPECT_EQ(
        this->find_failure("o2")->outcome, wire::attempt_outcome::unknown);
    // The third request was still queued, so that no runner ran it.
    EXPECT_EQ(
        this->find_failure("o3")->outcome,
        wire::attempt_outcome::refused_not_run);
    EXPECT_EQ(this->notices.size(), 2U);
    const time_point now = read_monotonic_clock();
    EXPECT_EQ(
        this->suspects.judge(hash_bytes("o2"), now),
        online::quarantine_decision::suspect);
    EXPECT_EQ(
        this->suspects.judge(hash_bytes("o3"), now),
        online::quarantine_decision::clear);
    EXPECT_EQ(this->owner.in_progress(), 0U);
}

TEST_F(runner_owner_test, a_leaving_runner_gets_no_new_runs)
{
    this->backend.report.leaving = true;
    this->owner.start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return !this->notices.empty();
        }));
    EXPECT_TRUE(
        std::holds_alternative<wire::leaving_notice>(this->notices.front()));
    this->send("o1");
    ASSERT_NE(this->find_failure("o1"), nullptr);
    EXPECT_EQ(this->find_failure("o1")->reason, "runner_leaving");
    EXPECT_TRUE(this->backend.runs.empty());
}

TEST_F(runner_owner_test, a_service_without_load_reports_stays_in_use)
{
    this->backend.reports_load = false;
    this->owner.start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->backend.load_calls > 4;
        }));
    this->send("o1");
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->was_run("o1");
        }));
}

TEST_F(runner_owner_test, failed_reports_do_not_abort_an_arriving_response)
{
    this->owner.start();
    this->send("o1");
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->was_run("o1");
        }));
    this->backend.unreachable = true;
    const int load_calls_before = this->backend.load_calls;
    std::string fed;
    ASSERT_TRUE(this->run_until(
        [this, &fed, load_calls_before]
        {
            fed += "x";
            this->backend.connection("o1-1").feed("x");
            return this->backend.load_calls > load_calls_before + 6;
        }));
    EXPECT_EQ(this->find_failure("o1"), nullptr);
    // New work is refused while the reports fail.
    this->send("o2");
    ASSERT_NE(this->find_failure("o2"), nullptr);
    EXPECT_EQ(this->find_failure("o2")->reason, "runner_unreachable");
    EXPECT_EQ(
        this->find_failure("o2")->outcome,
        wire::attempt_outcome::refused_not_run);
    this->backend.connection("o1-1").finish(true);
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->owner.in_progress() == 0;
        }));
    EXPECT_EQ(this->bytes_of("o1"), fed);
}

TEST_F(runner_owner_test, failed_reports_declare_a_silent_runner_dead)
{
    this->owner.start();
    this->send("o1");
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->was_run("o1");
        }));
    this->backend.unreachable = true;
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->find_failure("o1") != nullptr;
        }));
    EXPECT_EQ(this->find_failure("o1")->reason, "runner_crashed");
    EXPECT_TRUE(this->notices.empty());
}

TEST_F(runner_owner_test, a_draining_gate_runs_attempts_without_another_gate)
{
    this->fleet.mark_leaving("e0", 0);
    this->owner.drain();
    this->send("o1");
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->was_run("o1");
        }));
    membership::fleet_view view = this->fleet.get_view();
    membership::vm other;
    other.id = "e1";
    view.vms.push_back(other);
    this->fleet.update_view(view);
    this->send("o2");
    ASSERT_NE(this->find_failure("o2"), nullptr);
    EXPECT_EQ(this->find_failure("o2")->reason, "draining");
}

TEST_F(runner_owner_test, a_cancelled_attempt_frees_the_runner)
{
    this->send("o1");
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->was_run("o1");
        }));
    this->send_message(wire::cancel_attempt{"o1", 1}, "o1");
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->owner.in_progress() == 0;
        }));
    EXPECT_EQ(this->backend.cancels, std::vector<std::string>{"o1-1"});
}

} // namespace chicory::gate
