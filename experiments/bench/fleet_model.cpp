#include "experiments/bench/fleet_model.hpp"

#include "experiments/load/arrivals.hpp"

#include <utility>

namespace chicory::bench
{

namespace
{

constexpr duration first_byte_work = std::chrono::milliseconds(200);
constexpr duration token_work = std::chrono::milliseconds(25);
constexpr std::int64_t min_online_tokens = 10;
constexpr std::int64_t max_online_tokens = 70;
constexpr std::int64_t min_batch_tokens = 60;
constexpr std::int64_t max_batch_tokens = 140;
constexpr duration cancel_time = std::chrono::milliseconds(20);
/// Time at the start of the load in which nothing is measured.
constexpr duration warm_up = std::chrono::seconds(5);
/// Maximum latencies of a response that counts as in time; 95 in 100 requests
/// are to meet them.
constexpr duration max_first_byte_time = std::chrono::milliseconds(870);
constexpr duration max_token_gap = std::chrono::milliseconds(29);
constexpr duration burst_length = std::chrono::seconds(1);
constexpr duration burst_period = std::chrono::seconds(5);

/// Returns the mean work of an online run in seconds at full speed.
double mean_online_work()
{
    const double tokens =
        static_cast<double>(min_online_tokens + max_online_tokens) / 2.0;
    const std::chrono::duration<double> first(first_byte_work);
    const std::chrono::duration<double> token(token_work);
    return first.count() + tokens * token.count();
}

} // namespace

fleet_model::fleet_model(const model_size& initial_size)
    : generator(initial_size.seed + 1), size(initial_size),
      runners(initial_size.runners, runner_state(initial_size.slots))
{
}

time_point fleet_model::now() const
{
    return this->clock;
}

void fleet_model::after(duration delay, std::function<void()> step)
{
    this->steps.emplace(this->clock + delay, std::move(step));
}

void fleet_model::every(
    duration first, duration period, std::function<void()> step)
{
    this->after(
        first,
        [this, period, step]()
        {
            step();
            this->every(period, period, step);
        });
}

void fleet_model::schedule_requests()
{
    load::arrival_settings settings;
    settings.pattern = load::arrival_pattern::bursts;
    settings.rate_per_s =
        this->size.online_share * static_cast<double>(this->size.runners) *
        static_cast<double>(this->size.slots) / mean_online_work();
    settings.burst_factor = this->size.burst_factor;
    settings.burst_length = burst_length;
    settings.burst_period = burst_period;
    load::arrivals times(settings, this->size.seed);
    std::mt19937_64 draws(this->size.seed);
    std::uniform_int_distribution<std::int64_t> tokens(
        min_online_tokens, max_online_tokens);
    std::uniform_int_distribution<std::size_t> gates(0, this->size.gates - 1);
    for (duration when = times.next(); when < this->size.length;
         when = times.next())
    {
        model_run request;
        request.id = ++this->last_run;
        request.gate = gates(draws);
        request.arrived = this->clock + when;
        request.first_byte_work = first_byte_work;
        request.total_work = first_byte_work + token_work * tokens(draws);
        this->after(
            when,
            [this, request]()
            {
                this->on_request(request);
            });
    }
}

model_run fleet_model::make_batch(std::size_t gate, std::size_t runner)
{
    std::uniform_int_distribution<std::int64_t> tokens(
        min_batch_tokens, max_batch_tokens);
    model_run batch_run;
    batch_run.id = ++this->last_run;
    batch_run.online = false;
    batch_run.gate = gate;
    batch_run.runner = runner;
    batch_run.arrived = this->clock;
    batch_run.first_byte_work = first_byte_work;
    batch_run.total_work =
        first_byte_work + token_work * tokens(this->generator);
    return batch_run;
}

void fleet_model::count_refusal()
{
    if (this->is_measured(this->clock))
    {
        ++this->figures.online;
        ++this->figures.refused;
    }
}

std::int64_t fleet_model::in_progress(std::size_t runner) const
{
    return this->runners[runner].server.size();
}

void fleet_model::start(const model_run& run)
{
    runner_state& target = this->runners[run.runner];
    target.server.start(
        run.id, run.first_byte_work, run.total_work, this->clock);
    target.batch += run.online ? 0 : 1;
    this->runs[run.id] = run;
    const bool overfull = target.server.size() > this->size.slots;
    if (run.online && this->is_measured(run.arrived))
    {
        ++this->figures.online;
        this->figures.overfull += overfull ? 1 : 0;
        if (overfull && target.batch > 0 && !target.overfull_since)
        {
            target.overfull_since = this->clock;
        }
    }
    this->schedule_milestone_check(run.runner);
}

void fleet_model::cancel(std::int64_t id)
{
    const auto found = this->runs.find(id);
    if (found == this->runs.end() || found->second.cancelling)
    {
        return;
    }
    found->second.cancelling = true;
    this->after(
        cancel_time,
        [this, id]()
        {
            this->end_run(id, true);
        });
}

void fleet_model::schedule_milestone_check(std::size_t runner)
{
    runner_state& state = this->runners[runner];
    const std::uint64_t check_number = ++state.check_number;
    const std::optional<time_point> next = state.server.next_milestone_time();
    if (!next)
    {
        return;
    }
    this->steps.emplace(
        *next,
        [this, runner, check_number]()
        {
            if (this->runners[runner].check_number == check_number)
            {
                this->process_milestones(runner);
            }
        });
}

void fleet_model::process_milestones(std::size_t runner)
{
    while (const std::optional<server_event> due =
               this->runners[runner].server.pop_due_milestone(this->clock))
    {
        if (due->ended)
        {
            this->end_run(due->run, false);
            continue;
        }
        this->record_first_byte(due->run);
    }
    this->schedule_milestone_check(runner);
}

void fleet_model::record_first_byte(std::int64_t id)
{
    model_run& run = this->runs.at(id);
    run.first_byte_time = this->clock;
    if (run.online && this->is_measured(run.arrived))
    {
        this->figures.first_bytes.push_back(this->clock - run.arrived);
    }
    this->on_first_byte(run);
}

void fleet_model::record_response(const model_run& run)
{
    if (!run.online || !this->is_measured(run.arrived))
    {
        return;
    }
    const std::int64_t tokens =
        (run.total_work - run.first_byte_work) / token_work;
    const duration gap = (this->clock - run.first_byte_time) / tokens;
    this->figures.token_gaps.push_back(gap);
    const bool in_time =
        run.first_byte_time - run.arrived <= max_first_byte_time &&
        gap <= max_token_gap;
    this->figures.in_time += in_time ? 1 : 0;
}

void fleet_model::end_run(std::int64_t id, bool cancelled)
{
    const auto found = this->runs.find(id);
    if (found == this->runs.end())
    {
        return;
    }
    const model_run ended = found->second;
    this->runs.erase(found);
    runner_state& state = this->runners[ended.runner];
    state.server.remove(id, this->clock);
    state.batch -= ended.online ? 0 : 1;
    this->record_response(ended);
    const bool done = !ended.online && !cancelled;
    this->figures.batch_completed +=
        done && this->is_measured(this->clock) ? 1 : 0;
    this->check_overfull(ended.runner);
    this->schedule_milestone_check(ended.runner);
    this->on_end(ended, cancelled);
}

void fleet_model::check_overfull(std::size_t runner)
{
    runner_state& state = this->runners[runner];
    const bool over = state.server.size() > this->size.slots && state.batch > 0;
    if (!state.overfull_since || over)
    {
        return;
    }
    this->figures.overfull_times.push_back(this->clock - *state.overfull_since);
    state.overfull_since.reset();
}

bool fleet_model::is_measured(time_point when) const
{
    return when - time_point() >= warm_up;
}

model_figures fleet_model::run()
{
    this->schedule_requests();
    const time_point end = this->clock + this->size.length;
    while (!this->steps.empty() && this->steps.begin()->first < end)
    {
        const auto first = this->steps.begin();
        this->clock = first->first;
        const std::function<void()> step = std::move(first->second);
        this->steps.erase(first);
        step();
    }
    // A runner that is still overfull is counted with the time until the end.
    for (const runner_state& state : this->runners)
    {
        if (state.overfull_since)
        {
            this->figures.overfull_times.push_back(end - *state.overfull_since);
        }
    }
    return this->figures;
}

} // namespace chicory::bench
