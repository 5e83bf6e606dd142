#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

const time_point start = time_point() + 1h;
constexpr std::chrono::milliseconds step(10);
constexpr std::chrono::milliseconds status_interval(150);
constexpr std::chrono::milliseconds report_interval(250);
/// Time after which nodes notice that others are gone or are back.
constexpr std::chrono::milliseconds detection_time(1500);

using limit_table = std::map<std::string, organisation_limit>;

/// Parameters of a simulated fleet.
struct fleet_shape
{
    std::size_t nodes = 59;
    /// Nodes at which requests arrive.
    std::size_t entry_nodes = 59;
    std::size_t groups = 1;
    limit_table limits = {};
    /// Requests per second of each organisation.
    std::map<std::string, double> loads = {};
};

/// Nodes with their quotas, which coordinate groups and exchange statuses and
/// reports, and a central counter of the requests that run.
class quota_fleet
{
public:
    quota_fleet(fleet_shape initial, std::uint64_t seed)
        : shape(std::move(initial)), draw(seed), limits(this->shape.limits)
    {
        for (std::size_t index = 0; index < this->shape.nodes; ++index)
        {
            this->nodes.push_back(std::make_unique<node>());
            this->nodes.back()->name = "n" + std::to_string(index);
            this->restart(index);
        }
        this->on_change();
        this->seen_links = this->links();
        this->change_times.clear();
        this->update_views();
    }

    void run(duration length)
    {
        for (const time_point end = this->now + length; this->now < end;
             this->now += step)
        {
            this->update_views();
            this->exchange();
            this->arrive();
            this->serve_waiting();
        }
    }

    void restart(std::size_t index)
    {
        node& restarted = *this->nodes[index];
        restarted.quota = std::make_unique<organisation_quota>(
            this->settings,
            [this](const std::string& name) -> std::optional<organisation_limit>
            {
                const auto found = this->limits.find(name);
                return found == this->limits.end()
                           ? std::nullopt
                           : std::optional(found->second);
            });
        restarted.contacts = std::make_unique<quota_contacts>(restarted.name);
        restarted.sent = std::make_unique<sent_history>(this->settings);
        restarted.coordinated.clear();
        restarted.waiting.clear();
        restarted.used_groups.clear();
        restarted.view_version = 0;
        restarted.next_status = this->now;
    }

    void restart_all()
    {
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
        {
            this->restart(index);
        }
    }

    void set_alive(std::size_t index, bool alive)
    {
        this->nodes[index]->alive = alive;
        if (alive)
        {
            this->restart(index);
        }
        this->on_change();
    }

    void set_frozen(std::size_t index, bool frozen)
    {
        this->nodes[index]->frozen = frozen;
        this->on_change();
    }

    /// Nodes reach each other only within a component.
    void set_component(std::size_t index, std::size_t component)
    {
        this->nodes[index]->component = component;
        this->on_change();
    }

    void set_limit(const std::string& name, organisation_limit limit)
    {
        this->limits[name] = limit;
    }

    /// Returns the index of the node that coordinates a group for a node.
    std::size_t coordinator_of(std::size_t index, std::size_t group)
    {
        for (const std::size_t candidate : this->nodes[index]->orders.at(group))
        {
            if (this->reaches(index, candidate))
            {
                return candidate;
            }
        }
        return index;
    }

    /// Returns the largest number of requests of an organisation that ran in
    /// any window between two times.
    std::int64_t max_in_window(
        const std::string& name,
        time_point from = start,
        time_point until = time_point::max())
    {
        std::vector<time_point> times;
        for (const time_point time : this->ran[name])
        {
            if (time >= from && time < until)
            {
                times.push_back(time);
            }
        }
        std::sort(times.begin(), times.end());
        std::int64_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last)
        {
            while (times[last] - times[first] >= this->settings.window)
            {
                ++first;
            }
            most = std::max(most, static_cast<std::int64_t>(last - first + 1));
        }
        return most;
    }

    double bound_of(const std::string& name) const
    {
        const organisation_limit& limit = this->limits.at(name);
        return (limit.rate_per_s * 5 + limit.burst) *
                   (1 + this->settings.overshoot) +
               this->settings.tolerance;
    }

    organisation_quota_settings settings;
    std::map<std::string, std::vector<time_point>> ran;
    std::map<std::string, std::int64_t> refused;
    /// Requests that were refused although they were within the limit.
    std::map<std::string, std::int64_t> refused_with_token;
    time_point now = start;
    /// Longest time until a request was charged or refused.
    duration max_undecided = duration::zero();

private:
    struct waiting_request
    {
        std::size_t sender = 0;
        std::size_t group = 0;
        std::string organisation;
        time_point arrived;
        std::optional<time_point> charged_at;
        time_point runs_at;
    };
    struct node
    {
        std::string name;
        bool alive = true;
        bool frozen = false;
        std::size_t component = 0;
        std::unique_ptr<organisation_quota> quota;
        std::unique_ptr<quota_contacts> contacts;
        std::unique_ptr<sent_history> sent;
        std::set<std::size_t> coordinated;
        std::set<std::size_t> used_groups;
        std::deque<waiting_request> waiting;
        std::vector<std::vector<std::size_t>> orders;
        std::uint64_t view_version = 0;
        time_point next_status;
        time_point next_report;
    };

    /// Component of each node; nodes that are gone have one of their own.
    std::vector<std::size_t> links() const
    {
        std::vector<std::size_t> found;
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
        {
            const node& known = *this->nodes[index];
            found.push_back(
                known.alive && !known.frozen ? known.component
                                             : 1'000'000 + index);
        }
        return found;
    }

    void on_change()
    {
        this->change_times.push_back(this->now + detection_time);
    }

    bool is_active(std::size_t index) const
    {
        return this->nodes[index]->alive && !this->nodes[index]->frozen;
    }

    bool reaches(std::size_t from, std::size_t to) const
    {
        return from == to ||
               (this->is_active(to) &&
                this->nodes[from]->component == this->nodes[to]->component);
    }

    void update_views()
    {
        while (!this->change_times.empty() &&
               this->change_times.front() <= this->now)
        {
            this->change_times.pop_front();
            this->seen_links = this->links();
            ++this->view_version;
        }
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
        {
            node& known = *this->nodes[index];
            if (!this->is_active(index) ||
                known.view_version == this->view_version)
            {
                continue;
            }
            known.view_version = this->view_version;
            std::vector<std::size_t> live;
            std::vector<std::string> names;
            for (std::size_t other = 0; other < this->nodes.size(); ++other)
            {
                if (other == index ||
                    this->seen_links[other] == this->seen_links[index])
                {
                    live.push_back(other);
                    names.push_back(this->nodes[other]->name);
                }
            }
            known.contacts->set_nodes(this->now, names, {});
            known.orders.clear();
            std::vector<std::vector<std::string>> orders;
            for (std::size_t group = 0; group < this->shape.groups; ++group)
            {
                std::sort(
                    live.begin(),
                    live.end(),
                    [this, group](std::size_t left, std::size_t right)
                    {
                        return hash_bytes(this->nodes[left]->name, group) <
                               hash_bytes(this->nodes[right]->name, group);
                    });
                known.orders.push_back(live);
                orders.emplace_back();
                for (const std::size_t other : live)
                {
                    orders.back().push_back(this->nodes[other]->name);
                }
            }
            std::vector<const std::vector<std::string>*> pointers;
            for (const std::vector<std::string>& order : orders)
            {
                pointers.push_back(&order);
            }
            known.contacts->set_participants(
                choose_quota_participants(pointers),
                count_preferred_coordinators(pointers));
        }
    }

    std::size_t index_of(const std::string& name) const
    {
        return std::stoul(name.substr(1));
    }

    void
    send_status(std::size_t from, std::size_t to, const quota_status& status)
    {
        if (!this->reaches(from, to) || this->draw() % 50 == 0)
        {
            return;
        }
        node& receiver = *this->nodes[to];
        receiver.quota->on_status(this->now, this->nodes[from]->name, status);
        if (receiver.contacts->on_heard(this->now, this->nodes[from]->name))
        {
            this->send_status(
                to, from, receiver.quota->make_status(this->now, true));
        }
    }

    void send_statuses(std::size_t index)
    {
        node& sender = *this->nodes[index];
        const quota_status status = sender.quota->make_status(this->now);
        for (const std::string& name : sender.contacts->receivers(this->now))
        {
            this->send_status(index, this->index_of(name), status);
        }
    }

    void exchange()
    {
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
        {
            if (!this->is_active(index))
            {
                continue;
            }
            node& known = *this->nodes[index];
            const bool coordinates =
                !known.coordinated.empty() || known.contacts->is_participant();
            if (this->now >= known.next_status && coordinates)
            {
                known.next_status =
                    this->now + status_interval + (this->draw() % 20) * 1ms;
                known.quota->on_tick(this->now);
                this->send_statuses(index);
            }
            if (coordinates)
            {
                known.quota->set_contact(
                    this->now, known.contacts->find_contact(this->now));
            }
            if (this->now >= known.next_report)
            {
                known.next_report = this->now + report_interval;
                this->report(index);
            }
        }
    }

    void report(std::size_t index)
    {
        node& sender = *this->nodes[index];
        for (const std::size_t group : sender.used_groups)
        {
            const std::size_t receiver = this->coordinator_of(index, group);
            if (this->draw() % 50 != 0)
            {
                this->add_coordinator(receiver, group);
                this->nodes[receiver]->quota->on_report(
                    this->now,
                    sender.name + "/" + std::to_string(group),
                    sender.sent->make_report(
                        this->now,
                        std::to_string(group),
                        this->nodes[receiver]->name));
            }
        }
    }

    void add_coordinator(std::size_t index, std::size_t group)
    {
        node& known = *this->nodes[index];
        if (known.coordinated.insert(group).second)
        {
            known.quota->on_takeover(this->now);
            known.contacts->on_takeover(this->now);
            this->send_statuses(index);
            known.quota->set_contact(
                this->now, known.contacts->find_contact(this->now));
        }
    }

    void arrive()
    {
        for (const auto& [name, load] : this->shape.loads)
        {
            std::poisson_distribution<int> count(
                load * std::chrono::duration<double>(step).count());
            for (int number = count(this->draw); number > 0; --number)
            {
                const std::size_t index =
                    this->draw() % this->shape.entry_nodes;
                if (!this->is_active(index))
                {
                    continue;
                }
                const std::size_t group = this->draw() % this->shape.groups;
                const std::size_t receiver = this->coordinator_of(index, group);
                this->nodes[index]->used_groups.insert(group);
                this->add_coordinator(receiver, group);
                this->nodes[receiver]->waiting.push_back(
                    {index, group, name, this->now, std::nullopt, {}});
            }
        }
    }

    void serve_waiting()
    {
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
        {
            if (!this->is_active(index))
            {
                continue;
            }
            node& known = *this->nodes[index];
            std::deque<waiting_request> remaining;
            for (waiting_request& request : known.waiting)
            {
                if (!this->serve(known, request))
                {
                    remaining.push_back(request);
                }
            }
            known.waiting = std::move(remaining);
        }
    }

    /// Returns the tokens of a central bucket with exactly the limit, charged
    /// for each request that was admitted.
    double& tokens_of(const std::string& name)
    {
        const organisation_limit& limit = this->limits.at(name);
        const auto [entry, added] =
            this->buckets.try_emplace(name, limit.burst, this->now);
        auto& [level, updated] = entry->second;
        level = std::min(
            std::max(1.0, limit.burst),
            level +
                limit.rate_per_s *
                    std::chrono::duration<double>(this->now - updated).count());
        updated = this->now;
        return level;
    }

    /// Returns whether a request is decided.
    bool serve(node& known, waiting_request& request)
    {
        organisation_quota& quota = *known.quota;
        if (!request.charged_at)
        {
            const quota_decision_kind kind =
                quota.charge(this->now, request.organisation).kind;
            if (kind == quota_decision_kind::undecided)
            {
                return false;
            }
            this->max_undecided =
                std::max(this->max_undecided, this->now - request.arrived);
            if (kind == quota_decision_kind::refused)
            {
                ++this->refused[request.organisation];
                this->refused_with_token[request.organisation] +=
                    this->tokens_of(request.organisation) >= 1.0 ? 1 : 0;
                return true;
            }
            this->tokens_of(request.organisation) -= 1.0;
            request.charged_at = this->now;
            // One request in ten waits for a slot.
            request.runs_at =
                this->now +
                std::chrono::milliseconds(
                    this->draw() % 10 == 0 ? this->draw() % 600 : 0);
        }
        if (this->now < request.runs_at)
        {
            return false;
        }
        if (!this->reaches(request.sender, this->index_of(known.name)) ||
            !this->is_active(request.sender) || this->draw() % 50 == 0)
        {
            quota.refund(this->now, request.organisation, *request.charged_at);
            return true;
        }
        quota.on_run(this->now, request.organisation, *request.charged_at);
        this->ran[request.organisation].push_back(this->now);
        this->nodes[request.sender]->sent->on_sent(
            this->now,
            std::to_string(request.group),
            request.organisation,
            known.name);
        return true;
    }

    fleet_shape shape;
    std::mt19937_64 draw;
    limit_table limits;
    std::map<std::string, std::pair<double, time_point>> buckets;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::size_t> seen_links;
    std::deque<time_point> change_times;
    std::uint64_t view_version = 1;
};

/// The organisations of a typical fleet: `a` sends 7.5 times its usual load,
/// the others send as usual, and the limit is 1.6 times the usual load.
fleet_shape typical_shape(std::size_t nodes, std::size_t groups)
{
    fleet_shape shape;
    shape.nodes = nodes;
    shape.entry_nodes = nodes;
    shape.groups = groups;
    shape.limits["a"] = {4.0, 4.0, 0};
    shape.limits["big"] = {40.0, 40.0, 0};
    shape.limits["b"] = {3.0, 3.0, 0};
    shape.limits["c"] = {0.2, 0.2, 0};
    shape.loads["a"] = 4.0 / 1.6 * 7.5;
    shape.loads["big"] = 40.0 / 1.6 * 7.5;
    shape.loads["b"] = 3.0 / 1.6;
    shape.loads["c"] = 0.2 / 1.6;
    return shape;
}

void expect_within_bounds(quota_fleet& fleet, const fleet_shape& shape)
{
    for (const auto& [name, limit] : shape.limits)
    {
        const std::int64_t most = fleet.max_in_window(name);
        EXPECT_LE(static_cast<double>(most), fleet.bound_of(name)) << name;
    }
}

} // namespace

TEST(
    organisation_quota,
    an_organisation_far_above_its_quota_is_bounded_and_others_are_not_refused)
{
    for (const std::size_t groups : {1, 4, 20})
    {
        for (std::uint64_t seed = 1; seed <= 4; ++seed)
        {
            const fleet_shape shape = typical_shape(59, groups);
            quota_fleet fleet(shape, seed);
            fleet.run(30s);
            SCOPED_TRACE(
                "groups " + std::to_string(groups) + " seed " +
                std::to_string(seed));
            expect_within_bounds(fleet, shape);
            EXPECT_EQ(fleet.refused_with_token["b"], 0);
            EXPECT_EQ(fleet.refused_with_token["c"], 0);
            for (const std::string name : {"a", "big"})
            {
                // What one coordinator does not need reaches the others.
                EXPECT_GE(
                    static_cast<double>(fleet.ran[name].size()),
                    shape.limits.at(name).rate_per_s * 30 * 0.9)
                    << name;
            }
        }
    }
}

TEST(
    organisation_quota,
    all_nodes_that_restart_at_once_without_history_stay_within_the_bound)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        const std::size_t groups = seed % 2 == 0 ? 1 : 12;
        const fleet_shape shape = typical_shape(59, groups);
        quota_fleet fleet(shape, seed);
        fleet.run(8s);
        fleet.restart_all();
        fleet.run(12s);
        SCOPED_TRACE("seed " + std::to_string(seed));
        expect_within_bounds(fleet, shape);
        EXPECT_EQ(fleet.refused_with_token["b"], 0);
    }
}

TEST(
    organisation_quota,
    coordinators_that_die_in_turn_leave_their_charges_to_their_successors)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        const std::size_t groups = seed % 2 == 0 ? 1 : 12;
        const fleet_shape shape = typical_shape(30, groups);
        quota_fleet fleet(shape, seed);
        fleet.run(6s);
        for (int death = 0; death < 5; ++death)
        {
            const std::size_t observer = 29;
            fleet.set_alive(fleet.coordinator_of(observer, 0), false);
            fleet.run(1700ms);
        }
        fleet.run(5s);
        SCOPED_TRACE("seed " + std::to_string(seed));
        expect_within_bounds(fleet, shape);
        EXPECT_EQ(fleet.refused_with_token["b"], 0);
    }
}

TEST(
    organisation_quota,
    nodes_that_die_join_freeze_or_are_cut_off_at_random_stay_within_the_bound)
{
    for (std::uint64_t seed = 1; seed <= 24; ++seed)
    {
        std::mt19937_64 draw(seed);
        const std::size_t sizes[] = {11, 24, 59, 120};
        const std::size_t nodes = sizes[seed % 4];
        fleet_shape shape =
            typical_shape(nodes, seed % 3 == 0 ? 1 : 1 + draw() % 16);
        shape.entry_nodes = seed % 2 == 0 ? nodes : 1 + draw() % nodes;
        quota_fleet fleet(shape, seed);
        fleet.run(6s);
        const std::size_t affected = 1 + draw() % (nodes / 3);
        for (int event = 0; event < 8; ++event)
        {
            const std::size_t index = draw() % affected;
            switch (draw() % 6)
            {
            case 0:
                fleet.set_alive(index, false);
                break;
            case 1:
                fleet.set_alive(index, true);
                break;
            case 2:
                fleet.set_frozen(index, true);
                break;
            case 3:
                fleet.set_frozen(index, false);
                break;
            case 4:
                fleet.set_component(index, 1 + draw() % 2);
                break;
            default:
                fleet.set_component(index, 0);
                break;
            }
            fleet.run((draw() % 3000) * 1ms);
        }
        SCOPED_TRACE("seed " + std::to_string(seed));
        expect_within_bounds(fleet, shape);
    }
}

TEST(organisation_quota, nodes_that_are_cut_off_one_by_one_spend_a_reserve)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        const fleet_shape shape = typical_shape(59, seed % 2 == 0 ? 1 : 6);
        quota_fleet fleet(shape, seed);
        fleet.run(6s);
        for (std::size_t index = 0; index < 20; ++index)
        {
            fleet.set_component(index, index + 1);
        }
        fleet.run(20s);
        for (std::size_t index = 0; index < 20; ++index)
        {
            fleet.set_component(index, 0);
        }
        fleet.run(10s);
        SCOPED_TRACE("seed " + std::to_string(seed));
        expect_within_bounds(fleet, shape);
    }
}

TEST(
    organisation_quota,
    a_lower_limit_is_binding_one_window_after_the_configuration_changed)
{
    const fleet_shape shape = typical_shape(59, 6);
    quota_fleet fleet(shape, 7);
    fleet.run(8s);
    fleet.set_limit("big", {10.0, 10.0, 0});
    const time_point changed = fleet.now;
    fleet.run(12s);
    EXPECT_LE(
        static_cast<double>(fleet.max_in_window("big", changed)),
        fleet.bound_of("big"));
    // It is served at the new rate after the requests of the old one.
    EXPECT_GE(fleet.max_in_window("big", changed + 6s), 45);
}

TEST(organisation_quota, a_large_fleet_with_many_groups_stays_within_the_bound)
{
    fleet_shape shape = typical_shape(340, 40);
    shape.limits["c"] = {0.05, 0.05, 0};
    shape.loads["c"] = 0.05 / 1.6 * 7.5;
    quota_fleet fleet(shape, 3);
    fleet.run(15s);
    expect_within_bounds(fleet, shape);
    EXPECT_EQ(fleet.refused_with_token["b"], 0);
}

TEST(
    organisation_quota,
    retry_after_is_when_the_bucket_has_a_token_for_the_caller)
{
    organisation_quota quota(
        {},
        [](const std::string&)
        {
            return organisation_limit{2.0, 2.0, 0};
        });
    time_point now = start;
    std::int64_t charged = 0;
    quota_decision first = quota.charge(now, "a");
    while (first.kind == quota_decision_kind::charged)
    {
        ++charged;
        first = quota.charge(now, "a");
    }
    EXPECT_EQ(charged, 2 + 5);
    EXPECT_EQ(first.kind, quota_decision_kind::refused);
    const quota_decision second = quota.charge(now, "a");
    EXPECT_EQ(second.retry_after - first.retry_after, 500ms);
    // Callers that return at the time that they were given are admitted.
    EXPECT_EQ(
        quota.charge(now + first.retry_after + 50ms, "a").kind,
        quota_decision_kind::charged);
    EXPECT_EQ(
        quota.charge(now + second.retry_after + 50ms, "a").kind,
        quota_decision_kind::charged);
}

TEST(organisation_quota, a_request_that_does_not_run_gets_its_charge_back)
{
    organisation_quota quota(
        {},
        [](const std::string&)
        {
            return organisation_limit{1.0, 1.0, 0};
        });
    time_point now = start;
    for (int number = 0; number < 100; ++number, now += 10ms)
    {
        ASSERT_EQ(quota.charge(now, "a").kind, quota_decision_kind::charged);
        quota.refund(now + 5ms, "a", now);
    }
    EXPECT_EQ(quota.count_in_window(now, "a"), 0);
    EXPECT_EQ(quota.counters().at("a").refunded, 100);
}

TEST(organisation_quota, a_request_counts_in_the_window_in_which_it_runs)
{
    organisation_quota quota(
        {},
        [](const std::string&)
        {
            return organisation_limit{1.0, 1.0, 0};
        });
    ASSERT_EQ(quota.charge(start, "a").kind, quota_decision_kind::charged);
    quota.on_run(start + 3s, "a", start);
    EXPECT_EQ(quota.count_in_window(start + 7s, "a"), 1);
    EXPECT_EQ(quota.count_in_window(start + 9s, "a"), 0);
}

TEST(
    organisation_quota, memory_is_bounded_by_the_organisations_that_sent_lately)
{
    organisation_quota quota(
        {},
        [](const std::string& name) -> std::optional<organisation_limit>
        {
            return name.starts_with("o")
                       ? std::optional(organisation_limit{1.0, 1.0, 0})
                       : std::nullopt;
        });
    for (int number = 0; number < 23000; ++number)
    {
        quota.charge(start, "o" + std::to_string(number));
        quota.charge(start, "x" + std::to_string(number));
    }
    EXPECT_EQ(quota.tracked_organisations(), 23000U);
    EXPECT_LE(quota.counters().size(), 65U);
    EXPECT_LE(quota.make_status(start).organisations.size(), 400U);
    quota.on_tick(start + 6s);
    EXPECT_EQ(quota.tracked_organisations(), 0U);
}

} // namespace chicory::serving
