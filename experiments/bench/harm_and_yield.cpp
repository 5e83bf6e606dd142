#include "experiments/bench/experiment.hpp"

#include <algorithm>
#include <chrono>

namespace chicory::bench
{

namespace
{

constexpr double rate_per_s = 25.0;
constexpr std::int64_t online_tokens = 10;
constexpr std::int64_t batch_tokens = 60;
constexpr std::int64_t batch_items = 3000;
constexpr std::chrono::seconds arm_length(30);

fleet_plan make_fleet_plan()
{
    fleet_plan plan;
    plan.options.slots = 4;
    plan.options.first_token_ms = 20;
    plan.options.token_ms = 10;
    return plan;
}

/// Returns an online load with bursts on top of steady requests.
load::online_source make_steady_bursts()
{
    load::online_source online = make_online(rate_per_s, online_tokens);
    online.arrivals.pattern = load::arrival_pattern::bursts;
    online.arrivals.burst_factor = 4.0;
    return online;
}

/// Returns an online load with bursts of the same rate and almost no requests
/// between them.
load::online_source make_bursts_with_gaps()
{
    constexpr double rate_in_gaps_per_s = 0.1;
    load::online_source online = make_online(rate_in_gaps_per_s, online_tokens);
    online.arrivals.pattern = load::arrival_pattern::bursts;
    online.arrivals.burst_factor = 4.0 * rate_per_s / rate_in_gaps_per_s;
    online.arrivals.burst_length = std::chrono::seconds(1);
    online.arrivals.burst_period = std::chrono::seconds(3);
    return online;
}

load::load_plan make_arm(
    process::fleet& target, const load::online_source& online, bool with_batch)
{
    load::load_plan plan = make_plan(target, 1);
    plan.length = arm_length;
    plan.batch_patience = std::chrono::seconds(0);
    plan.online.push_back(online);
    if (with_batch)
    {
        plan.batches.push_back(make_batch(batch_items, batch_tokens));
    }
    return plan;
}

/// Time for which runs were in progress within a window, in slot seconds,
/// summed over all runners.
struct slot_use
{
    double online_s = 0.0;
    double batch_s = 0.0;
    /// Part of `batch_s` that belongs to completed runs.
    double batch_completed_s = 0.0;
};

slot_use measure_slot_use(
    const process::fleet& target, std::int64_t from_ms, std::int64_t to_ms)
{
    slot_use use;
    for (const process::logged_run& run : target.read_runs())
    {
        const std::int64_t end = run.ended_ms == 0 ? to_ms : run.ended_ms;
        const std::int64_t first = std::max(from_ms, run.started_ms);
        const std::int64_t last = std::min(to_ms, end);
        if (last <= first)
        {
            continue;
        }
        const double seconds = static_cast<double>(last - first) / 1000.0;
        const bool is_batch = run.custom_id.starts_with("batch");
        double& class_seconds = is_batch ? use.batch_s : use.online_s;
        class_seconds += seconds;
        if (is_batch && run.outcome == "completed")
        {
            use.batch_completed_s += seconds;
        }
    }
    return use;
}

std::int64_t count_answered(const load::load_report& report)
{
    return load::count_outcomes(report, "")[load::request_outcome::answered];
}

} // namespace

/// Runs an online load without and with a batch job on the same fleet and adds
/// the figures of both.
void compare_arms(
    const load::online_source& online,
    const std::string& prefix,
    experiment_report& report)
{
    const fleet_plan sizes = make_fleet_plan();
    const std::unique_ptr<process::fleet> target =
        start_fleet(prefix + "harm", sizes);
    if (target == nullptr)
    {
        report.add_line("the fleet did not start serving requests");
        return;
    }
    const load::load_report alone =
        run_load_or_exit(make_arm(*target, online, false));
    report.add_line(prefix + "without batch:\n" + load::format_table(alone));
    const std::int64_t from = read_wall_clock_ms();
    const load::load_report shared =
        run_load_or_exit(make_arm(*target, online, true));
    const std::int64_t to =
        from + std::chrono::milliseconds(arm_length).count();
    report.add_line(prefix + "with batch:\n" + load::format_table(shared));
    const slot_use use = measure_slot_use(*target, from, to);
    const double slots = static_cast<double>(sizes.runners) *
                         static_cast<double>(sizes.options.slots) *
                         static_cast<double>(to - from) / 1000.0;
    const double idle = slots - use.online_s;
    const load::latency_summary alone_latency =
        load::summarize_latency(alone, "");
    const load::latency_summary shared_latency =
        load::summarize_latency(shared, "");
    report.add_figure(
        prefix + "p99_ratio", shared_latency.p99_ms / alone_latency.p99_ms);
    report.add_figure(prefix + "p99_alone_ms", alone_latency.p99_ms);
    report.add_figure(prefix + "p99_with_batch_ms", shared_latency.p99_ms);
    report.add_figure(
        prefix + "first_byte_p99_ratio",
        load::summarize_first_byte(shared, "").p99_ms /
            load::summarize_first_byte(alone, "").p99_ms);
    report.add_figure(prefix + "idle_used", use.batch_s / idle);
    report.add_figure(
        prefix + "idle_used_by_completed", use.batch_completed_s / idle);
    report.add_figure(
        prefix + "answered_alone", static_cast<double>(count_answered(alone)));
    report.add_figure(
        prefix + "answered_with_batch",
        static_cast<double>(count_answered(shared)));
    report.add_figure(
        prefix + "requests_alone", static_cast<double>(alone.samples.size()));
    report.add_figure(
        prefix + "requests_with_batch",
        static_cast<double>(shared.samples.size()));
}

/// Measures online latency with and without a batch job on the same fleet, and
/// the fraction of the slot time left idle by online requests that batch runs
/// used: for bursts on top of steady requests, and for bursts with idle gaps
/// between them.
void run_harm(experiment_report& report)
{
    compare_arms(make_steady_bursts(), "", report);
    compare_arms(make_bursts_with_gaps(), "gaps_", report);
}

/// Measures the time to the first byte of online requests in a sudden burst
/// while batch items occupy every slot, and from it the time until a slot is
/// preempted.
void run_yield(experiment_report& report)
{
    const fleet_plan sizes = make_fleet_plan();
    const auto target = start_fleet("yield", sizes);
    if (target == nullptr)
    {
        report.add_line("the fleet did not start serving requests");
        return;
    }
    load::load_plan plan = make_plan(*target, 1);
    plan.length = arm_length;
    plan.batch_patience = std::chrono::seconds(0);
    plan.batches.push_back(make_batch(batch_items, 20 * batch_tokens));
    load::online_source burst = make_online(0.5, online_tokens);
    burst.arrivals.pattern = load::arrival_pattern::bursts;
    burst.arrivals.burst_factor = 100.0;
    burst.arrivals.burst_length = std::chrono::milliseconds(300);
    burst.arrivals.burst_period = std::chrono::seconds(4);
    plan.online.push_back(burst);
    const load::load_report load_result = run_load_or_exit(plan);
    report.add_line(load::format_table(load_result));
    std::vector<duration> cancels;
    std::int64_t cancelled = 0;
    for (const process::logged_run& value : target->read_runs())
    {
        cancelled += value.outcome == "cancelled" ? 1 : 0;
    }
    const load::latency_summary first =
        load::summarize_first_byte(load_result, "");
    const auto direct_first_byte_ms =
        static_cast<double>(sizes.options.first_token_ms);
    report.add_figure("first_byte_p50_ms", first.p50_ms);
    report.add_figure("first_byte_p99_ms", first.p99_ms);
    report.add_figure(
        "p99_ms_until_slot",
        std::max(0.0, first.p99_ms - direct_first_byte_ms));
    report.add_figure("batch_runs_cancelled", static_cast<double>(cancelled));
    report.add_figure(
        "online_requests", static_cast<double>(load_result.samples.size()));
    report.add_figure(
        "online_answered", static_cast<double>(count_answered(load_result)));
}

} // namespace chicory::bench
