// Replays popular first parts of prompts on runners that leave, are replaced,
// flap or crash at the same moment, while coordinators change. Guards against
// sound requests that are refused as quarantined because their parts occurred
// in such ends by chance, and against parts that really crash runners and cost
// more than the guarantee.

#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t runner_count = 64;
constexpr std::size_t runner_slots_each = 8;
constexpr std::size_t node_count = 12;
constexpr std::uint64_t deadly_part = 7777;
constexpr std::uint64_t first_part_base = 1000;
constexpr duration step = 5ms;
constexpr duration away_time = 3s;

/// How runners end in one second of the load.
enum class loss_kind
{
    crash,
    leave,
    flap,
};

struct load_parameters
{
    std::uint64_t seed = 1;
    int requests_a_second = 200;
    std::uint64_t variants = 4;
    std::size_t lost_in_a_second = 1;
    loss_kind kind = loss_kind::crash;
    /// One request in this number has a part that crashes its runner; zero for
    /// none.
    int deadly_one_in = 0;
};

struct load_result
{
    std::size_t sound = 0;
    std::size_t sound_refused = 0;
    std::size_t quarantines = 0;
    std::size_t crashes_by_part = 0;
    /// Sound requests with the first part of the deadly ones that were refused
    /// from eight seconds after the last crash on.
    std::size_t refused_late = 0;
};

/// A fleet of runners and nodes with one coordinator, which is replaced by one
/// without memory one second after each herd of ends.
class crash_load
{
public:
    explicit crash_load(const load_parameters& initial)
        : load(initial), generator(initial.seed)
    {
        this->away_until.resize(runner_count);
    }

    load_result run()
    {
        constexpr auto length = 26s;
        for (; this->now < this->start + length; this->now += step)
        {
            this->end_runners();
            this->advance_runs();
            this->arrive();
            this->begin_waiting();
            if ((this->now - this->start) % 250ms == duration::zero())
            {
                this->report_crashes();
            }
            this->replace_coordinator();
            this->guard.on_tick(this->now);
            for (const quarantine_change& change :
                 this->guard.take_changes(this->now))
            {
                this->apply(change);
            }
        }
        return this->result;
    }

private:
    struct request_state
    {
        request_traits traits;
        std::uint64_t digest = 0;
        part_digests parts;
        bool deadly = false;
        time_point arrived;
    };
    struct run_state
    {
        request_state request;
        std::size_t runner = 0;
        std::size_t node = 0;
        time_point begun;
        time_point first_event;
        time_point ends;
        bool has_event = false;
        bool report_first_event = false;
    };
    struct recorded_crash
    {
        crashed_run run;
        time_point at;
    };

    std::size_t draw(std::size_t end)
    {
        return std::uniform_int_distribution<std::size_t>(0, end - 1)(
            this->generator);
    }

    duration draw_ms(std::size_t from, std::size_t end)
    {
        return std::chrono::milliseconds(from + this->draw(end - from));
    }

    /// Runners end within one second, from seconds 5, 10 and 15 on.
    void end_runners()
    {
        const duration passed = this->now - this->start;
        const duration in_herd = passed % 5s;
        if (passed < 5s || passed >= 16s || in_herd >= 1s)
        {
            return;
        }
        this->losses_due += static_cast<double>(this->load.lost_in_a_second) *
                            static_cast<double>(step.count()) / 1e6;
        while (this->losses_due >= 1.0 - 1e-9)
        {
            this->losses_due -= 1.0;
            this->end_runner(
                this->draw(runner_count), this->load.kind, std::nullopt);
        }
    }

    void
    end_runner(std::size_t runner, loss_kind kind, std::optional<slot_id> only)
    {
        if (kind != loss_kind::flap)
        {
            this->away_until[runner] = this->now + away_time;
        }
        bool reset = false;
        for (auto found = this->runs.begin(); found != this->runs.end();)
        {
            const run_state& run = found->second;
            const bool is_cut = run.runner == runner && !(only && reset);
            if (!is_cut)
            {
                ++found;
                continue;
            }
            // A runner that flaps resets the connections of one request.
            reset = kind == loss_kind::flap;
            if (reset)
            {
                only = found->first;
            }
            this->end_run(found->first, run, kind);
            found = this->runs.erase(found);
        }
    }

    void end_run(const slot_id& id, const run_state& run, loss_kind kind)
    {
        this->free_slots[run.runner] -= 1;
        bool counts = !run.has_event;
        closed_run closed;
        closed.has_event = run.has_event;
        closed.was_ready = kind != loss_kind::leave;
        closed.probe = kind == loss_kind::flap ? runner_probe::accepted
                                               : runner_probe::failed;
        counts = is_crash_evidence(closed);
        if (!counts)
        {
            this->guard.on_end(id);
            return;
        }
        crashed_run crash = {
            run.request.digest, id, run.request.parts, name(run.runner)};
        crash.lasted = this->now - run.begun;
        this->node_crashes[run.node].push_back({crash, this->now});
        this->guard.on_crash(this->now, crash);
    }

    static std::string name(std::size_t runner)
    {
        return "runner-" + std::to_string(runner);
    }

    /// Nodes repeat the crashes that they saw: up to 16, without an age by the
    /// former rule.
    void report_crashes()
    {
        for (auto& [node, crashes] : this->node_crashes)
        {
            while (crashes.size() > 16)
            {
                crashes.pop_front();
            }
            for (recorded_crash recorded : crashes)
            {
                recorded.run.age = this->now - recorded.at;
                this->guard.on_crash(this->now, recorded.run);
            }
        }
    }

    void replace_coordinator()
    {
        const duration passed = this->now - this->start;
        if (passed == 7s || passed == 12s || passed == 17s)
        {
            this->guard = crash_guard();
            for (const auto& [trait, quarantine] : this->stored)
            {
                trait_quarantine left = quarantine.first;
                left.time_left =
                    std::max(duration::zero(), quarantine.second - this->now);
                this->guard.on_quarantine(this->now, left);
            }
            this->report_crashes();
        }
    }

    void apply(const quarantine_change& change)
    {
        this->stored.erase(change.trait);
        if (change.quarantine)
        {
            ++this->result.quarantines;
            this->stored[change.trait] = {
                *change.quarantine, this->now + change.quarantine->time_left};
        }
    }

    void advance_runs()
    {
        std::vector<std::size_t> crashed;
        for (auto found = this->runs.begin(); found != this->runs.end();)
        {
            run_state& run = found->second;
            if (!run.has_event && this->now >= run.first_event)
            {
                if (run.request.deadly)
                {
                    crashed.push_back(run.runner);
                    ++found;
                    continue;
                }
                run.has_event = true;
                if (run.report_first_event)
                {
                    this->guard.on_good_run(this->now, found->first);
                }
            }
            if (this->now < run.ends)
            {
                ++found;
                continue;
            }
            this->guard.on_good_traits(this->now, run.request.traits);
            this->guard.on_end(found->first);
            this->free_slots[run.runner] -= 1;
            found = this->runs.erase(found);
        }
        for (const std::size_t runner : crashed)
        {
            if (this->away_until[runner] <= this->now)
            {
                ++this->result.crashes_by_part;
                this->last_crash = this->now;
                this->end_runner(runner, loss_kind::crash, std::nullopt);
            }
        }
    }

    void arrive()
    {
        this->arrivals_due += this->load.requests_a_second *
                              static_cast<double>(step.count()) / 1e6;
        for (; this->arrivals_due >= 1.0; this->arrivals_due -= 1.0)
        {
            request_state added;
            added.digest = ++this->number + 1'000'000;
            added.deadly =
                this->load.deadly_one_in > 0 && this->now > this->start + 4s &&
                this->draw(
                    static_cast<std::size_t>(this->load.deadly_one_in)) == 0;
            added.parts = {
                first_part_base +
                    (added.deadly ? 0 : this->draw(this->load.variants)),
                added.digest + 1'000'000'000};
            if (added.deadly)
            {
                added.parts.push_back(deadly_part);
            }
            added.traits = make_traits(added.digest, added.parts);
            added.arrived = this->now;
            this->waiting.push_back(std::move(added));
        }
    }

    void begin_waiting()
    {
        std::deque<request_state> still;
        for (request_state& request : this->waiting)
        {
            const bool refused =
                this->guard.quarantine_left(this->now, request.traits)
                    .has_value();
            if (refused)
            {
                this->count(request, true);
                continue;
            }
            std::vector<std::size_t> usable;
            for (std::size_t runner = 0; runner < runner_count; ++runner)
            {
                if (this->away_until[runner] <= this->now &&
                    this->free_slots[runner] < runner_slots_each)
                {
                    usable.push_back(runner);
                }
            }
            if (usable.empty() ||
                !this->guard.may_begin(this->now, request.traits))
            {
                still.push_back(std::move(request));
                continue;
            }
            this->count(request, false);
            run_state run;
            run.runner = usable[this->draw(usable.size())];
            run.node = this->draw(node_count);
            run.begun = this->now;
            run.first_event = this->now + this->draw_ms(20, 90);
            run.ends = run.first_event + this->draw_ms(200, 600);
            run.report_first_event =
                this->guard.needs_first_event(this->now, request.traits);
            const slot_id id = {"n" + std::to_string(run.node), 1, ++number};
            this->guard.on_begin(this->now, id, request.traits);
            this->free_slots[run.runner] += 1;
            run.request = std::move(request);
            this->runs[id] = std::move(run);
        }
        this->waiting = std::move(still);
    }

    void count(const request_state& request, bool refused)
    {
        if (request.deadly)
        {
            return;
        }
        ++this->result.sound;
        this->result.sound_refused += refused ? 1 : 0;
        this->result.refused_late +=
            refused && this->load.deadly_one_in > 0 &&
                    request.parts.front() == first_part_base &&
                    this->now > this->last_crash + 8s
                ? 1
                : 0;
    }

    load_parameters load;
    std::mt19937_64 generator;
    crash_guard guard;
    time_point start = time_point() + 1h;
    time_point now = start;
    time_point last_crash = start;
    std::vector<time_point> away_until;
    std::map<std::size_t, std::size_t> free_slots;
    std::map<slot_id, run_state> runs;
    std::deque<request_state> waiting;
    std::map<std::size_t, std::deque<recorded_crash>> node_crashes;
    std::map<std::uint64_t, std::pair<trait_quarantine, time_point>> stored;
    double arrivals_due = 0.0;
    double losses_due = 0.0;
    std::uint64_t number = 0;
    load_result result;
};

constexpr std::uint64_t seeds = 20;

load_result add(load_result sum, const load_result& next)
{
    sum.sound += next.sound;
    sum.sound_refused += next.sound_refused;
    sum.quarantines += next.quarantines;
    sum.crashes_by_part = std::max(sum.crashes_by_part, next.crashes_by_part);
    sum.refused_late += next.refused_late;
    return sum;
}

load_result run_seeds(load_parameters parameters, const char* kind)
{
    load_result sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        parameters.seed = seed;
        sum = add(sum, crash_load(parameters).run());
    }
    std::printf(
        "| %s | %d | %d | %zu | %zu | %zu | %zu | %zu |\n",
        kind,
        static_cast<int>(parameters.variants),
        parameters.requests_a_second,
        parameters.lost_in_a_second,
        sum.sound,
        sum.sound_refused,
        sum.quarantines,
        sum.crashes_by_part);
    return sum;
}

const std::vector<std::uint64_t> variant_counts = {1, 4, 20, 80};
const std::vector<std::size_t> loss_counts = {1, 8, 30};

/// One sound request in this number may be refused while runners crash.
constexpr std::size_t refused_limit_divisor = 2000;

TEST(crash_load_test, herds_of_crashes_refuse_few_sound_requests)
{
    for (const std::uint64_t variants : variant_counts)
    {
        for (const std::size_t lost : loss_counts)
        {
            for (const int rate : {50, 280})
            {
                const load_result result =
                    run_seeds({1, rate, variants, lost}, "crash");
                EXPECT_LE(
                    result.sound_refused * refused_limit_divisor, result.sound);
            }
        }
    }
}

TEST(crash_load_test, runners_that_leave_or_flap_refuse_no_sound_request)
{
    for (const loss_kind kind : {loss_kind::leave, loss_kind::flap})
    {
        for (const std::uint64_t variants : variant_counts)
        {
            const load_result result = run_seeds(
                {1, 200, variants, 30, kind},
                kind == loss_kind::leave ? "leave" : "flap");
            EXPECT_EQ(result.sound_refused, 0U);
            EXPECT_EQ(result.quarantines, 0U);
        }
    }
}

TEST(crash_load_test, a_deadly_part_crashes_five_runners_at_most)
{
    for (const std::size_t lost : {std::size_t(0), std::size_t(8)})
    {
        for (const std::uint64_t variants : variant_counts)
        {
            const load_result result = run_seeds(
                {1, 200, variants, lost, loss_kind::crash, 20}, "deadly");
            EXPECT_LE(result.crashes_by_part, 5U);
            EXPECT_EQ(result.refused_late, 0U);
        }
    }
}

} // namespace

} // namespace chicory::serving
