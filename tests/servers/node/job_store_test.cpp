#include "servers/node/job_store.hpp"
#include "tests/support/memory_platform.hpp"
#include "tests/support/memory_records.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace chicory::node
{

namespace
{

/// Clock of a store that runs for hours, longer than jobs are retained.
constexpr std::int64_t store_now_ms = 40'000'000;
constexpr std::int64_t record_bytes = 65536;
constexpr std::chrono::seconds result_lifetime(120);

class job_store_test : public ::testing::Test
{
protected:
    job_store_test()
        : store(
              this->io,
              this->records,
              this->objects,
              record_bytes,
              result_lifetime,
              1)
    {
        this->records.now_ms = store_now_ms;
    }

    submit_outcome
    submit(const std::string& id, job_store::token_limit limit = {})
    {
        serving::job_record job;
        job.id = id;
        job.route = "letters";
        job.owner = "vm-1";
        job.tokens = {100};
        return testing_support::run_to_end(
            this->io, this->store.submit(std::move(job), "{}", limit));
    }

    result<serving::job_record>
    change_owner(const std::string& id, const std::string& owner)
    {
        const job_store::change_function take_over =
            [&](const serving::job_record& record) -> std::optional<job_change>
        {
            job_change change{record, {}};
            change.record.owner = owner;
            return change;
        };
        return testing_support::run_to_end(
            this->io,
            this->store.change(id, take_over, std::chrono::seconds(1)));
    }

    boost::asio::io_context io{1};
    testing_support::memory_records records;
    testing_support::memory_objects objects;
    job_store store;
};

// Guards against a job without a time of acceptance, whose items every node
// gives up at once. A node starts while the store is unavailable, and the store
// is back between the read of its clock and the transaction.
TEST_F(job_store_test, a_job_is_not_stored_before_the_store_clock_is_known)
{
    this->records.failing_reads = 3;
    EXPECT_EQ(this->submit("j1"), submit_outcome::accepted);
    const serving::job_record* job = this->store.find("j1");
    ASSERT_NE(job, nullptr);
    EXPECT_EQ(job->accepted_ms, store_now_ms);
    EXPECT_EQ(this->store.age_of(*job), duration::zero());
}

// Guards against a submission that waits without end for the clock of a store
// that does not respond, and against a refusal that is not true.
TEST_F(job_store_test, a_submission_without_the_store_clock_is_refused)
{
    this->records.failing_reads = 1'000'000;
    EXPECT_EQ(this->submit("j1"), submit_outcome::unavailable);
    EXPECT_EQ(this->records.transactions, 0);
    EXPECT_TRUE(this->records.rows.empty());
}

// Guards against a submission that is tried without end or pause: another
// writer left a row under the id of the job, and its text is no job record.
TEST_F(job_store_test, a_row_that_is_no_job_does_not_hold_a_submission)
{
    const std::string partition = make_partition("letters");
    this->records.rows[{std::string(job_table), partition, "j1"}] = {
        std::string(job_table), partition, "j1", "no job", 1, false};
    EXPECT_EQ(this->submit("j1"), submit_outcome::unavailable);
    EXPECT_LT(this->records.transactions, 100);
}

// Guards against a submission that is tried without pause for such a row if the
// job before it was accepted under the limit of its route.
TEST_F(job_store_test, a_row_that_is_no_job_does_not_hold_a_limited_submission)
{
    const std::string partition = make_partition("letters");
    ASSERT_EQ(this->submit("j1", {1000, false}), submit_outcome::accepted);
    this->records.rows[{std::string(job_table), partition, "j2"}] = {
        std::string(job_table), partition, "j2", "no job", 1, false};
    EXPECT_EQ(this->submit("j2", {1000, false}), submit_outcome::unavailable);
    EXPECT_LT(this->records.transactions, 100);
}

// Guards against results that are never listed: the store states the newest
// version in a response, other nodes have written since, and each further write
// requires a version that the job's record never had.
TEST_F(job_store_test, a_job_changes_after_a_response_with_a_later_version)
{
    this->records.later_transactions = 5;
    ASSERT_EQ(this->submit("j1"), submit_outcome::accepted);
    for (const std::string owner : {"vm-2", "vm-3", "vm-4"})
    {
        const int before = this->records.transactions;
        ASSERT_TRUE(this->change_owner("j1", owner));
        EXPECT_EQ(this->store.find("j1")->owner, owner);
        EXPECT_LE(this->records.transactions - before, 2);
    }
    EXPECT_FALSE(testing_support::run_to_end(
        this->io, this->store.save_pieces("j1", {})));
    EXPECT_TRUE(testing_support::run_to_end(
        this->io, this->store.save_pieces("j1", {})));
}

// Guards against a route that takes no more jobs for the same reason.
TEST_F(job_store_test, jobs_are_accepted_after_a_response_with_a_later_version)
{
    this->records.later_transactions = 5;
    EXPECT_EQ(this->submit("j1", {1000, false}), submit_outcome::accepted);
    EXPECT_EQ(this->submit("j2", {1000, false}), submit_outcome::accepted);
    EXPECT_EQ(this->submit("j3", {1000, false}), submit_outcome::accepted);
    EXPECT_EQ(this->submit("j4", {300, false}), submit_outcome::over_limit);
}

// Guards against jobs beyond the limit of a route: the response to the first
// try is lost, and another job takes the room before the second one.
TEST_F(job_store_test, a_job_is_not_sent_again_beyond_the_limit_of_its_route)
{
    ASSERT_EQ(this->submit("j0", {250, false}), submit_outcome::accepted);
    this->records.lost_transactions = 1;
    std::optional<submit_outcome> first;
    boost::asio::co_spawn(
        this->io,
        [&]() -> boost::asio::awaitable<void>
        {
            serving::job_record job;
            job.id = "j1";
            job.route = "letters";
            job.tokens = {100};
            first =
                co_await this->store.submit(std::move(job), "{}", {250, false});
        },
        boost::asio::detached);
    this->io.poll();
    this->io.restart();
    ASSERT_EQ(this->submit("j2", {250, false}), submit_outcome::accepted);
    while (!first)
    {
        this->io.run_for(std::chrono::milliseconds(5));
        this->io.restart();
    }
    EXPECT_EQ(*first, submit_outcome::unknown);
    EXPECT_LE(this->records.reads, 1);
    EXPECT_EQ(
        this->records.rows.count(
            {std::string(job_table), make_partition("letters"), "j1"}),
        0U);
}

// Guards against a node that holds on to a later state than the store has, for
// instance after the store lost its last writes.
TEST_F(job_store_test, a_node_ahead_of_the_store_adopts_what_the_store_has)
{
    const std::string partition = make_partition("letters");
    ASSERT_EQ(this->submit("j1", {1000, false}), submit_outcome::accepted);
    const std::map<testing_support::memory_records::row_name, ports::record>
        saved = this->records.rows;
    ASSERT_TRUE(this->change_owner("j1", "vm-2"));
    ASSERT_EQ(this->submit("j2", {1000, false}), submit_outcome::accepted);
    this->records.rows = saved;
    ASSERT_TRUE(this->change_owner("j1", "vm-3"));
    EXPECT_EQ(this->submit("j3", {1000, false}), submit_outcome::accepted);
    this->records.rows.clear();
    const result<serving::job_record> gone = this->change_owner("j1", "vm-4");
    ASSERT_FALSE(gone);
    EXPECT_EQ(gone.error().kind, error_kind::not_found);
    EXPECT_EQ(this->submit("j4", {1000, false}), submit_outcome::accepted);
}

// Guards against a job that a node forgets, and reports as missing, because the
// refusal of a write came without the record.
TEST_F(job_store_test, a_refusal_without_the_record_does_not_remove_a_job)
{
    ASSERT_EQ(this->submit("j1"), submit_outcome::accepted);
    ports::record& row = this->records.rows.at(
        {std::string(job_table), make_partition("letters"), "j1"});
    row.version += 7;
    this->records.omits_conflicts = true;
    this->records.failing_reads = 1'000'000;
    const result<serving::job_record> failed = this->change_owner("j1", "vm-2");
    ASSERT_FALSE(failed);
    EXPECT_EQ(failed.error().kind, error_kind::unavailable);
    EXPECT_NE(this->store.find("j1"), nullptr);
    EXPECT_LT(this->records.transactions, 100);
    this->records.failing_reads = 0;
    EXPECT_TRUE(this->change_owner("j1", "vm-3"));
}

// Guards against the loss of a job that an earlier version stored without a
// time of acceptance.
TEST_F(job_store_test, a_stored_job_without_a_time_is_young_and_gets_a_time)
{
    ASSERT_EQ(this->submit("j1"), submit_outcome::accepted);
    ports::record& row = this->records.rows.at(
        {std::string(job_table), make_partition("letters"), "j1"});
    serving::job_record stored = *this->store.find("j1");
    stored.accepted_ms = 0;
    row.value = serving::encode_job(stored);
    ++row.version;
    const result<serving::job_record> read =
        testing_support::run_to_end(this->io, this->store.look_up("j1"));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().accepted_ms, 0);
    EXPECT_EQ(this->store.age_of(read.value()), duration::zero());
    const result<serving::job_record> changed =
        this->change_owner("j1", "vm-2");
    ASSERT_TRUE(changed);
    EXPECT_EQ(changed.value().accepted_ms, store_now_ms);
}

// Guards against a process that exceeds its memory because it remembers all
// jobs that ever were: after days of work, each start reads their records.
TEST_F(job_store_test, old_finished_jobs_stay_in_the_store_only)
{
    const std::string partition = make_partition("letters");
    const auto add = [&](const std::string& id, std::int64_t age_s, bool open)
    {
        serving::job_record job;
        job.route = "letters";
        job.tokens = {100};
        job.accepted_ms = store_now_ms - age_s * 1000;
        if (!open)
        {
            job.listed.push_back({0, serving::item_state::errored, 0});
        }
        this->records.rows[{std::string(job_table), partition, id}] = {
            std::string(job_table),
            partition,
            id,
            serving::encode_job(job),
            1,
            false};
    };
    for (int number = 0; number < 1000; ++number)
    {
        add("old-" + std::to_string(number), 121 + number, false);
    }
    add("recent", 119, false);
    add("open", 1000, true);
    this->store.start();
    while (this->store.find("open") == nullptr)
    {
        this->io.run_one();
    }
    EXPECT_EQ(this->store.all().size(), 2U);
    EXPECT_NE(this->store.find("recent"), nullptr);
    // The results of an old job are read from the store.
    std::optional<result<std::vector<std::string>>> texts;
    boost::asio::co_spawn(
        this->io,
        testing_support::store_value(
            this->store.read_texts("old-7", 0, 1000), texts),
        boost::asio::detached);
    while (!texts)
    {
        this->io.run_one();
    }
    ASSERT_TRUE(texts->has_value());
    EXPECT_EQ(texts->value(), std::vector<std::string>{""});
}

// Guards against results that cannot be read: a burst of jobs fills the cache
// of texts, which drops the texts of earlier jobs as soon as they are read from
// the store.
TEST_F(job_store_test, texts_of_early_jobs_are_read_past_a_full_cache)
{
    ASSERT_EQ(this->submit("early"), submit_outcome::accepted);
    const job_store::change_function list_result =
        [this](const serving::job_record& record) -> std::optional<job_change>
    {
        job_change change{record, {}};
        change.writes = this->store.make_text_writes("early", 0, "the text");
        change.record.listed.push_back({0, serving::item_state::completed, 1});
        return change;
    };
    ASSERT_TRUE(testing_support::run_to_end(
        this->io,
        this->store.change("early", list_result, std::chrono::seconds(1))));
    this->records.now_ms += 1000;
    ASSERT_EQ(this->submit("late"), submit_outcome::accepted);
    constexpr std::size_t text_bytes = 1 << 20;
    for (std::int64_t position = 0; position < 33; ++position)
    {
        this->store.cache_text("late", position, std::string(text_bytes, 'x'));
    }
    const result<std::vector<std::string>> texts = testing_support::run_to_end(
        this->io, this->store.read_texts("early", 0, text_bytes));
    ASSERT_TRUE(texts);
    EXPECT_EQ(texts.value(), std::vector<std::string>{"the text"});
}

} // namespace

} // namespace chicory::node
