#include "experiments/bench/experiment.hpp"

#include <chrono>

namespace chicory::bench
{

namespace
{

constexpr std::chrono::seconds arm_length(15);

} // namespace

/// Measures the runs and refusals on runners per online request while a third
/// of the runners refuses all requests.
void run_retry(experiment_report& report)
{
    fleet_plan sizes;
    sizes.runners = 6;
    const auto target = start_fleet("retry", sizes);
    if (target == nullptr)
    {
        report.add_line("the fleet did not start serving requests");
        return;
    }
    for (std::size_t index = 0; index < sizes.runners / 3; ++index)
    {
        process::post(
            target->runner(index).http, "/control", R"({"refuse":true})");
    }
    load::load_plan plan = make_plan(*target, 1);
    plan.length = arm_length;
    plan.online.push_back(make_online(60.0, 8));
    const std::size_t runs_before = target->read_runs().size();
    const load::load_report load_result = run_load_or_exit(plan);
    report.add_line(load::format_table(load_result));
    const std::size_t attempts = target->read_runs().size() - runs_before;
    const auto requests = static_cast<double>(load_result.samples.size());
    auto outcomes = load::count_outcomes(load_result, "");
    report.add_figure(
        "amplification", static_cast<double>(attempts) / requests);
    report.add_figure(
        "answered_share",
        static_cast<double>(outcomes[load::request_outcome::answered]) /
            requests);
    report.add_figure(
        "refused_not_run",
        static_cast<double>(outcomes[load::request_outcome::refused_not_run]));
    report.add_figure("requests", requests);
}

} // namespace chicory::bench
