#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

const time_point start = time_point() + 1h;
constexpr int runner_count = 10;
constexpr duration online_run = 700ms;
constexpr duration failed_run = 1ms;

/// Ten runners under a steady stream of online requests. The first `failing`
/// runners respond to each request with an immediate failure.
class failing_fleet
{
public:
    failing_fleet()
    {
        std::vector<slot_runner> runners;
        for (int index = 0; index < runner_count; ++index)
        {
            runners.push_back({"r" + std::to_string(index), "z1", 8});
        }
        this->scheduler.set_runners(start, runners);
    }

    /// Sends `rate` requests per second for a time and returns the number of
    /// failures.
    int run_requests(time_point from, duration length, int rate, int failing)
    {
        const duration gap = duration(1s) / rate;
        this->failures = 0;
        for (time_point now = from; now < from + length; now += gap)
        {
            this->end_runs(now);
            slot_request request;
            request.id = {"a", 1, ++this->number};
            request.group.service = "chat";
            request.zone = "z1";
            request.target_time_left = 300ms;
            request.time_left = 5s;
            request.request_digest = this->number;
            for (const slot_decision& decision :
                 this->scheduler.on_request(now, request))
            {
                this->handle_decision(now, decision, failing);
            }
        }
        return this->failures;
    }

    std::map<std::string, int> placed;

private:
    void
    handle_decision(time_point now, const slot_decision& decision, int failing)
    {
        if (decision.kind != slot_decision_kind::granted)
        {
            return;
        }
        ++this->placed[decision.runner];
        const bool fails = decision.runner < "r" + std::to_string(failing);
        this->failures += fails ? 1 : 0;
        this->runs.emplace(
            now + (fails ? failed_run : online_run),
            std::pair(
                decision.id,
                fails ? slot_outcome::failed : slot_outcome::completed));
    }

    void end_runs(time_point now)
    {
        while (!this->runs.empty() && this->runs.begin()->first <= now)
        {
            const auto [at, run] = *this->runs.begin();
            this->runs.erase(this->runs.begin());
            this->scheduler.on_release(at, run.first, run.second);
        }
    }

    slot_scheduler scheduler;
    std::multimap<time_point, std::pair<slot_id, slot_outcome>> runs;
    std::uint64_t number = 0;
    int failures = 0;
};

// Guards against failing runners that attract requests. A tenth of the runners
// report themselves ready but fail all requests immediately, so that they are
// always idle.
TEST(failing_runners_test, a_runner_that_fails_immediately_gets_few_requests)
{
    failing_fleet fleet;
    EXPECT_EQ(fleet.run_requests(start, 2s, 60, 0), 0);
    const int failures = fleet.run_requests(start + 2s, 5s, 60, 1);
    // Fewer failures than the number of requests that one healthy runner would
    // get.
    EXPECT_LT(failures, 5 * 60 / runner_count);
}

TEST(failing_runners_test, a_recovered_runner_gets_its_share_again)
{
    failing_fleet fleet;
    fleet.run_requests(start, 5s, 60, 1);
    fleet.run_requests(start + 5s, 10s, 60, 0);
    fleet.placed.clear();
    fleet.run_requests(start + 15s, 5s, 60, 0);
    EXPECT_GT(fleet.placed["r0"], 5 * 60 / runner_count / 2);
}

TEST(failure_rate_test, occasional_failures_do_not_degrade_a_runner)
{
    failure_rate rate;
    time_point now = start;
    for (int run = 1; run <= 200; ++run)
    {
        now += 100ms;
        if (run % 10 == 0)
        {
            rate.on_failure(now);
        }
        else
        {
            rate.on_success(now);
        }
        EXPECT_FALSE(rate.is_degraded(now));
        EXPECT_FALSE(rate.is_in_backoff(now));
    }
}

TEST(
    failure_rate_test,
    backoff_doubles_after_each_failure_and_degradation_expires)
{
    failure_rate rate;
    time_point now = start;
    for (int run = 0; run < 3; ++run)
    {
        rate.on_failure(now);
    }
    EXPECT_TRUE(rate.is_degraded(now));
    EXPECT_TRUE(rate.is_in_backoff(now + 399ms));
    EXPECT_FALSE(rate.is_in_backoff(now + 400ms));
    now += 400ms;
    rate.on_failure(now);
    EXPECT_TRUE(rate.is_in_backoff(now + 799ms));
    EXPECT_FALSE(rate.is_in_backoff(now + 800ms));
    // Without further failures the runner is no longer degraded after some
    // time.
    EXPECT_FALSE(rate.is_degraded(now + 10s));
}

} // namespace

} // namespace chicory::serving
