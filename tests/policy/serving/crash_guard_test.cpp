#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

const time_point start = time_point() + 1h;
/// Parts of prompts: two that most requests have, one that is rare, and one
/// that crashes runners.
constexpr std::uint64_t popular = 1001;
constexpr std::uint64_t other_popular = 1002;
constexpr std::uint64_t rare = 1003;
constexpr std::uint64_t deadly = 1004;

class crash_guard_test : public testing::Test
{
protected:
    /// Begins a run of a new request with these parts.
    slot_id begin(time_point now, const part_digests& parts)
    {
        const slot_id id = {"a", 1, ++this->number};
        this->guard.on_begin(now, id, make_traits(this->number, parts));
        return id;
    }

    /// Ends a run of the request with the same number as its id.
    void crash(time_point now, const slot_id& id, const part_digests& parts)
    {
        this->guard.on_crash(
            now, {id.number, id, parts, "runner-" + std::to_string(id.number)});
    }

    void begin_and_crash(time_point now, const part_digests& parts)
    {
        this->crash(now + 50ms, this->begin(now, parts), parts);
    }

    void begin_and_answer(time_point now, const part_digests& parts)
    {
        this->guard.on_good_run(now + 50ms, this->begin(now, parts));
    }

    /// Returns whether a new request with these parts is refused.
    bool is_refused(time_point now, const part_digests& parts)
    {
        return this->guard.quarantine_left(now, make_traits(++number, parts))
            .has_value();
    }

    bool may_begin(time_point now, const part_digests& parts)
    {
        return !this->is_refused(now, parts) &&
               this->guard.may_begin(now, make_traits(++number, parts));
    }

    crash_guard guard;
    std::uint64_t number = 0;
};

TEST_F(crash_guard_test, a_part_of_different_requests_is_refused_after_two)
{
    this->begin_and_answer(start, {popular});
    this->begin_and_crash(start + 100ms, {popular, deadly});
    EXPECT_FALSE(this->is_refused(start + 200ms, {popular, deadly}));
    this->begin_and_answer(start + 150ms, {popular});
    this->begin_and_crash(start + 200ms, {popular, deadly});
    EXPECT_TRUE(this->is_refused(start + 300ms, {popular, deadly}));
    EXPECT_TRUE(this->is_refused(start + 300ms, {other_popular, deadly}));
    EXPECT_TRUE(this->may_begin(start + 300ms, {popular}));
}

TEST_F(crash_guard_test, a_sound_part_beside_a_deadly_one_is_tried_and_cleared)
{
    this->begin_and_answer(start, {popular});
    this->begin_and_crash(start + 100ms, {popular, rare, deadly});
    this->begin_and_crash(start + 200ms, {popular, rare, deadly});
    EXPECT_TRUE(this->is_refused(start + 300ms, {popular, rare, deadly}));
    ASSERT_TRUE(this->may_begin(start + 300ms, {popular, rare}));
    this->begin_and_answer(start + 300ms, {popular, rare});
    EXPECT_TRUE(this->may_begin(start + 400ms, {popular, rare}));
    EXPECT_TRUE(this->is_refused(start + 400ms, {popular, deadly}));
}

TEST_F(crash_guard_test, a_sound_part_in_each_crashed_request_stays_served)
{
    // No sound request came before the crashes.
    this->begin_and_crash(start, {popular, deadly});
    this->begin_and_crash(start + 100ms, {popular, deadly});
    EXPECT_TRUE(this->is_refused(start + 200ms, {popular, deadly}));
    EXPECT_TRUE(this->may_begin(start + 200ms, {popular}));
    this->begin_and_answer(start + 200ms, {popular});
    for (int count = 0; count < 10; ++count)
    {
        EXPECT_TRUE(this->may_begin(start + 300ms, {popular}));
        this->begin(start + 300ms, {popular});
    }
}

TEST_F(crash_guard_test, two_deadly_parts_at_once_are_refused_each)
{
    constexpr std::uint64_t second_deadly = 1005;
    this->begin_and_answer(start, {popular});
    this->begin_and_answer(start, {other_popular});
    // Each part's crashes look like other trouble beside the other part.
    for (const duration at : {100ms, 200ms, 300ms})
    {
        this->begin_and_crash(start + at, {popular, deadly});
        this->begin_and_crash(start + at, {other_popular, second_deadly});
        this->begin_and_answer(start + at + 10ms, {popular});
        this->begin_and_answer(start + at + 10ms, {other_popular});
    }
    EXPECT_TRUE(this->is_refused(start + 400ms, {popular, deadly}));
    EXPECT_TRUE(this->is_refused(start + 400ms, {popular, second_deadly}));
    EXPECT_TRUE(this->may_begin(start + 400ms, {popular}));
    EXPECT_TRUE(this->may_begin(start + 400ms, {other_popular}));
}

// Load pattern: many requests with a new part at the same moment.
TEST_F(crash_guard_test, at_most_two_runs_with_an_unproven_part_are_in_progress)
{
    std::size_t begun = 0;
    for (int count = 0; count < 50; ++count)
    {
        if (this->may_begin(start, {deadly}))
        {
            this->begin(start, {deadly});
            ++begun;
        }
    }
    EXPECT_EQ(begun, 2U);
}

// Fault pattern: a rack with many runners loses power while all of them begin
// requests with a popular part.
TEST_F(crash_guard_test, a_popular_part_survives_runners_that_crash_together)
{
    this->begin_and_answer(start, {popular});
    std::vector<slot_id> runs;
    for (int count = 0; count < 20; ++count)
    {
        runs.push_back(this->begin(start + 100ms, {popular}));
    }
    for (const slot_id& run : runs)
    {
        this->crash(start + 120ms, run, {popular});
    }
    EXPECT_TRUE(this->may_begin(start + 130ms, {popular}));
}

TEST_F(crash_guard_test, a_popular_part_that_becomes_deadly_is_refused)
{
    for (int count = 0; count < 20; ++count)
    {
        this->begin_and_answer(start + count * 100ms, {popular, deadly});
    }
    this->begin_and_crash(start + 3s, {popular, deadly});
    this->begin_and_answer(start + 3100ms, {popular});
    this->begin_and_crash(start + 3200ms, {popular, deadly});
    EXPECT_TRUE(this->is_refused(start + 3300ms, {popular, deadly}));
    EXPECT_TRUE(this->may_begin(start + 3300ms, {popular}));
}

// Fault pattern: runners crash at random for an hour, 2 of 12 at a time and
// each second; requests with popular and rare parts are sound.
TEST_F(crash_guard_test, random_crashes_accuse_few_sound_parts_for_a_short_time)
{
    constexpr int seconds = 3600;
    constexpr int requests_a_second = 50;
    constexpr int rare_parts = 300;
    constexpr int crashing_share = 60;
    std::mt19937_64 generator(20261204);
    std::size_t refused = 0;
    std::size_t popular_refused = 0;
    std::size_t asked = 0;
    for (int second = 0; second < seconds; ++second)
    {
        for (int index = 0; index < requests_a_second; ++index)
        {
            const time_point now = start + second * 1s + index * 20ms;
            const part_digests parts = {
                popular, 5000 + generator() % rare_parts};
            ++asked;
            if (this->is_refused(now, parts))
            {
                ++refused;
                popular_refused += this->is_refused(now, {popular}) ? 1 : 0;
                continue;
            }
            if (generator() % crashing_share == 0)
            {
                this->begin_and_crash(now, parts);
            }
            else
            {
                this->begin_and_answer(now, parts);
            }
            this->guard.on_tick(now);
        }
    }
    EXPECT_EQ(popular_refused, 0U);
    // One in a thousand.
    EXPECT_LT(refused * 1000, asked);
}

// Fault pattern: a runner resets some of its connections and serves the others.
TEST_F(crash_guard_test, a_runner_that_only_closed_a_connection_did_not_crash)
{
    const slot_id cut = this->begin(start + 100ms, {rare});
    this->guard.on_crash(start + 120ms, {cut.number, cut, {rare}, "r"});
    this->guard.on_progress("r", start, start + 400ms);
    this->begin_and_crash(start + 500ms, {rare});
    EXPECT_FALSE(this->is_refused(start + 600ms, {rare}));
}

// A run of the runner's next process does not withdraw the crash.
TEST_F(crash_guard_test, a_restarted_runner_did_crash)
{
    const slot_id cut = this->begin(start + 100ms, {rare});
    this->guard.on_crash(start + 120ms, {cut.number, cut, {rare}, "r"});
    this->guard.on_progress("r", start + 200ms, start + 400ms);
    this->begin_and_crash(start + 500ms, {rare});
    EXPECT_TRUE(this->is_refused(start + 600ms, {rare}));
}

TEST_F(crash_guard_test, a_false_accusation_ends_with_the_first_answer)
{
    this->begin_and_crash(start, {rare});
    this->begin_and_crash(start + 1s, {rare});
    ASSERT_TRUE(this->is_refused(start + 2s, {rare}));
    ASSERT_TRUE(this->may_begin(start + 32s, {rare}));
    this->begin_and_answer(start + 32s, {rare});
    EXPECT_TRUE(this->may_begin(start + 33s, {rare}));
    const std::vector<quarantine_change> changes =
        this->guard.take_changes(start + 33s);
    EXPECT_TRUE(std::any_of(
        changes.begin(),
        changes.end(),
        [](const quarantine_change& change)
        {
            return change.trait == rare && !change.quarantine;
        }));
}

// Fault pattern: a part that crashes runners in each try. The tries become
// less frequent, and end with the fifth runner.
TEST_F(crash_guard_test, a_trial_costs_one_crash_and_trials_become_rare)
{
    this->begin_and_crash(start, {deadly});
    this->begin_and_crash(start + 1s, {deadly});
    EXPECT_TRUE(this->is_refused(start + 4s, {deadly}));
    ASSERT_TRUE(this->may_begin(start + 5s, {deadly}));
    const slot_id trial = this->begin(start + 5s, {deadly});
    EXPECT_FALSE(this->may_begin(start + 5s, {deadly}));
    this->crash(start + 5050ms, trial, {deadly});
    EXPECT_TRUE(this->is_refused(start + 6s, {deadly}));
    EXPECT_TRUE(this->is_refused(start + 29s, {deadly}));
    ASSERT_TRUE(this->may_begin(start + 30s, {deadly}));
    this->begin_and_crash(start + 30s, {deadly});
    EXPECT_TRUE(this->is_refused(start + 3min, {deadly}));
    ASSERT_TRUE(this->may_begin(start + 4min, {deadly}));
    this->begin_and_crash(start + 4min, {deadly});
    EXPECT_TRUE(this->is_refused(start + 6h, {deadly}));
}

TEST_F(crash_guard_test, an_operator_lifts_a_quarantine)
{
    this->begin_and_crash(start, {deadly});
    this->begin_and_crash(start + 1s, {deadly});
    this->guard.lift(deadly);
    EXPECT_TRUE(this->may_begin(start + 2s, {deadly}));
}

TEST_F(crash_guard_test, another_node_refuses_by_a_stored_quarantine)
{
    this->begin_and_crash(start, {rare, deadly});
    this->begin_and_crash(start + 1s, {rare, deadly});
    crash_guard other;
    for (const quarantine_change& change : this->guard.take_changes(start + 2s))
    {
        ASSERT_TRUE(change.quarantine);
        other.on_quarantine(start + 2s, *change.quarantine);
    }
    EXPECT_TRUE(
        other.quarantine_left(start + 3s, make_traits(99, {rare, deadly})));
    EXPECT_FALSE(other.quarantine_left(start + 3s, make_traits(99, {rare})));
    EXPECT_TRUE(other.may_begin(start + 3s, make_traits(99, {rare})));
}

// Guards against quarantines by crashes that good runs had cleared: a release
// made new groups, and their coordinators got crashes of up to 15 s ago as new.
TEST_F(crash_guard_test, a_new_coordinator_ignores_crashes_of_long_ago)
{
    for (const duration age : {15s, 14s, 12s, 3s, 2s})
    {
        const slot_id id = {"b", 1, ++this->number};
        this->guard.on_crash(
            start,
            {this->number,
             id,
             {popular},
             "runner-" + std::to_string(this->number),
             age});
    }
    this->begin_and_crash(start + 10ms, {popular});
    EXPECT_FALSE(this->is_refused(start + 100ms, {popular}));
}

// A request that crashed a runner before its coordinator died still crashes
// two at most.
TEST_F(crash_guard_test, a_new_coordinator_counts_the_crash_of_a_request)
{
    const slot_id first = {"b", 1, 1};
    const slot_id second = {"b", 1, 2};
    this->guard.on_crash(start, {77, first, {popular}, "r1", 4s});
    this->guard.on_begin(start, second, make_traits(77, {popular}));
    this->guard.on_crash(start + 50ms, {77, second, {popular}, "r2"});
    EXPECT_TRUE(
        this->guard.quarantine_left(start + 60ms, make_traits(77, {popular})));
    EXPECT_FALSE(this->is_refused(start + 60ms, {popular}));
}

TEST_F(crash_guard_test, a_late_report_of_a_crash_before_a_good_run_is_void)
{
    this->begin_and_answer(start, {popular});
    const slot_id id = {"b", 1, ++this->number};
    this->guard.on_crash(
        start + 500ms, {this->number, id, {popular}, "r1", 490ms});
    EXPECT_FALSE(this->guard.is_suspect({popular}));
}

// Fault pattern: a runner crashes under many runs with one popular part.
TEST_F(crash_guard_test, all_runs_that_crash_on_one_runner_are_one_crash)
{
    for (int count = 0; count < 5; ++count)
    {
        const slot_id id = this->begin(start + count * 10ms, {rare});
        this->guard.on_crash(
            start + 100ms + count * 10ms, {id.number, id, {rare}, "r1"});
    }
    EXPECT_FALSE(this->is_refused(start + 200ms, {rare}));
}

// Fault pattern: a release ends runners before the nodes know that they leave.
TEST_F(crash_guard_test, crashes_of_a_runner_that_leaves_are_withdrawn)
{
    const slot_id cut = this->begin(start, {rare});
    this->guard.on_crash(start + 20ms, {cut.number, cut, {rare}, "r1"});
    this->guard.on_leaving("r1");
    EXPECT_FALSE(this->guard.is_suspect({rare}));
    this->begin_and_crash(start + 500ms, {rare});
    EXPECT_FALSE(this->is_refused(start + 600ms, {rare}));
}

// Guards against an organisation whose requests are refused because of crashes
// under those of another.
TEST_F(crash_guard_test, crashes_under_one_organisation_refuse_no_other)
{
    const auto parts_of = [](const std::string& organisation)
    {
        part_digests parts = {deadly};
        const part_digests own =
            digest_for_organisation(organisation, 0, parts);
        parts.insert(parts.end(), own.begin(), own.end());
        return parts;
    };
    this->begin_and_crash(start, parts_of("a"));
    this->begin_and_crash(start + 100ms, parts_of("a"));
    EXPECT_TRUE(this->is_refused(start + 200ms, parts_of("a")));
    EXPECT_TRUE(this->may_begin(start + 200ms, parts_of("b")));
    // After a crash under both, the part is refused for every organisation.
    this->begin_and_crash(start + 200ms, parts_of("b"));
    EXPECT_TRUE(this->is_refused(start + 300ms, parts_of("b")));
    EXPECT_TRUE(this->is_refused(start + 300ms, parts_of("c")));
}

TEST(crash_evidence_test, only_a_dead_runner_without_notice_is_evidence)
{
    EXPECT_TRUE(is_crash_evidence({}));
    EXPECT_FALSE(is_crash_evidence({.has_event = true}));
    EXPECT_FALSE(is_crash_evidence({.was_ready = false}));
    EXPECT_FALSE(is_crash_evidence({.same_process = false}));
    EXPECT_FALSE(is_crash_evidence({.ended_here = true}));
    EXPECT_FALSE(is_crash_evidence({.probe = runner_probe::accepted}));
}

// Load pattern: callers that send new parts with each request, and crashes of
// requests that never come again.
TEST_F(crash_guard_test, memory_is_bounded_for_millions_of_parts)
{
    crash_guard_settings small;
    small.max_known_good = 100;
    this->guard = crash_guard(small);
    for (std::uint64_t count = 0; count < 100'000; ++count)
    {
        this->begin_and_answer(start + 1ms * count, {10'000 + count});
        if (count % 100 == 0)
        {
            this->begin_and_crash(start + 1ms * count, {900'000 + count});
            this->begin_and_crash(start + 1ms * count, {900'000 + count});
        }
    }
    EXPECT_LE(this->guard.remembered_traits(), 100U + 2 * 64U + 2 * 256U);
}

TEST(part_digests_test, members_have_no_digest_in_common)
{
    const part_digests first = digest_parts("a.example", {"5c1e", "91bd"});
    const part_digests second = digest_parts("b.example", {"5c1e", "91bd"});
    ASSERT_EQ(first.size(), 2U);
    EXPECT_EQ(
        std::find_first_of(
            first.begin(), first.end(), second.begin(), second.end()),
        first.end());
}

TEST(part_digests_test, a_long_header_is_bounded)
{
    std::vector<std::string> parts;
    for (int index = 0; index < 5000; ++index)
    {
        parts.push_back("a" + std::to_string(index));
    }
    EXPECT_EQ(digest_parts("a.example", parts).size(), max_traced_parts);
}

} // namespace

} // namespace chicory::serving
