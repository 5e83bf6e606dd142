#include "experiments/bench/experiment.hpp"

#include "tests/standins/generated_response.hpp"

#include <chrono>

namespace chicory::bench
{

namespace
{

constexpr std::chrono::seconds arm_length(10);
constexpr double quiet_rate = 50.0;
constexpr double busy_rate = 1500.0;

std::int64_t count_processor_ms(process::fleet& target)
{
    std::int64_t total = 0;
    for (std::size_t place = 0; place < target.entry_count(); ++place)
    {
        total +=
            target.entry(place).daemons[process::daemon::gate]->processor_ms();
    }
    return total;
}

/// Latencies of the same requests sent straight to one runner.
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

/// What the path through gate and owner adds to a runner's own latency, and
/// the requests that one core of gates carries.
void run_overhead(experiment_report& report)
{
    fleet_plan sizes;
    sizes.options.slots = 64;
    sizes.options.first_token_ms = 0;
    sizes.options.token_ms = 0;
    const auto target = start_fleet("overhead", sizes);
    if (target == nullptr)
    {
        report.say("the fleet does not serve");
        return;
    }
    const load::latency_summary bare = measure_runner(*target);
    load::load_plan quiet = make_plan(*target, 1);
    quiet.length = arm_length;
    load::online_source source = make_online(quiet_rate, 1);
    source.streaming = false;
    quiet.online.push_back(source);
    const load::latency_summary through =
        load::summarize_latency(run(quiet), "");
    load::load_plan busy = quiet;
    busy.seed = 2;
    busy.online.front().arrivals.rate_per_s = busy_rate;
    const std::int64_t before = count_processor_ms(*target);
    const load::load_report full = run(busy);
    const std::int64_t used = count_processor_ms(*target) - before;
    report.say(load::format_table(full));
    const auto answered = static_cast<double>(
        load::count_ends(full, "")[load::request_end::answered]);
    report.figure("bare_p50_ms", bare.p50_ms);
    report.figure("bare_p99_ms", bare.p99_ms);
    report.figure("added_p50_ms", through.p50_ms - bare.p50_ms);
    report.figure("added_p99_ms", through.p99_ms - bare.p99_ms);
    report.figure(
        "requests_per_s_per_core",
        answered * 1000.0 /
            static_cast<double>(std::max<std::int64_t>(1, used)));
    report.figure(
        "answered_share", answered / static_cast<double>(full.samples.size()));
}

} // namespace chicory::bench
