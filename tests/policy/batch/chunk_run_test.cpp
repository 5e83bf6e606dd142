#include "policy/batch/batch.hpp"

#include <gtest/gtest.h>

namespace chicory::batch
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const time_point start(seconds(1000));

const lifecycles& get_charts()
{
    static const lifecycles loaded =
        load_lifecycles(std::string(CHICORY_SOURCE_DIR) + "/charts").value();
    return loaded;
}

std::pair<std::uint64_t, item_request>
make_item(std::uint64_t position, bool not_repeatable = false)
{
    item_request request;
    request.index = position;
    request.custom_id = "i" + std::to_string(position);
    request.not_repeatable = not_repeatable;
    return {position, request};
}

chunk_run make_run(
    const std::vector<std::pair<std::uint64_t, item_request>>& items,
    chunk_record record = {})
{
    return chunk_run(get_charts().item, {}, std::move(record), items, 1);
}

std::vector<item_record> read_results(const run_outcome& outcome)
{
    std::vector<item_record> records;
    std::size_t begin = 0;
    while (begin < outcome.results.size())
    {
        const std::size_t end = outcome.results.find('\n', begin);
        records.push_back(
            decode_item_record(outcome.results.substr(begin, end - begin))
                .value());
        begin = end + 1;
    }
    return records;
}

} // namespace

TEST(chunk_run, responses_complete_items_and_late_ones_are_ignored)
{
    chunk_run run = make_run({make_item(0)});
    const auto attempts = run.start_attempts(5, start);
    ASSERT_EQ(attempts.size(), 1U);
    run.on_preempted(0, attempts[0].attempt, start);
    run.on_response(0, attempts[0].attempt, 200, "late", start);
    EXPECT_FALSE(run.is_complete());
    const auto retried = run.start_attempts(5, start + seconds(1));
    ASSERT_EQ(retried.size(), 1U);
    run.on_response(0, retried[0].attempt, 200, "good", start);
    run.on_response(0, retried[0].attempt, 200, "twice", start);
    ASSERT_TRUE(run.is_complete());
    const auto records = read_results(run.finish("op"));
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].body, "good");
    EXPECT_EQ(records[0].attempts, 1U);
}

TEST(chunk_run, preempted_item_costs_no_attempt)
{
    chunk_run run = make_run({make_item(0)});
    time_point now = start;
    for (int round = 0; round < 50; ++round)
    {
        const auto attempts = run.start_attempts(1, now);
        ASSERT_EQ(attempts.size(), 1U);
        run.on_preempted(0, attempts[0].attempt, now);
        now += seconds(1);
    }
    EXPECT_FALSE(run.is_complete());
}

TEST(chunk_run, failing_item_is_spaced_then_split_off_then_fails)
{
    chunk_record record;
    record.job = "j";
    record.name = chunk_name(0);
    chunk_run run = make_run({make_item(0), make_item(1)}, record);
    const auto attempts = run.start_attempts(2, start);
    run.on_response(0, attempts[0].attempt, 200, "ok", start);
    EXPECT_FALSE(run.is_complete());
    run.on_attempt_failed(1, attempts[1].attempt, "broke", start);
    EXPECT_TRUE(run.start_attempts(1, start + milliseconds(499)).empty());
    ASSERT_TRUE(run.is_complete());
    const run_outcome outcome = run.finish("op");
    EXPECT_EQ(read_results(outcome).size(), 1U);
    ASSERT_TRUE(outcome.stragglers);
    EXPECT_EQ(outcome.stragglers->members, std::vector<std::uint64_t>{1});
    EXPECT_EQ(outcome.stragglers->attempts, std::vector<std::uint64_t>{1});

    chunk_run rest = make_run({make_item(1)}, *outcome.stragglers);
    time_point now = start;
    int sent = 0;
    while (!rest.is_complete())
    {
        now += seconds(1);
        for (const item_attempt& attempt : rest.start_attempts(1, now))
        {
            ++sent;
            rest.on_attempt_failed(1, attempt.attempt, "broke again", now);
        }
    }
    EXPECT_EQ(sent, 3);
    const run_outcome last = rest.finish("op");
    EXPECT_FALSE(last.stragglers);
    const auto records = read_results(last);
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].state, item_state::failed);
    EXPECT_EQ(records[0].reason, "broke again");
    EXPECT_EQ(records[0].attempts, 4U);
}

TEST(chunk_run, client_error_response_is_final)
{
    chunk_run run = make_run({make_item(0)});
    const auto attempts = run.start_attempts(1, start);
    run.on_response(0, attempts[0].attempt, 400, "bad", start);
    ASSERT_TRUE(run.is_complete());
    EXPECT_EQ(run.finish("op").committed.failed, 1U);
}

TEST(chunk_run, quarantined_item_ends_as_failed)
{
    chunk_run run = make_run({make_item(0)});
    const auto attempts = run.start_attempts(1, start);
    run.on_quarantined(0, attempts[0].attempt, "crashes backend servers");
    const auto records = read_results(run.finish("op"));
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].reason, "crashes backend servers");
}

TEST(chunk_run, non_repeatable_items_wait_for_their_mark)
{
    chunk_record record;
    record.name = chunk_name(0);
    chunk_run run = make_run({make_item(0, true), make_item(1, true)}, record);
    EXPECT_TRUE(run.start_attempts(2, start).empty());
    const std::vector<std::uint64_t> marks = run.find_items_to_mark(1, start);
    ASSERT_EQ(marks.size(), 2U);
    run.on_marked(marks, record.marked(marks, "op"));
    const auto attempts = run.start_attempts(1, start);
    ASSERT_EQ(attempts.size(), 1U);
    EXPECT_EQ(run.list_sent_non_repeatable(), std::vector<std::uint64_t>{0});
    run.on_not_run(0, attempts[0].attempt, "full", start);
    EXPECT_TRUE(run.list_sent_non_repeatable().empty());
    const auto retried = run.start_attempts(2, start + seconds(1));
    ASSERT_EQ(retried.size(), 2U);
    run.on_attempt_failed(0, retried[0].attempt, "broke", start);
    run.on_preempted(1, retried[1].attempt, start);
    ASSERT_TRUE(run.is_complete());
    EXPECT_EQ(run.finish("op").committed.outcome_unknown, 2U);
}

TEST(chunk_run, started_items_are_unknown_after_a_takeover)
{
    chunk_record record;
    record.name = chunk_name(0);
    record.started = {0};
    chunk_run run = make_run({make_item(0, true), make_item(1)}, record);
    const auto attempts = run.start_attempts(5, start);
    ASSERT_EQ(attempts.size(), 1U);
    EXPECT_EQ(attempts[0].position, 1U);
    run.on_response(1, attempts[0].attempt, 200, "ok", start);
    EXPECT_EQ(run.finish("op").committed.outcome_unknown, 1U);
}

TEST(chunk_run, endlessly_refused_item_ends_as_failed)
{
    chunk_run run = make_run({make_item(0)});
    time_point now = start;
    while (!run.is_complete())
    {
        now += seconds(5);
        const auto attempts = run.start_attempts(1, now);
        ASSERT_EQ(attempts.size(), 1U);
        run.on_not_run(0, attempts[0].attempt, "no route", now);
    }
    const auto records = read_results(run.finish("op"));
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].reason, "refused without a run: no route");
    EXPECT_EQ(records[0].attempts, 0U);
}

TEST(chunk_run, items_with_equal_prefixes_are_sent_consecutively)
{
    auto first = make_item(0);
    auto second = make_item(1);
    auto third = make_item(2);
    first.second.prefix = 9;
    second.second.prefix = 4;
    third.second.prefix = 9;
    chunk_run run = make_run({first, second, third});
    const auto attempts = run.start_attempts(3, start);
    ASSERT_EQ(attempts.size(), 3U);
    EXPECT_EQ(attempts[0].position, 1U);
    EXPECT_EQ(attempts[1].position, 0U);
    EXPECT_EQ(attempts[2].position, 2U);
}

TEST(chunk_run, early_close_keeps_responses_and_splits_off_the_rest)
{
    chunk_record record;
    record.name = chunk_name(0) + ".s";
    record.members = {0, 1, 2};
    record.attempts = {0, 0, 0};
    chunk_run run =
        make_run({make_item(0), make_item(1), make_item(2, true)}, record);
    run.on_marked({2}, record.marked({2}, "op"));
    const auto attempts = run.start_attempts(1, start);
    run.close_early();
    EXPECT_FALSE(run.is_complete());
    EXPECT_TRUE(run.start_attempts(5, start).empty());
    run.on_response(0, attempts[0].attempt, 200, "ok", start);
    ASSERT_TRUE(run.is_complete());
    const run_outcome outcome = run.finish("op");
    EXPECT_EQ(outcome.committed.completed, 1U);
    ASSERT_TRUE(outcome.stragglers);
    EXPECT_EQ(outcome.stragglers->name, "00000000.s.s");
    const std::vector<std::uint64_t> rest = {1, 2};
    EXPECT_EQ(outcome.stragglers->members, rest);
    EXPECT_TRUE(outcome.stragglers->started.empty());
}

TEST(chunk_run, abandoned_run_sends_nothing)
{
    chunk_run run = make_run({make_item(0), make_item(1)});
    run.start_attempts(1, start);
    EXPECT_EQ(run.list_running().size(), 1U);
    run.abandon();
    EXPECT_TRUE(run.start_attempts(5, start + seconds(9)).empty());
    EXPECT_EQ(run.running(), 0U);
}

} // namespace chicory::batch
