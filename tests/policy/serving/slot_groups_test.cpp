#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
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
constexpr std::chrono::milliseconds online_run(500);
constexpr std::chrono::milliseconds item_execution(3000);
constexpr std::chrono::milliseconds news_interval(150);
constexpr std::int64_t slots = 8;

struct zone_load
{
    std::size_t runners = 4;
    /// Online requests a second.
    double online = 0.0;
    /// Items that wait all the time.
    std::size_t items = 0;
};

/// Groups of one service, one a zone, with a scheduler each. Requests come at
/// even distances and run for a fixed time; a redirected request asks again
/// after one step.
class fleet_of_groups
{
public:
    explicit fleet_of_groups(std::vector<zone_load> initial)
        : loads(std::move(initial))
    {
        for (std::size_t zone = 0; zone < this->loads.size(); ++zone)
        {
            this->set_runners(zone, this->loads[zone].runners);
        }
    }

    void set_runners(std::size_t zone, std::size_t count)
    {
        std::vector<slot_runner> runners;
        for (std::size_t index = 0; index < count; ++index)
        {
            runners.push_back(
                {name(zone) + "-" + std::to_string(index), name(zone), slots});
        }
        this->take(
            zone,
            this->schedulers[group(zone)].set_runners(this->now, runners));
    }

    void set_online(double rate)
    {
        for (zone_load& load : this->loads)
        {
            load.online = rate;
        }
    }

    void run(std::chrono::milliseconds length)
    {
        const time_point until = this->now + duration(length);
        while (this->now < until)
        {
            this->now += duration(step);
            this->end_runs();
            this->send_requests();
            this->exchange_news();
            for (std::size_t zone = 0; zone < this->loads.size(); ++zone)
            {
                this->take(
                    zone, this->schedulers[group(zone)].on_tick(this->now));
            }
        }
    }

    std::chrono::milliseconds news_delay{5};
    std::uint64_t granted = 0;
    std::uint64_t granted_late = 0;
    std::uint64_t granted_elsewhere = 0;
    std::uint64_t refused = 0;
    std::uint64_t items_placed_elsewhere = 0;
    std::int64_t most_at_once = 0;

    std::int64_t in_use(work_kind kind)
    {
        std::int64_t sum = 0;
        for (const auto& [key, scheduler] : this->schedulers)
        {
            sum += static_cast<std::int64_t>(scheduler.slots_in_use(kind));
        }
        return sum;
    }

private:
    struct asked
    {
        slot_request request;
        std::size_t home = 0;
        time_point first_asked;
    };
    struct pending_news
    {
        time_point due;
        runner_group receiver;
        group_status status;
    };

    static std::string name(std::size_t zone)
    {
        return "z" + std::to_string(zone);
    }

    static runner_group group(std::size_t zone)
    {
        return {"chat", name(zone), 0};
    }

    std::size_t zone_of(const runner_group& wanted) const
    {
        std::size_t zone = 0;
        while (group(zone) != wanted)
        {
            ++zone;
        }
        return zone;
    }

    void ask(std::size_t zone, const asked& what)
    {
        this->waiting[what.request.id] = what;
        this->take(
            zone,
            this->schedulers[group(zone)].on_request(this->now, what.request));
    }

    void send(std::size_t zone, work_kind kind)
    {
        asked what;
        what.home = zone;
        what.first_asked = this->now;
        what.request.id = {"node-" + name(zone), 1, this->next_number++};
        what.request.kind = kind;
        what.request.group = group(zone);
        what.request.zone = name(zone);
        what.request.target_time_left = kind == work_kind::online ? 300ms : 18s;
        what.request.time_left = kind == work_kind::online ? 5s : 60s;
        what.request.expected_work = kind == work_kind::online
                                         ? duration::zero()
                                         : duration(item_execution);
        what.request.repeatable = kind == work_kind::batch;
        this->ask(zone, what);
    }

    void send_requests()
    {
        const double seconds = std::chrono::duration<double>(step).count();
        for (std::size_t zone = 0; zone < this->loads.size(); ++zone)
        {
            this->owed[zone] += this->loads[zone].online * seconds;
            for (; this->owed[zone] >= 1.0; this->owed[zone] -= 1.0)
            {
                this->send(zone, work_kind::online);
            }
            for (std::size_t missing = this->items_waiting(zone);
                 missing < this->loads[zone].items;
                 ++missing)
            {
                this->send(zone, work_kind::batch);
            }
        }
    }

    std::size_t items_waiting(std::size_t zone) const
    {
        std::size_t count = 0;
        for (const auto& [id, what] : this->waiting)
        {
            count += what.home == zone && what.request.kind == work_kind::batch
                         ? 1
                         : 0;
        }
        return count;
    }

    void exchange_news()
    {
        if (this->now >= this->next_news)
        {
            this->next_news = this->now + duration(news_interval);
            for (auto& [from, scheduler] : this->schedulers)
            {
                group_status digest = scheduler.make_group_status(this->now);
                digest.group = from;
                for (const auto& [to, other] : this->schedulers)
                {
                    if (to != from)
                    {
                        this->on_way.push_back(
                            {this->now + duration(this->news_delay),
                             to,
                             digest});
                    }
                }
            }
        }
        while (!this->on_way.empty() && this->on_way.front().due <= this->now)
        {
            const pending_news news = this->on_way.front();
            this->on_way.pop_front();
            this->take(
                this->zone_of(news.receiver),
                this->schedulers[news.receiver].on_group_status(
                    this->now, news.status));
        }
    }

    void end_runs()
    {
        while (!this->ends.empty() && this->ends.begin()->first <= this->now)
        {
            const auto [zone, id] = this->ends.begin()->second;
            this->ends.erase(this->ends.begin());
            this->take(
                zone,
                this->schedulers[group(zone)].on_release(
                    this->now, id, slot_outcome::completed));
        }
    }

    void take(std::size_t zone, const std::vector<slot_decision>& verdicts)
    {
        for (const slot_decision& verdict : verdicts)
        {
            this->take_one(zone, verdict);
        }
        this->most_at_once = std::max(
            this->most_at_once,
            this->in_use(work_kind::online) + this->in_use(work_kind::batch));
    }

    void take_one(std::size_t zone, const slot_decision& verdict)
    {
        const auto found = this->waiting.find(verdict.id);
        if (verdict.kind == slot_decision_kind::preempt)
        {
            this->take(
                zone,
                this->schedulers[group(zone)].on_release(
                    this->now, verdict.id, slot_outcome::cancelled));
            return;
        }
        if (found == this->waiting.end() ||
            verdict.kind == slot_decision_kind::queued)
        {
            return;
        }
        asked what = found->second;
        this->waiting.erase(found);
        const bool online = what.request.kind == work_kind::online;
        if (verdict.kind == slot_decision_kind::redirected)
        {
            what.request.group = verdict.redirect_target;
            what.request.redirected = true;
            this->ask(this->zone_of(verdict.redirect_target), what);
            return;
        }
        if (verdict.kind == slot_decision_kind::refused)
        {
            this->refused += online ? 1 : 0;
            return;
        }
        this->ends.emplace(
            this->now +
                (online ? duration(online_run) : duration(item_execution)),
            std::make_pair(zone, verdict.id));
        if (!online)
        {
            this->items_placed_elsewhere += zone == what.home ? 0 : 1;
            return;
        }
        ++this->granted;
        this->granted_elsewhere += zone == what.home ? 0 : 1;
        this->granted_late += this->now - what.first_asked > 240ms ? 1 : 0;
    }

    std::vector<zone_load> loads;
    std::map<runner_group, slot_scheduler> schedulers;
    std::map<slot_id, asked> waiting;
    std::multimap<time_point, std::pair<std::size_t, slot_id>> ends;
    std::deque<pending_news> on_way;
    std::map<std::size_t, double> owed;
    std::uint64_t next_number = 1;
    time_point now = start;
    time_point next_news = start;
};

TEST(slot_groups_test, what_fits_at_home_stays_at_home)
{
    fleet_of_groups fleet({{4, 30.0, 0}, {4, 30.0, 0}, {4, 30.0, 0}});
    fleet.run(5s);
    EXPECT_GT(fleet.granted, 400U);
    EXPECT_EQ(fleet.granted_elsewhere, 0U);
    EXPECT_EQ(fleet.refused, 0U);
}

// Load pattern: one zone has far more than its share, the fleet has room. A
// group has 32 slots and so ends 64 requests a second.
TEST(slot_groups_test, a_zone_with_twice_its_share_is_served_by_the_others)
{
    fleet_of_groups fleet({{4, 100.0, 0}, {4, 20.0, 0}, {4, 20.0, 0}});
    fleet.run(8s);
    EXPECT_EQ(fleet.refused, 0U);
    EXPECT_EQ(fleet.granted_late, 0U);
    EXPECT_GT(fleet.granted_elsewhere, 100U);
}

// Load pattern: the same with words between coordinators that come 300 ms
// late.
TEST(slot_groups_test, late_digests_still_serve_a_crowded_zone)
{
    fleet_of_groups fleet({{4, 100.0, 0}, {4, 20.0, 0}, {4, 20.0, 0}});
    fleet.news_delay = 300ms;
    fleet.run(8s);
    EXPECT_EQ(fleet.refused, 0U);
    EXPECT_LE(fleet.granted_late * 50, fleet.granted);
}

// Load pattern: all runners of a zone are lost under load.
TEST(slot_groups_test, a_group_that_lost_its_runners_is_served_elsewhere)
{
    fleet_of_groups fleet({{4, 25.0, 0}, {4, 25.0, 0}, {4, 25.0, 0}});
    fleet.run(2s);
    fleet.set_runners(0, 0);
    fleet.run(5s);
    EXPECT_EQ(fleet.refused, 0U);
    EXPECT_EQ(fleet.granted_late, 0U);
    EXPECT_GT(fleet.granted_elsewhere, 100U);
}

// Load pattern: online requests step from 0.378 to 1.85 of their mean, over
// batch work that fills all idle slots.
TEST(slot_groups_test, a_step_over_a_full_batch_delays_no_request)
{
    fleet_of_groups fleet({{4, 12.0, 40}, {4, 12.0, 40}, {4, 12.0, 40}});
    fleet.run(4s);
    EXPECT_GE(
        (fleet.in_use(work_kind::online) + fleet.in_use(work_kind::batch)) * 10,
        3 * 4 * slots * 9);
    fleet.set_online(58.0);
    fleet.run(5s);
    EXPECT_EQ(fleet.refused, 0U);
    EXPECT_EQ(fleet.granted_late, 0U);
    EXPECT_LE(fleet.most_at_once, 3 * 4 * slots);
}

// Load pattern: all batch jobs come to one zone.
TEST(slot_groups_test, items_take_idle_slots_of_every_group)
{
    fleet_of_groups fleet({{4, 10.0, 80}, {4, 10.0, 0}, {4, 10.0, 0}});
    fleet.run(6s);
    EXPECT_EQ(fleet.refused, 0U);
    EXPECT_EQ(fleet.granted_late, 0U);
    EXPECT_GT(fleet.items_placed_elsewhere, 20U);
    EXPECT_GE(fleet.in_use(work_kind::batch) * 10, 3 * 4 * slots * 7);
}

// Load pattern: a request that crashes runners is sent in every zone.
TEST(slot_groups_test, crashes_in_one_group_are_known_to_the_others)
{
    slot_scheduler first;
    slot_scheduler second;
    first.on_crash(start, {77, {"a", 1, 1}});
    first.on_crash(start, {77, {"a", 1, 2}});
    group_status digest = first.make_group_status(start);
    digest.group = {"chat", "z1", 0};
    second.set_runners(start, {{"r", "z2", slots}});
    second.on_group_status(start, digest);
    slot_request copy;
    copy.id = {"b", 1, 5};
    copy.group = {"chat", "z2", 0};
    copy.target_time_left = 300ms;
    copy.time_left = 5s;
    copy.request_digest = 77;
    const std::vector<slot_decision> verdicts = second.on_request(start, copy);
    ASSERT_EQ(verdicts.size(), 1U);
    EXPECT_EQ(verdicts.front().kind, slot_decision_kind::quarantined);
}

} // namespace

} // namespace chicory::serving
