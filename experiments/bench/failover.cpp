#include "experiments/bench/experiment.hpp"

#include <chrono>
#include <csignal>
#include <thread>

namespace chicory::bench
{

namespace
{

constexpr std::chrono::seconds load_length(30);
constexpr std::chrono::seconds between_kills(5);
constexpr std::int64_t items = 400;

/// Kills and replaces entry VMs and runners in turn while a load runs.
void kill_in_turn(process::fleet& target, experiment_report& report)
{
    for (std::size_t turn = 0; turn < 4; ++turn)
    {
        std::this_thread::sleep_for(between_kills);
        if (turn % 2 == 0)
        {
            process::runner_vm& lost =
                target.runner(turn % target.runner_count());
            lost.server->signal(SIGKILL);
            lost.server->wait();
            std::this_thread::sleep_for(std::chrono::seconds(1));
            target.restart(lost);
            report.say("killed and replaced runner " + lost.id);
            continue;
        }
        process::entry_vm& lost = target.entry(turn % target.entry_count());
        target.kill(lost);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        target.restart(lost);
        report.say("killed and replaced entry VM " + lost.id);
    }
}

double count(const load::load_report& report, load::request_end end)
{
    return static_cast<double>(load::count_ends(report, "")[end]);
}

} // namespace

/// Online errors and lost or doubled batch items while entry VMs and runners
/// are killed and replaced. Callers send refused or broken requests again.
void run_failover(experiment_report& report)
{
    fleet_plan sizes;
    sizes.entry_vms = 3;
    const auto target = start_fleet("failover", sizes);
    if (target == nullptr)
    {
        report.say("the fleet does not serve");
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
            kill_in_turn(*target, report);
        });
    const load::load_report done = run(plan);
    killer.join();
    report.say(load::format_table(done));
    const load::batch_result& batch = done.batches.front();
    report.figure("online_requests", static_cast<double>(done.samples.size()));
    report.figure("online_answered", count(done, load::request_end::answered));
    report.figure("online_late", count(done, load::request_end::late));
    report.figure(
        "online_refused", count(done, load::request_end::refused_not_run));
    report.figure("online_failed", count(done, load::request_end::failed));
    report.figure("online_broken", count(done, load::request_end::broken));
    report.figure("online_wrong", count(done, load::request_end::wrong_bytes));
    report.figure("batch_items", static_cast<double>(batch.items));
    report.figure("batch_completed", static_cast<double>(batch.completed));
    report.figure("batch_failed", static_cast<double>(batch.failed));
    report.figure("batch_lost", static_cast<double>(batch.missing));
    report.figure("batch_doubled", static_cast<double>(batch.duplicates));
    report.figure("batch_wrong", static_cast<double>(batch.wrong_bytes));
}

} // namespace chicory::bench
