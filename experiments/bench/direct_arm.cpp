#include "experiments/bench/ownership_arms.hpp"

#include <algorithm>

namespace chicory::bench
{

namespace
{

constexpr duration report_interval = std::chrono::seconds(1);
/// Fraction of the slots of a runner up to which batch runs are started.
constexpr double batch_share = 0.8;

/// A change of the number of runs that a gate has on a runner: +1 for a start,
/// -1 for an end.
struct run_count_change
{
    time_point when;
    std::int64_t step = 0;
};

/// State that a gate has about a runner from its own runs.
struct gate_view
{
    std::vector<run_count_change> changes;
    /// IDs of the batch runs of this gate, oldest first.
    std::vector<std::int64_t> batch;
};

/// Load report of a runner.
struct load_snapshot
{
    time_point taken_at;
    std::int64_t in_progress = 0;
};

/// Simulates gates that send directly to runners; see `run_direct`.
class direct_arm
{
public:
    direct_arm(const model_size& initial_size, duration initial_report_lag)
        : model(initial_size), size(initial_size),
          report_lag(initial_report_lag), reports(initial_size.runners),
          gate_views(
              initial_size.gates, std::vector<gate_view>(initial_size.runners)),
          batch_slots(static_cast<std::int64_t>(
              batch_share * static_cast<double>(initial_size.slots)))
    {
        for (std::size_t runner = 0; runner < initial_size.runners; ++runner)
        {
            this->schedule_reports(runner);
        }
        this->set_hooks();
    }

    model_figures run()
    {
        return this->model.run();
    }

private:
    void set_hooks()
    {
        this->model.on_request = [this](const model_run& request)
        {
            this->send_online(request);
        };
        this->model.on_first_byte = [](const model_run&) {};
        this->model.on_end = [this](const model_run& run, bool cancelled)
        {
            this->handle_end(run, cancelled);
        };
    }

    void schedule_reports(std::size_t runner)
    {
        std::uniform_int_distribution<duration::rep> phase(
            1, report_interval.count());
        this->model.every(
            duration(phase(this->model.generator)),
            report_interval,
            [this, runner]()
            {
                const load_snapshot report{
                    this->model.now(), this->model.in_progress(runner)};
                this->model.after(
                    this->report_lag,
                    [this, runner, report]()
                    {
                        this->apply_report(runner, report);
                    });
            });
    }

    /// Returns the estimate of a gate for the number of runs in progress on a
    /// runner.
    std::int64_t count_runs(std::size_t gate, std::size_t runner)
    {
        const load_snapshot& report = this->reports[runner];
        std::vector<run_count_change>& changes =
            this->gate_views[gate][runner].changes;
        std::int64_t count = report.in_progress;
        std::erase_if(
            changes,
            [&report](const run_count_change& change)
            {
                return change.when <= report.taken_at;
            });
        for (const run_count_change& change : changes)
        {
            count += change.step;
        }
        return count;
    }

    void send(const model_run& run)
    {
        gate_view& view = this->gate_views[run.gate][run.runner];
        view.changes.push_back({this->model.now(), 1});
        if (!run.online)
        {
            view.batch.push_back(run.id);
        }
        this->model.start(run);
    }

    /// Returns the estimated number of runs in progress without the batch runs
    /// of this gate.
    std::int64_t count_other_runs(std::size_t gate, std::size_t runner)
    {
        const auto batch = static_cast<std::int64_t>(
            this->gate_views[gate][runner].batch.size());
        return this->count_runs(gate, runner) - batch;
    }

    void send_online(model_run request)
    {
        std::uniform_int_distribution<std::size_t> draw(
            0, this->size.runners - 1);
        const std::size_t first = draw(this->model.generator);
        const std::size_t second = draw(this->model.generator);
        const bool first_is_less_loaded =
            this->count_other_runs(request.gate, first) <=
            this->count_other_runs(request.gate, second);
        request.runner = first_is_less_loaded ? first : second;
        const std::int64_t count =
            this->count_runs(request.gate, request.runner);
        this->send(request);
        std::vector<std::int64_t>& batch =
            this->gate_views[request.gate][request.runner].batch;
        if (count >= this->size.slots && !batch.empty())
        {
            const std::int64_t youngest = batch.back();
            batch.pop_back();
            this->model.cancel(youngest);
        }
    }

    void start_batch(std::size_t gate, std::size_t runner)
    {
        if (this->count_runs(gate, runner) < this->batch_slots)
        {
            this->send(this->model.make_batch(gate, runner));
        }
    }

    void apply_report(std::size_t runner, const load_snapshot& report)
    {
        this->reports[runner] = report;
        if (!this->size.with_batch)
        {
            return;
        }
        std::uniform_int_distribution<std::size_t> draw(
            0, this->size.gates - 1);
        const std::int64_t idle = this->batch_slots - report.in_progress;
        for (std::int64_t slot = 0; slot < idle; ++slot)
        {
            this->start_batch(draw(this->model.generator), runner);
        }
    }

    void handle_end(const model_run& run, bool cancelled)
    {
        gate_view& view = this->gate_views[run.gate][run.runner];
        view.changes.push_back({this->model.now(), -1});
        if (run.online)
        {
            return;
        }
        std::erase(view.batch, run.id);
        if (!cancelled)
        {
            this->start_batch(run.gate, run.runner);
        }
    }

    fleet_model model;
    model_size size;
    duration report_lag;
    std::vector<load_snapshot> reports;
    std::vector<std::vector<gate_view>> gate_views;
    std::int64_t batch_slots;
};

} // namespace

model_figures run_direct(const model_size& size, duration report_lag)
{
    return direct_arm(size, report_lag).run();
}

} // namespace chicory::bench
