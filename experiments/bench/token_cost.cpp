#include "experiments/bench/experiment.hpp"

#include <algorithm>
#include <chrono>

namespace chicory::bench
{

namespace
{

constexpr double rate_per_s = 40.0;
constexpr std::int64_t few_tokens = 10;
constexpr std::int64_t many_tokens = 110;
constexpr std::chrono::seconds arm_length(10);
constexpr double us_per_ms = 1000.0;

struct token_arm
{
    double processor_ms = 0.0;
    double answered = 0.0;
};

token_arm
measure_arm(process::fleet& target, std::uint64_t seed, std::int64_t tokens)
{
    const auto read_processor_ms = [&target]()
    {
        std::int64_t total = 0;
        for (std::size_t index = 0; index < target.entry_count(); ++index)
        {
            total += target.entry(index)
                         .daemons[process::daemon::gate]
                         ->processor_ms();
        }
        return total;
    };
    load::load_plan plan = make_plan(target, seed);
    plan.length = arm_length;
    plan.online.push_back(make_online(rate_per_s, tokens));
    const std::int64_t before_ms = read_processor_ms();
    const load::load_report load_result = run_load_or_exit(plan);
    token_arm arm;
    arm.processor_ms = static_cast<double>(read_processor_ms() - before_ms);
    arm.answered = static_cast<double>(
        load::count_outcomes(load_result, "")[load::request_outcome::answered]);
    return arm;
}

} // namespace

/// Measures the processor time of all gates per token of a stream, from
/// responses of two lengths. Three of the four gates are not the owner of a
/// given runner, so that three in four responses pass through two gates.
void run_token_cost(experiment_report& report)
{
    fleet_plan sizes;
    sizes.entry_vms = 4;
    sizes.options.slots = 64;
    sizes.options.first_token_ms = 0;
    sizes.options.token_ms = 4;
    const auto target = start_fleet("token-cost", sizes);
    if (target == nullptr)
    {
        report.add_line("the fleet did not start serving requests");
        return;
    }
    const token_arm few = measure_arm(*target, 1, few_tokens);
    const token_arm many = measure_arm(*target, 2, many_tokens);
    const double few_ms = few.processor_ms / std::max(1.0, few.answered);
    const double many_ms = many.processor_ms / std::max(1.0, many.answered);
    constexpr double extra_tokens =
        static_cast<double>(many_tokens - few_tokens);
    report.add_line(
        "10 tokens: " + std::to_string(few_ms) + " ms of a core a request; " +
        "110 tokens: " + std::to_string(many_ms) + " ms");
    report.add_figure(
        "us_per_token", (many_ms - few_ms) * us_per_ms / extra_tokens);
    report.add_figure("ms_per_request_10", few_ms);
    report.add_figure("ms_per_request_110", many_ms);
    report.add_figure("answered_10", few.answered);
    report.add_figure("answered_110", many.answered);
}

} // namespace chicory::bench
