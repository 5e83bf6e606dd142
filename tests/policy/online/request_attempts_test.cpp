#include "policy/online/online.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace chicory::online
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start = time_point(std::chrono::hours(1));
constexpr request_rules repeatable_rules = {false, start + seconds(10)};
constexpr request_rules not_repeatable_rules = {true, start + seconds(10)};

template <class Action>
const Action* find(const attempt_actions& actions)
{
    for (const attempt_action& action : actions)
    {
        if (const Action* const match = std::get_if<Action>(&action))
        {
            return match;
        }
    }
    return nullptr;
}

} // namespace

TEST(
    request_attempts,
    unknown_outcome_is_retried_on_another_runner_only_if_repeatable)
{
    retry_budget budget(10);
    request_attempts request(repeatable_rules, budget);
    request.start(start);
    request.assigned(1, "w1");
    const attempt_actions retried = request.attempt_ended(
        1, attempt_outcome::unknown, reason::runner_crashed, {}, start);
    ASSERT_NE(find<start_attempt>(retried), nullptr);
    EXPECT_TRUE(find<start_attempt>(retried)->avoid.contains("w1"));

    request_attempts single(not_repeatable_rules, budget);
    single.start(start);
    const attempt_actions ended = single.attempt_ended(
        1, attempt_outcome::unknown, reason::runner_crashed, {}, start);
    ASSERT_NE(find<finish_request>(ended), nullptr);
    EXPECT_EQ(find<finish_request>(ended)->result, request_result::unknown);
    EXPECT_FALSE(find<finish_request>(ended)->not_run);
}

TEST(request_attempts, a_refusal_reports_retry_after_and_not_run)
{
    retry_budget empty_budget(0);
    request_attempts request(repeatable_rules, empty_budget);
    request.start(start);
    const attempt_actions ended = request.attempt_ended(
        1,
        attempt_outcome::refused_not_run,
        reason::queue_time,
        seconds(2),
        start);
    const finish_request* const finished = find<finish_request>(ended);
    ASSERT_NE(finished, nullptr);
    EXPECT_TRUE(finished->not_run);
    EXPECT_EQ(finished->retry_after, seconds(2));
    EXPECT_EQ(finished->why, reason::retry_budget_spent);
}

TEST(request_attempts, a_lost_link_is_resumed_and_not_run_again)
{
    retry_budget budget(10);
    request_attempts request(not_repeatable_rules, budget);
    request.start(start);
    request.bytes_forwarded(1);
    for (std::uint32_t i = 0; i < request_attempts::max_resumes; ++i)
    {
        EXPECT_NE(find<resume_attempt>(request.link_lost(1, start)), nullptr);
    }
    const attempt_actions ended = request.link_lost(1, start);
    EXPECT_EQ(find<finish_request>(ended)->result, request_result::unknown);
}

TEST(
    request_attempts,
    a_resume_that_was_not_sent_does_not_show_that_it_did_not_run)
{
    retry_budget budget(10);
    request_attempts request(not_repeatable_rules, budget);
    request.start(start);
    request.link_lost(1, start);
    const attempt_actions ended = request.attempt_ended(
        1, attempt_outcome::not_sent, reason::owner_unreachable, {}, start);
    ASSERT_NE(find<finish_request>(ended), nullptr);
    EXPECT_FALSE(find<finish_request>(ended)->not_run);
}

TEST(request_attempts, a_refusal_of_the_runner_ends_a_not_repeatable_request)
{
    retry_budget budget(10);
    request_attempts request(not_repeatable_rules, budget);
    request.start(start);
    const attempt_actions ended = request.attempt_ended(
        1, attempt_outcome::refused_not_run, reason::runner_refused, {}, start);
    ASSERT_NE(find<finish_request>(ended), nullptr);
    EXPECT_TRUE(find<finish_request>(ended)->not_run);
}

TEST(request_attempts, the_budget_limits_retries_to_its_percentage)
{
    retry_budget budget(10);
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.first_attempt();
        retries += budget.try_retry() ? 1 : 0;
    }
    EXPECT_GE(retries, 100);
    EXPECT_LE(retries, 105);
}

RC_GTEST_PROP(request_attempts, finishes_once_with_the_true_outcome, ())
{
    const bool not_repeatable = *rc::gen::arbitrary<bool>();
    retry_budget budget(*rc::gen::inRange(0, 101));
    request_attempts request({not_repeatable, start + seconds(2)}, budget);
    time_point now = start;
    int runs = 0;
    int finishes = 0;
    bool open = false;
    bool ran_in_attempt = false;
    std::uint32_t attempt = 0;
    const auto apply = [&](const attempt_actions& actions)
    {
        for (const attempt_action& action : actions)
        {
            if (const auto* started = std::get_if<start_attempt>(&action))
            {
                RC_ASSERT(!open && started->attempt == attempt + 1);
                attempt = started->attempt;
                open = true;
                ran_in_attempt = false;
            }
            if (const auto* end = std::get_if<finish_request>(&action))
            {
                finishes += 1;
                open = false;
                RC_ASSERT(!end->not_run || runs == 0);
                RC_ASSERT(
                    end->result != request_result::refused || end->not_run);
                RC_ASSERT(end->result != request_result::answered || runs > 0);
            }
        }
    };
    apply(request.start(now));
    const int steps = *rc::gen::inRange(0, 30);
    for (int step = 0; step < steps; ++step)
    {
        now += milliseconds(*rc::gen::inRange(0, 300));
        const int event = *rc::gen::inRange(0, 9);
        if (open && !ran_in_attempt && event <= 1)
        {
            ran_in_attempt = true;
            runs += 1;
            RC_ASSERT(!not_repeatable || runs == 1);
        }
        else if (open && ran_in_attempt && event == 2)
        {
            request.bytes_forwarded(attempt);
        }
        else if (open && ran_in_attempt && event == 3)
        {
            apply(request.answered(attempt));
            apply(request.answered(attempt));
        }
        else if (open && event == 4)
        {
            open = false;
            const attempt_outcome outcome =
                ran_in_attempt ? attempt_outcome::unknown
                               : *rc::gen::element(
                                     attempt_outcome::not_sent,
                                     attempt_outcome::refused_not_run,
                                     attempt_outcome::unknown);
            const reason why = *rc::gen::element(
                reason::runner_crashed,
                reason::owner_unreachable,
                reason::runner_refused);
            apply(request.attempt_ended(attempt, outcome, why, {}, now));
        }
        else if (event == 5 && attempt > 1)
        {
            // The end of an earlier attempt has no effect.
            RC_ASSERT(request
                          .attempt_ended(
                              attempt - 1,
                              attempt_outcome::unknown,
                              reason::stream_broken,
                              {},
                              now)
                          .empty());
        }
        else if (open && event == 6)
        {
            const attempt_actions actions = request.link_lost(attempt, now);
            open = find<resume_attempt>(actions) != nullptr;
            apply(actions);
        }
        else if (event == 7 && step > 20)
        {
            apply(request.caller_disconnected());
        }
        else if (event == 8)
        {
            apply(request.tick(now));
        }
        RC_ASSERT(finishes <= 1 && request.finished() == (finishes == 1));
        RC_ASSERT(open != request.finished());
    }
    apply(request.tick(start + seconds(2)));
    RC_ASSERT(finishes == 1);
}

} // namespace chicory::online
