#include "experiments/bench/experiment.hpp"

#include "tests/standins/generated_response.hpp"

#include <chrono>

namespace chicory::bench
{

namespace
{

constexpr std::chrono::seconds arm_length(10);
constexpr double low_rate_per_s = 50.0;
constexpr double high_rate_per_s = 1500.0;

std::int64_t count_processor_ms(process::fleet& target)
{
    std::int64_t total = 0;
    for (std::size_t index = 0; index < target.entry_count(); ++index)
    {
        total +=
            target.entry(index).daemons[process::daemon::gate]->processor_ms();
    }
    return total;
}

/// Returns the latencies of the same requests sent directly to one runner.
load::latency_summary measure_runner(process::fleet& target)
{
    std::vector<duration> samples;
    for (int number = 0; number < 300; ++number)
    {
        const std::string body =
            R"({"max_tokens":1,"prompt":")" + std::to_string(number) + "\"}";
        const time_point start = read_monotonic_clock();
        process::post(target.runner(0).http, "/v1/completions", body);
        samples.push_back(read_monotonic_clock() - start);
    }
    return load::summarize(samples);
}

} // namespace

/// Measures the latency that the path through gate and owner adds to the
/// latency of a runner, and the requests per second that the gates handle per
/// core.
void run_overhead(experiment_report& report)
{
    fleet_plan sizes;
    sizes.options.slots = 64;
    sizes.options.first_token_ms = 0;
    sizes.options.token_ms = 0;
    const auto target = start_fleet("overhead", sizes);
    if (target == nullptr)
    {
        report.add_line("the fleet did not start serving requests");
        return;
    }
    const load::latency_summary direct = measure_runner(*target);
    load::load_plan low_load = make_plan(*target, 1);
    low_load.length = arm_length;
    load::online_source source = make_online(low_rate_per_s, 1);
    source.streaming = false;
    low_load.online.push_back(source);
    const load::latency_summary through_gate =
        load::summarize_latency(run_load_or_exit(low_load), "");
    load::load_plan high_load = low_load;
    high_load.seed = 2;
    high_load.online.front().arrivals.rate_per_s = high_rate_per_s;
    const std::int64_t processor_before_ms = count_processor_ms(*target);
    const load::load_report high_load_report = run_load_or_exit(high_load);
    const std::int64_t processor_ms =
        count_processor_ms(*target) - processor_before_ms;
    report.add_line(load::format_table(high_load_report));
    const auto answered = static_cast<double>(load::count_outcomes(
        high_load_report, "")[load::request_outcome::answered]);
    report.add_figure("bare_p50_ms", direct.p50_ms);
    report.add_figure("bare_p99_ms", direct.p99_ms);
    report.add_figure("added_p50_ms", through_gate.p50_ms - direct.p50_ms);
    report.add_figure("added_p99_ms", through_gate.p99_ms - direct.p99_ms);
    report.add_figure(
        "requests_per_s_per_core",
        answered * 1000.0 /
            static_cast<double>(std::max<std::int64_t>(1, processor_ms)));
    report.add_figure(
        "answered_share",
        answered / static_cast<double>(high_load_report.samples.size()));
}

} // namespace chicory::bench
