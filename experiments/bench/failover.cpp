#include "experiments/bench/experiment.hpp"

#include <chrono>
#include <csignal>
#include <thread>

namespace chicory::bench
{

namespace
{

constexpr std::chrono::seconds load_length(30);
constexpr std::chrono::seconds kill_interval(5);
constexpr std::int64_t items = 400;

/// Kills and replaces runners and entry VMs alternately while a load runs.
void kill_alternately(process::fleet& target, experiment_report& report)
{
    for (std::size_t round = 0; round < 4; ++round)
    {
        std::this_thread::sleep_for(kill_interval);
        if (round % 2 == 0)
        {
            process::runner_vm& killed =
                target.runner(round % target.runner_count());
            killed.server->signal(SIGKILL);
            killed.server->wait();
            std::this_thread::sleep_for(std::chrono::seconds(1));
            target.restart(killed);
            report.add_line("killed and replaced runner " + killed.id);
            continue;
        }
        process::entry_vm& killed = target.entry(round % target.entry_count());
        target.kill(killed);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        target.restart(killed);
        report.add_line("killed and replaced entry VM " + killed.id);
    }
}

double count(const load::load_report& report, load::request_outcome outcome)
{
    return static_cast<double>(load::count_outcomes(report, "")[outcome]);
}

} // namespace

/// Measures online errors and missing or duplicate batch items while entry VMs
/// and runners are killed and replaced. Callers resend refused or broken
/// requests.
void run_failover(experiment_report& report)
{
    fleet_plan sizes;
    sizes.entry_vms = 3;
    const auto target = start_fleet("failover", sizes);
    if (target == nullptr)
    {
        report.add_line("the fleet did not start serving requests");
        return;
    }
    load::load_plan plan = make_plan(*target, 1);
    plan.length = load_length;
    plan.batch_patience = std::chrono::seconds(90);
    load::online_source online = make_online(20.0, 10);
    online.resends = 3;
    plan.online.push_back(online);
    plan.batches.push_back(make_batch(items, 20));
    std::thread killer(
        [&target, &report]()
        {
            kill_alternately(*target, report);
        });
    const load::load_report load_result = run_load_or_exit(plan);
    killer.join();
    report.add_line(load::format_table(load_result));
    const load::batch_result& batch = load_result.batches.front();
    report.add_figure(
        "online_requests", static_cast<double>(load_result.samples.size()));
    report.add_figure(
        "online_answered", count(load_result, load::request_outcome::answered));
    report.add_figure(
        "online_late", count(load_result, load::request_outcome::late));
    report.add_figure(
        "online_refused",
        count(load_result, load::request_outcome::refused_not_run));
    report.add_figure(
        "online_failed", count(load_result, load::request_outcome::failed));
    report.add_figure(
        "online_broken", count(load_result, load::request_outcome::broken));
    report.add_figure(
        "online_wrong", count(load_result, load::request_outcome::wrong_bytes));
    report.add_figure("batch_items", static_cast<double>(batch.items));
    report.add_figure("batch_completed", static_cast<double>(batch.completed));
    report.add_figure("batch_failed", static_cast<double>(batch.failed));
    report.add_figure("batch_lost", static_cast<double>(batch.missing));
    report.add_figure("batch_doubled", static_cast<double>(batch.duplicates));
    report.add_figure("batch_wrong", static_cast<double>(batch.wrong_bytes));
}

} // namespace chicory::bench
