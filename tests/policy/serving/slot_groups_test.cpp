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
constexpr std::chrono::milliseconds item_run_time(3000);
constexpr std::chrono::milliseconds status_interval(150);
constexpr std::int64_t slots = 8;

struct zone_load
{
    std::size_t runners = 4;
    /// Online requests per second.
    double online = 0.0;
    /// Number of items that wait at all times.
    std::size_t items = 0;
};

/// Groups of one service, one per zone, with a scheduler each. Requests arrive
/// at equal intervals and run for a fixed time. A redirected request is sent to
/// the other scheduler immediately.
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
        this->handle_decisions(
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
            this->exchange_status();
            for (std::size_t zone = 0; zone < this->loads.size(); ++zone)
            {
                this->handle_decisions(
                    zone, this->schedulers[group(zone)].on_tick(this->now));
            }
        }
    }

    std::chrono::milliseconds status_delay{5};
    std::uint64_t granted = 0;
    std::uint64_t granted_late = 0;
    std::uint64_t granted_at_peer = 0;
    std::uint64_t refused = 0;
    std::uint64_t items_placed_at_peer = 0;
    std::int64_t max_slots_in_use = 0;

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
    struct pending_request
    {
        slot_request request;
        std::size_t home = 0;
        time_point first_sent;
    };
    struct pending_status
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

    std::size_t zone_of(const runner_group& target) const
    {
        std::size_t zone = 0;
        while (group(zone) != target)
        {
            ++zone;
        }
        return zone;
    }

    void send_request(std::size_t zone, const pending_request& pending)
    {
        this->waiting[pending.request.id] = pending;
        this->handle_decisions(
            zone,
            this->schedulers[group(zone)].on_request(
                this->now, pending.request));
    }

    void create_request(std::size_t zone, work_kind kind)
    {
        pending_request pending;
        pending.home = zone;
        pending.first_sent = this->now;
        pending.request.id = {"node-" + name(zone), 1, this->next_number++};
        pending.request.kind = kind;
        pending.request.group = group(zone);
        pending.request.zone = name(zone);
        pending.request.target_time_left =
            kind == work_kind::online ? 300ms : 18s;
        pending.request.time_left = kind == work_kind::online ? 5s : 60s;
        pending.request.expected_work = kind == work_kind::online
                                            ? duration::zero()
                                            : duration(item_run_time);
        pending.request.repeatable = kind == work_kind::batch;
        this->send_request(zone, pending);
    }

    void send_requests()
    {
        const double seconds = std::chrono::duration<double>(step).count();
        for (std::size_t zone = 0; zone < this->loads.size(); ++zone)
        {
            this->unsent_requests[zone] += this->loads[zone].online * seconds;
            for (; this->unsent_requests[zone] >= 1.0;
                 this->unsent_requests[zone] -= 1.0)
            {
                this->create_request(zone, work_kind::online);
            }
            for (std::size_t missing = this->items_waiting(zone);
                 missing < this->loads[zone].items;
                 ++missing)
            {
                this->create_request(zone, work_kind::batch);
            }
        }
    }

    std::size_t items_waiting(std::size_t zone) const
    {
        std::size_t count = 0;
        for (const auto& [id, pending] : this->waiting)
        {
            count +=
                pending.home == zone && pending.request.kind == work_kind::batch
                    ? 1
                    : 0;
        }
        return count;
    }

    void exchange_status()
    {
        if (this->now >= this->next_status)
        {
            this->next_status = this->now + duration(status_interval);
            for (auto& [from, scheduler] : this->schedulers)
            {
                group_status status = scheduler.make_group_status(this->now);
                status.group = from;
                for (const auto& [to, other] : this->schedulers)
                {
                    if (to != from)
                    {
                        this->statuses_in_transit.push_back(
                            {this->now + duration(this->status_delay),
                             to,
                             status});
                    }
                }
            }
        }
        while (!this->statuses_in_transit.empty() &&
               this->statuses_in_transit.front().due <= this->now)
        {
            const pending_status received = this->statuses_in_transit.front();
            this->statuses_in_transit.pop_front();
            this->handle_decisions(
                this->zone_of(received.receiver),
                this->schedulers[received.receiver].on_group_status(
                    this->now, received.status));
        }
    }

    void end_runs()
    {
        while (!this->ends.empty() && this->ends.begin()->first <= this->now)
        {
            const auto [zone, id] = this->ends.begin()->second;
            this->ends.erase(this->ends.begin());
            this->handle_decisions(
                zone,
                this->schedulers[group(zone)].on_release(
                    this->now, id, slot_outcome::completed));
        }
    }

    void handle_decisions(
        std::size_t zone, const std::vector<slot_decision>& decisions)
    {
        for (const slot_decision& decision : decisions)
        {
            this->handle_decision(zone, decision);
        }
        this->max_slots_in_use = std::max(
            this->max_slots_in_use,
            this->in_use(work_kind::online) + this->in_use(work_kind::batch));
    }

    void handle_decision(std::size_t zone, const slot_decision& decision)
    {
        const auto found = this->waiting.find(decision.id);
        if (decision.kind == slot_decision_kind::preempt)
        {
            this->handle_decisions(
                zone,
                this->schedulers[group(zone)].on_release(
                    this->now, decision.id, slot_outcome::cancelled));
            return;
        }
        if (found == this->waiting.end() ||
            decision.kind == slot_decision_kind::queued)
        {
            return;
        }
        pending_request pending = found->second;
        this->waiting.erase(found);
        const bool online = pending.request.kind == work_kind::online;
        if (decision.kind == slot_decision_kind::redirected)
        {
            pending.request.group = decision.redirect_target;
            pending.request.redirected = true;
            this->send_request(
                this->zone_of(decision.redirect_target), pending);
            return;
        }
        if (decision.kind == slot_decision_kind::refused)
        {
            this->refused += online ? 1 : 0;
            return;
        }
        this->ends.emplace(
            this->now +
                (online ? duration(online_run) : duration(item_run_time)),
            std::make_pair(zone, decision.id));
        if (!online)
        {
            this->items_placed_at_peer += zone == pending.home ? 0 : 1;
            return;
        }
        ++this->granted;
        this->granted_at_peer += zone == pending.home ? 0 : 1;
        this->granted_late += this->now - pending.first_sent > 240ms ? 1 : 0;
    }

    std::vector<zone_load> loads;
    std::map<runner_group, slot_scheduler> schedulers;
    std::map<slot_id, pending_request> waiting;
    std::multimap<time_point, std::pair<std::size_t, slot_id>> ends;
    std::deque<pending_status> statuses_in_transit;
    std::map<std::size_t, double> unsent_requests;
    std::uint64_t next_number = 1;
    time_point now = start;
    time_point next_status = start;
};

TEST(slot_groups_test, requests_that_fit_are_not_redirected)
{
    fleet_of_groups fleet({{4, 30.0, 0}, {4, 30.0, 0}, {4, 30.0, 0}});
    fleet.run(5s);
    EXPECT_GT(fleet.granted, 400U);
    EXPECT_EQ(fleet.granted_at_peer, 0U);
    EXPECT_EQ(fleet.refused, 0U);
}

// Load pattern: one zone has far more than its share of the load, while the
// fleet has free capacity. A group has 32 slots and completes 64 requests per
// second.
TEST(slot_groups_test, a_crowded_zone_is_served_by_peer_groups)
{
    fleet_of_groups fleet({{4, 100.0, 0}, {4, 20.0, 0}, {4, 20.0, 0}});
    fleet.run(8s);
    EXPECT_EQ(fleet.refused, 0U);
    EXPECT_EQ(fleet.granted_late, 0U);
    EXPECT_GT(fleet.granted_at_peer, 100U);
}

// Load pattern: the same, with group statuses that arrive 300 ms late.
TEST(slot_groups_test, late_statuses_still_serve_a_crowded_zone)
{
    fleet_of_groups fleet({{4, 100.0, 0}, {4, 20.0, 0}, {4, 20.0, 0}});
    fleet.status_delay = 300ms;
    fleet.run(8s);
    EXPECT_EQ(fleet.refused, 0U);
    EXPECT_LE(fleet.granted_late * 50, fleet.granted);
}

// Load pattern: all runners of a zone fail under load.
TEST(slot_groups_test, a_group_without_runners_is_served_by_peer_groups)
{
    fleet_of_groups fleet({{4, 25.0, 0}, {4, 25.0, 0}, {4, 25.0, 0}});
    fleet.run(2s);
    fleet.set_runners(0, 0);
    fleet.run(5s);
    EXPECT_EQ(fleet.refused, 0U);
    EXPECT_EQ(fleet.granted_late, 0U);
    EXPECT_GT(fleet.granted_at_peer, 100U);
}

// Load pattern: the rate of online requests steps from 0.378 to 1.85 of its
// mean while batch work uses all idle slots.
TEST(slot_groups_test, a_load_step_over_batch_work_delays_no_request)
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
    EXPECT_LE(fleet.max_slots_in_use, 3 * 4 * slots);
}

// Load pattern: all batch jobs are sent to one zone.
TEST(slot_groups_test, items_use_idle_slots_of_every_group)
{
    fleet_of_groups fleet({{4, 10.0, 80}, {4, 10.0, 0}, {4, 10.0, 0}});
    fleet.run(6s);
    EXPECT_EQ(fleet.refused, 0U);
    EXPECT_EQ(fleet.granted_late, 0U);
    EXPECT_GT(fleet.items_placed_at_peer, 20U);
    EXPECT_GE(fleet.in_use(work_kind::batch) * 10, 3 * 4 * slots * 7);
}

// Guards against a request that crashes runners in every zone, because it is
// sent through nodes of all zones.
TEST(slot_groups_test, crashes_are_reported_to_peer_groups)
{
    slot_scheduler first;
    slot_scheduler second;
    first.on_crash(start, {77, {"a", 1, 1}});
    first.on_crash(start, {77, {"a", 1, 2}});
    group_status status = first.make_group_status(start);
    status.group = {"chat", "z1", 0};
    second.set_runners(start, {{"r", "z2", slots}});
    second.on_group_status(start, status);
    slot_request copy;
    copy.id = {"b", 1, 5};
    copy.group = {"chat", "z2", 0};
    copy.target_time_left = 300ms;
    copy.time_left = 5s;
    copy.request_digest = 77;
    const std::vector<slot_decision> decisions = second.on_request(start, copy);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions.front().kind, slot_decision_kind::quarantined);
}

// Guards against a part that crashes a runner of each group, because each group
// tries it after a crash in one of them.
TEST(slot_groups_test, a_suspect_part_is_tried_in_one_group)
{
    constexpr std::uint64_t part = 1001;
    const std::vector<runner_group> groups = {
        {"chat", "z1", 0}, {"chat", "z2", 0}, {"chat", "z3", 0}};
    std::vector<slot_scheduler> schedulers(groups.size());
    crashed_run crash;
    crash.id = {"a", 1, 1};
    crash.parts = {part};
    schedulers.front().on_crash(start, crash);
    for (std::size_t index = 0; index < groups.size(); ++index)
    {
        schedulers[index].set_runners(
            start, {{"r" + groups[index].zone, groups[index].zone, slots}});
        for (std::size_t other = 0; other < groups.size(); ++other)
        {
            group_status status = schedulers[other].make_group_status(start);
            status.group = groups[other];
            if (other != index)
            {
                schedulers[index].on_group_status(start, status);
            }
        }
    }
    std::size_t granted = 0;
    std::size_t redirected = 0;
    for (std::size_t index = 0; index < groups.size(); ++index)
    {
        slot_request request;
        request.id = {"n" + std::to_string(index), 1, 1};
        request.group = groups[index];
        request.target_time_left = 300ms;
        request.time_left = 5s;
        request.request_digest = 50 + index;
        request.parts = {part};
        for (const slot_decision& decision :
             schedulers[index].on_request(start + 10ms, request))
        {
            granted += decision.kind == slot_decision_kind::granted ? 1 : 0;
            redirected +=
                decision.kind == slot_decision_kind::redirected ? 1 : 0;
        }
    }
    EXPECT_EQ(granted, 1U);
    EXPECT_EQ(redirected, 2U);
}

} // namespace

} // namespace chicory::serving
