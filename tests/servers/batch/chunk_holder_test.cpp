/// Runs jobs through batch processes with fake stores and fake owners.
#include "servers/batch/result_reader.hpp"
#include "tests/servers/batch/test_process.hpp"

#include <gtest/gtest.h>

#include <list>
#include <map>
#include <thread>

namespace chicory::batch
{

using testing_support::call_fault;
using testing_support::memory_objects;
using testing_support::memory_table;
using testing_support::run_to_end;

namespace
{

constexpr std::chrono::seconds condition_limit(30);
constexpr std::chrono::milliseconds poll_interval(2);
const std::string job_id = "j";

lease_settings short_leases()
{
    lease_settings leases;
    leases.lease_time = std::chrono::milliseconds(600);
    leases.renew_interval = std::chrono::milliseconds(150);
    leases.retry_interval = std::chrono::milliseconds(40);
    return leases;
}

class chunk_holder_test : public testing::Test
{
protected:
    memory_table service;
    memory_objects objects;
    std::list<test_process> processes;
    std::vector<const test_process*> paused;

    test_process& start(const std::string& name)
    {
        return this->processes.emplace_back(
            name, this->service, this->objects, short_leases());
    }

    /// Runs all processes that are not paused until a condition holds.
    bool run_until(const std::function<bool()>& condition)
    {
        const time_point deadline = read_monotonic_clock() + condition_limit;
        while (!condition() && read_monotonic_clock() < deadline)
        {
            for (test_process& process : this->processes)
            {
                if (std::ranges::find(this->paused, &process) ==
                    this->paused.end())
                {
                    process.context.restart();
                    process.context.poll();
                }
            }
            std::this_thread::sleep_for(poll_interval);
        }
        return condition();
    }

    void add_job(std::uint64_t items, bool not_repeatable = false)
    {
        std::string lines;
        for (std::uint64_t i = 0; i < items; ++i)
        {
            lines += R"({"custom_id":"i)" + std::to_string(i) +
                     R"(","url":"/v1/completions","body":{"prompt":"x"})" +
                     (not_repeatable ? R"(,"not_repeatable":true})" : "}") +
                     "\n";
        }
        this->objects.objects[items_name(job_id, chunk_name(0))] = lines;
        this->objects.objects[manifest_name(job_id)] =
            encode_manifest({{0, items}});
        job_record record;
        record.id = job_id;
        record.route = "r";
        record.member = "m";
        record.items = items;
        record.chunks = 1;
        record.deadline_ms = 1;
        this->apply(plan_acceptance(test_charts(), record));
    }

    void apply(const write_plan& plan)
    {
        ports::transaction request;
        for (const planned_condition& condition : plan.conditions)
        {
            request.conditions.push_back({condition.key, condition.version});
        }
        for (const planned_write& write : plan.writes)
        {
            request.writes.push_back({write.key, write.value});
        }
        ASSERT_TRUE(this->service.run(request).committed);
    }

    /// Cancels the job as a process that can reach the table service would.
    void cancel_job()
    {
        const ports::row& row = this->service.rows.at(job_row_key(job_id));
        stored_job job;
        job.record = decode_job(row.value).value();
        job.version = row.version;
        job.open_version = this->service.rows.at(open_row_key(job_id)).version;
        this->apply(plan_cancel(test_charts(), job, "op-cancel", 1).value());
    }

    job_record job()
    {
        return decode_job(this->service.rows.at(job_row_key(job_id)).value)
            .value();
    }

    chunk_record chunk()
    {
        return decode_chunk(
                   this->service.rows.at(chunk_row_key(job_id, chunk_name(0)))
                       .value)
            .value();
    }

    bool is_done()
    {
        return this->job().state == job_state::finished;
    }

    bool has_holder_row(const std::string& process)
    {
        return this->service.rows.contains(holder_row_key(process));
    }

    /// Returns the items of the committed results by custom_id.
    std::map<std::string, std::vector<item_record>> results()
    {
        std::map<std::string, std::vector<item_record>> found;
        for (const auto& [key, row] : this->service.rows)
        {
            if (!key.starts_with(chunk_row_prefix(job_id)))
            {
                continue;
            }
            const chunk_record record = decode_chunk(row.value).value();
            std::string lines = this->objects.objects[record.results];
            while (!lines.empty())
            {
                const std::size_t end = lines.find('\n');
                const item_record item =
                    decode_item_record(lines.substr(0, end)).value();
                found[item.custom_id].push_back(item);
                lines.erase(0, end + 1);
            }
        }
        return found;
    }

    void expect_each_once(std::uint64_t items, item_state state)
    {
        const auto found = this->results();
        EXPECT_EQ(found.size(), items);
        for (const auto& [name, records] : found)
        {
            ASSERT_EQ(records.size(), 1U) << name;
            EXPECT_EQ(records[0].state, state) << name;
        }
    }
};

} // namespace

TEST_F(chunk_holder_test, an_idle_process_writes_no_row)
{
    this->start("a");
    EXPECT_TRUE(this->run_until(
        [this]()
        {
            return this->service.scans >= 3;
        }));
    EXPECT_EQ(this->service.transactions, 0);
}

TEST_F(chunk_holder_test, holder_row_precedes_the_chunk_and_is_deleted_after_it)
{
    test_process& a = this->start("a");
    a.owner.defers_responses = true;
    this->add_job(4);
    ASSERT_TRUE(this->run_until(
        [&a]()
        {
            return a.owner.pending.size() == 4;
        }));
    const std::int64_t first =
        this->service.rows.at(holder_row_key("a")).version;
    EXPECT_EQ(this->chunk().holder, "a");
    EXPECT_TRUE(this->run_until(
        [this, first]()
        {
            return this->service.rows.at(holder_row_key("a")).version > first;
        }));
    a.respond_to_pending();
    ASSERT_TRUE(this->run_until(
        [this]()
        {
            return this->is_done() && !this->has_holder_row("a");
        }));
    this->expect_each_once(4, item_state::completed);
}

TEST_F(chunk_holder_test, renewal_continues_after_a_dropped_response)
{
    test_process& a = this->start("a");
    a.owner.defers_responses = true;
    this->add_job(4);
    ASSERT_TRUE(this->run_until(
        [&a]()
        {
            return a.owner.pending.size() == 4;
        }));
    const std::int64_t first =
        this->service.rows.at(holder_row_key("a")).version;
    this->service.faulty_prefix = holder_row_prefix;
    this->service.transaction_faults = {call_fault::response_lost};
    const auto renewals = [this, first](std::int64_t count)
    {
        return this->service.rows.at(holder_row_key("a")).version >=
               first + count;
    };
    ASSERT_TRUE(this->run_until(
        [this]()
        {
            return this->service.transaction_faults.empty();
        }));
    // The version of the row changes without the process knowing it, so that
    // the following renewal conflicts as well.
    this->service.rows.at(holder_row_key("a")).version += 5;
    EXPECT_TRUE(this->run_until(
        [&renewals]()
        {
            return renewals(8);
        }));
    a.respond_to_pending();
    EXPECT_TRUE(this->run_until(
        [this]()
        {
            return this->is_done();
        }));
    this->expect_each_once(4, item_state::completed);
}

TEST_F(chunk_holder_test, a_started_non_repeatable_item_is_not_run_again)
{
    test_process& a = this->start("a");
    a.owner.defers_responses = true;
    this->add_job(1, true);
    ASSERT_TRUE(this->run_until(
        [&a]()
        {
            return a.owner.pending.size() == 1;
        }));
    this->paused.push_back(&a);
    test_process& b = this->start("b");
    ASSERT_TRUE(this->run_until(
        [this]()
        {
            return this->is_done();
        }));
    EXPECT_TRUE(b.owner.received.empty());
    this->expect_each_once(1, item_state::outcome_unknown);
    // The first holder resumes and receives its response too late to commit.
    this->paused.clear();
    a.respond_to_pending();
    EXPECT_TRUE(this->run_until(
        [&a]()
        {
            return a.feeder.held().empty() && a.commits.queue().size() == 0;
        }));
    this->expect_each_once(1, item_state::outcome_unknown);
    EXPECT_EQ(a.owner.received.size(), 1U);
}

TEST_F(chunk_holder_test, a_resumed_holder_cannot_commit_after_a_takeover)
{
    test_process& a = this->start("a");
    a.owner.defers_responses = true;
    this->add_job(3);
    ASSERT_TRUE(this->run_until(
        [&a]()
        {
            return a.owner.pending.size() == 3;
        }));
    this->paused.push_back(&a);
    test_process& b = this->start("b");
    b.owner.defers_responses = true;
    ASSERT_TRUE(this->run_until(
        [&b]()
        {
            return b.owner.pending.size() == 3;
        }));
    this->paused.clear();
    a.respond_to_pending();
    ASSERT_TRUE(this->run_until(
        [&a]()
        {
            return a.resolved.size() == 1;
        }));
    EXPECT_EQ(a.resolved[0].outcome, chunk_outcome::lease_lost);
    EXPECT_TRUE(this->results().empty() || this->chunk().results.empty());
    b.respond_to_pending();
    ASSERT_TRUE(this->run_until(
        [this]()
        {
            return this->is_done();
        }));
    this->expect_each_once(3, item_state::completed);
}

TEST_F(chunk_holder_test, a_commit_with_a_dropped_response_counts_once)
{
    test_process& a = this->start("a");
    a.owner.defers_responses = true;
    this->add_job(3);
    ASSERT_TRUE(this->run_until(
        [&a]()
        {
            return a.owner.pending.size() == 3;
        }));
    this->service.faulty_prefix = chunk_row_prefix(job_id);
    this->service.transaction_faults = {call_fault::response_lost};
    a.respond_to_pending();
    ASSERT_TRUE(this->run_until(
        [this, &a]()
        {
            // The job may finish before the process has read its commit back.
            return this->is_done() && !a.resolved.empty();
        }));
    EXPECT_TRUE(this->service.transaction_faults.empty());
    ASSERT_EQ(a.resolved.size(), 1U);
    EXPECT_EQ(a.resolved[0].outcome, chunk_outcome::committed);
    EXPECT_EQ(a.owner.received.size(), 3U);
    this->expect_each_once(3, item_state::completed);
}

TEST_F(chunk_holder_test, a_pending_commit_fails_after_a_cancel)
{
    test_process& a = this->start("a");
    a.owner.defers_responses = true;
    this->add_job(3);
    ASSERT_TRUE(this->run_until(
        [&a]()
        {
            return a.owner.pending.size() == 3;
        }));
    this->service.is_down = true;
    a.respond_to_pending();
    ASSERT_TRUE(this->run_until(
        [&a]()
        {
            return a.commits.queue().size() == 1;
        }));
    this->cancel_job();
    const auto rows =
        this->service.rows.at(chunk_row_key(job_id, chunk_name(0)));
    this->service.is_down = false;
    ASSERT_TRUE(this->run_until(
        [&a]()
        {
            return a.resolved.size() == 1;
        }));
    EXPECT_EQ(a.resolved[0].outcome, chunk_outcome::job_over);
    EXPECT_EQ(
        this->service.rows.at(chunk_row_key(job_id, chunk_name(0))), rows);
    EXPECT_EQ(this->job().state, job_state::cancelled);
}

TEST_F(chunk_holder_test, a_cancel_during_an_outage_cancels_running_items)
{
    test_process& a = this->start("a");
    a.owner.defers_responses = true;
    this->add_job(3);
    ASSERT_TRUE(this->run_until(
        [&a]()
        {
            return a.owner.pending.size() == 3;
        }));
    this->service.is_down = true;
    ASSERT_TRUE(this->run_until(
        [this]()
        {
            return this->service.refused >= 8;
        }));
    this->cancel_job();
    EXPECT_TRUE(a.owner.cancelled.empty());
    this->service.is_down = false;
    EXPECT_TRUE(this->run_until(
        [&a]()
        {
            return a.owner.cancelled.size() == 3;
        }));
    EXPECT_TRUE(a.feeder.held().empty());
}

TEST_F(chunk_holder_test, an_outage_of_both_stores_loses_nothing)
{
    test_process& a = this->start("a");
    test_process& b = this->start("b");
    a.owner.defers_responses = true;
    b.owner.defers_responses = true;
    this->add_job(5);
    ASSERT_TRUE(this->run_until(
        [&a, &b]()
        {
            return a.owner.pending.size() + b.owner.pending.size() == 5;
        }));
    this->service.is_down = true;
    this->objects.is_down = true;
    a.respond_to_pending();
    b.respond_to_pending();
    const auto waiting = [&a, &b]()
    {
        return a.commits.queue().size() + b.commits.queue().size() == 1;
    };
    ASSERT_TRUE(this->run_until(waiting));
    const time_point expired_at =
        read_monotonic_clock() + 2 * short_leases().lease_time;
    this->run_until(
        [expired_at]()
        {
            return read_monotonic_clock() > expired_at;
        });
    EXPECT_TRUE(waiting());
    a.owner.defers_responses = false;
    b.owner.defers_responses = false;
    this->service.is_down = false;
    this->objects.is_down = false;
    ASSERT_TRUE(this->run_until(
        [this]()
        {
            return this->is_done();
        }));
    this->expect_each_once(5, item_state::completed);
    EXPECT_EQ(a.owner.received.size() + b.owner.received.size(), 5U);
}

} // namespace chicory::batch
