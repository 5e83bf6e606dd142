#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

const time_point start = time_point() + 1h;
constexpr std::chrono::milliseconds step(5);
constexpr std::chrono::milliseconds run_time(500);

slot_request make_request(std::uint64_t number, std::string organisation)
{
    slot_request request;
    request.id = {"a", 1, number};
    request.group.service = "chat";
    request.zone = "z1";
    request.target_time_left = 300ms;
    request.time_left = 5s;
    request.request_digest = 1000 + number;
    request.organisation = std::move(organisation);
    return request;
}

std::optional<slot_decision>
find_decision(const std::vector<slot_decision>& decisions, const slot_id& id)
{
    for (const slot_decision& decision : decisions)
    {
        if (decision.id == id)
        {
            return decision;
        }
    }
    return std::nullopt;
}

/// Callers of several organisations at a group with 32 slots that serves 64
/// requests per second. A refused caller comes back after the time that it was
/// given, until 5 s have passed.
class crowded_group
{
public:
    struct result
    {
        std::int64_t asked = 0;
        std::int64_t served = 0;
        std::int64_t refusals = 0;

        double ratio() const
        {
            return static_cast<double>(this->served) /
                   static_cast<double>(std::max<std::int64_t>(1, this->asked));
        }

        double refusal_ratio() const
        {
            return static_cast<double>(this->refusals) /
                   static_cast<double>(std::max<std::int64_t>(1, this->asked));
        }
    };

    explicit crowded_group(std::uint64_t seed) : draw(seed)
    {
        this->scheduler.set_runners(
            start,
            {{"r0", "z1", 8},
             {"r1", "z1", 8},
             {"r2", "z1", 8},
             {"r3", "z1", 8}});
    }

    void run(const std::map<std::string, double>& loads, duration length)
    {
        for (const time_point end = this->now + length; this->now < end;
             this->now += step)
        {
            this->end_runs();
            for (const auto& [name, load] : loads)
            {
                std::poisson_distribution<int> arrivals(
                    load * std::chrono::duration<double>(step).count());
                for (int count = arrivals(this->draw); count > 0; --count)
                {
                    caller added;
                    added.organisation = name;
                    added.digest = ++this->next_digest;
                    added.gives_up = this->now + 5s;
                    this->send(added);
                }
            }
            while (!this->returning.empty() &&
                   this->returning.begin()->first <= this->now)
            {
                const caller again = this->returning.begin()->second;
                this->returning.erase(this->returning.begin());
                if (again.gives_up > this->now)
                {
                    this->send(again);
                }
                else
                {
                    ++this->results[again.organisation].asked;
                }
            }
            // A caller without a slot gives up at its deadline.
            while (!this->deadlines.empty() &&
                   this->deadlines.begin()->first <= this->now)
            {
                const slot_id id = this->deadlines.begin()->second;
                this->deadlines.erase(this->deadlines.begin());
                if (const auto found = this->callers.find(id);
                    found != this->callers.end())
                {
                    ++this->results[found->second.organisation].asked;
                    this->callers.erase(found);
                    this->handle(this->scheduler.on_release(
                        this->now, id, slot_outcome::unused));
                }
            }
            if ((this->now - start) % 25ms == duration::zero())
            {
                this->handle(this->scheduler.on_tick(this->now));
            }
        }
    }

    std::map<std::string, result> results;

private:
    struct caller
    {
        std::string organisation;
        std::uint64_t digest = 0;
        time_point gives_up;
    };

    void send(const caller& sender)
    {
        slot_request request =
            make_request(++this->next_number, sender.organisation);
        request.request_digest = sender.digest;
        request.time_left = sender.gives_up - this->now;
        this->callers[request.id] = sender;
        this->deadlines.emplace(sender.gives_up, request.id);
        this->handle(this->scheduler.on_request(this->now, request));
    }

    void handle(const std::vector<slot_decision>& decisions)
    {
        for (const slot_decision& decision : decisions)
        {
            const auto found = this->callers.find(decision.id);
            if (found == this->callers.end())
            {
                continue;
            }
            result& counts = this->results[found->second.organisation];
            if (decision.kind == slot_decision_kind::granted)
            {
                ++counts.asked;
                ++counts.served;
                this->running.emplace(this->now + run_time, decision.id);
                this->callers.erase(found);
            }
            else if (decision.kind == slot_decision_kind::refused)
            {
                ++counts.refusals;
                this->returning.emplace(
                    this->now + decision.retry_after, found->second);
                this->callers.erase(found);
            }
        }
    }

    void end_runs()
    {
        while (!this->running.empty() &&
               this->running.begin()->first <= this->now)
        {
            const slot_id id = this->running.begin()->second;
            this->running.erase(this->running.begin());
            this->handle(this->scheduler.on_release(
                this->now, id, slot_outcome::completed));
        }
    }

    std::mt19937_64 draw;
    slot_scheduler scheduler;
    time_point now = start;
    std::uint64_t next_number = 0;
    std::uint64_t next_digest = 0;
    std::map<slot_id, caller> callers;
    std::multimap<time_point, slot_id> running;
    std::multimap<time_point, caller> returning;
    std::multimap<time_point, slot_id> deadlines;
};

} // namespace

TEST(
    fair_queue,
    an_organisation_with_many_times_its_load_does_not_displace_the_others)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        // 56 requests per second as usual; `a` sends 7.5 times its 7.
        std::map<std::string, double> loads = {{"a", 7 * 7.5}};
        for (int index = 0; index < 7; ++index)
        {
            loads["o" + std::to_string(index)] = index < 4 ? 3.0 : 7.0;
        }
        crowded_group group(seed);
        group.run(loads, 25s);
        crowded_group::result all;
        for (const auto& [name, counts] : group.results)
        {
            all.asked += counts.asked;
            all.served += counts.served;
        }
        SCOPED_TRACE("seed " + std::to_string(seed));
        EXPECT_LT(all.ratio(), 0.9);
        for (const auto& [name, counts] : group.results)
        {
            EXPECT_GE(counts.ratio(), all.ratio() / 4) << name;
            if (name != "a")
            {
                EXPECT_GE(counts.ratio(), 0.97) << name;
                // Refusals apply first to the organisation with the most in
                // use and waiting.
                EXPECT_LE(
                    counts.refusal_ratio() * 4,
                    group.results.at("a").refusal_ratio())
                    << name;
            }
        }
    }
}

TEST(fair_queue, none_is_served_less_than_a_quarter_as_often_as_all)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        std::map<std::string, double> loads;
        std::mt19937_64 draw(seed);
        for (int index = 0; index < 20; ++index)
        {
            loads["o" + std::to_string(index)] =
                1.0 + static_cast<double>(draw() % 12);
        }
        loads["o0"] = 60.0;
        crowded_group group(seed);
        group.run(loads, 12s);
        crowded_group::result all;
        for (const auto& [name, counts] : group.results)
        {
            all.asked += counts.asked;
            all.served += counts.served;
        }
        SCOPED_TRACE("seed " + std::to_string(seed));
        for (const auto& [name, counts] : group.results)
        {
            EXPECT_GE(counts.ratio(), all.ratio() / 4) << name;
        }
    }
}

TEST(fair_queue, a_request_beyond_the_quota_is_refused_at_once_and_runs_later)
{
    organisation_quota_settings settings;
    settings.tolerance = 0.0;
    settings.overshoot = 0.0;
    organisation_quota quota(
        settings,
        [](const std::string&)
        {
            return organisation_limit{1.0, 2.0, 0};
        });
    slot_scheduler scheduler;
    scheduler.set_quota(&quota);
    scheduler.set_runners(start, {{"r0", "z1", 8}});
    std::vector<slot_decision_kind> kinds;
    duration retry_after = duration::zero();
    for (std::uint64_t number = 1; number <= 3; ++number)
    {
        const slot_request request = make_request(number, "o");
        const auto decision =
            find_decision(scheduler.on_request(start, request), request.id);
        ASSERT_TRUE(decision);
        kinds.push_back(decision->kind);
        retry_after = decision->retry_after;
    }
    EXPECT_EQ(
        kinds,
        (std::vector<slot_decision_kind>{
            slot_decision_kind::granted,
            slot_decision_kind::granted,
            slot_decision_kind::over_quota}));
    EXPECT_EQ(retry_after, 1s);
    // A second slot for an attempt that has run is not charged.
    slot_request again = make_request(4, "o");
    again.charged = true;
    EXPECT_EQ(
        find_decision(scheduler.on_request(start, again), again.id)->kind,
        slot_decision_kind::granted);
    // Items and requests without an organisation are not counted.
    const slot_request open = make_request(5, "");
    EXPECT_EQ(
        find_decision(scheduler.on_request(start, open), open.id)->kind,
        slot_decision_kind::granted);
    // A repeated packet is charged once, and a run that a runner refused is
    // not charged at all.
    const slot_request first = make_request(1, "o");
    scheduler.on_request(start + 10ms, first);
    EXPECT_EQ(quota.count_in_window(start + 10ms, "o"), 2);
    scheduler.on_release(start + 20ms, first.id, slot_outcome::refused);
    EXPECT_EQ(quota.count_in_window(start + 20ms, "o"), 1);
}

TEST(fair_queue, a_request_that_waits_and_is_withdrawn_gets_its_charge_back)
{
    organisation_quota quota(
        {},
        [](const std::string&)
        {
            return organisation_limit{10.0, 10.0, 0};
        });
    slot_scheduler scheduler;
    scheduler.set_quota(&quota);
    scheduler.set_runners(start, {{"r0", "z1", 1}});
    const slot_request first = make_request(1, "o");
    slot_request second = make_request(2, "o");
    second.target_time_left = 3s;
    scheduler.on_request(start, first);
    scheduler.on_request(start, second);
    EXPECT_EQ(scheduler.waiting(work_kind::online), 1U);
    EXPECT_EQ(quota.count_in_window(start, "o"), 2);
    scheduler.on_release(start + 1s, second.id, slot_outcome::unused);
    EXPECT_EQ(quota.count_in_window(start + 1s, "o"), 1);
}

} // namespace chicory::serving
