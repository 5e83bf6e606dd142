#include "experiments/bench/ownership_arms.hpp"

#include "policy/online/online.hpp"

#include <set>
#include <string>

namespace chicory::bench
{

namespace
{

constexpr std::int64_t harm_weight = 80;
constexpr std::size_t max_attempts = 4;
constexpr duration deadline = std::chrono::seconds(10);
/// Interval at which an owner fills the idle batch slots of a runner.
constexpr duration pull_interval = std::chrono::milliseconds(50);
/// Round-trip time of a probe.
constexpr duration probe_round_trip = std::chrono::milliseconds(1);
const std::string region = "at-ost";
const std::string zone = "krems";

std::string format_runner_id(std::size_t runner)
{
    return std::to_string(runner);
}

online::queued_run to_queued(const model_run& run, online::work_class kind)
{
    online::queued_run queued;
    queued.id = std::to_string(run.id);
    queued.kind = kind;
    queued.member = "kremstal";
    queued.deadline = kind == online::work_class::online
                          ? run.arrived + deadline
                          : run.arrived + std::chrono::hours(1);
    return queued;
}

/// Simulates gates that own runners; see `run_owned`.
class owned_arm
{
public:
    owned_arm(const model_size& size, duration initial_hop_delay)
        : model(size), hop_delay(initial_hop_delay),
          queues(size.runners, online::runner_queue(size.slots, harm_weight))
    {
        for (std::size_t gate = 0; gate < size.gates; ++gate)
        {
            this->choosers.emplace_back(region, zone, size.seed + gate);
        }
        for (std::size_t runner = 0; runner < size.runners; ++runner)
        {
            this->candidates.push_back(
                {format_runner_id(runner), region, zone});
            this->schedule_pull(runner, size.with_batch);
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
            this->choose(request, {});
        };
        this->model.on_first_byte = [this](const model_run& run)
        {
            this->queues[run.runner].first_byte(
                std::to_string(run.id), this->model.now());
        };
        this->model.on_end = [this](const model_run& run, bool cancelled)
        {
            const online::run_result end = cancelled
                                               ? online::run_result::cancelled
                                               : online::run_result::completed;
            this->apply(
                run.runner,
                this->queues[run.runner].finished(
                    std::to_string(run.id), end, this->model.now()));
        };
    }

    /// Schedules the queue ticks and batch pulls of a runner, with a random
    /// phase per runner.
    void schedule_pull(std::size_t runner, bool with_batch)
    {
        std::uniform_int_distribution<duration::rep> phase(
            1, pull_interval.count());
        this->model.every(
            duration(phase(this->model.generator)),
            pull_interval,
            [this, runner, with_batch]()
            {
                this->apply(
                    runner, this->queues[runner].tick(this->model.now()));
                if (with_batch)
                {
                    this->pull_batch(runner);
                }
            });
    }

    void pull_batch(std::size_t runner)
    {
        const std::int64_t idle =
            this->queues[runner].summary(this->model.now()).idle_batch_slots;
        for (std::int64_t slot = 0; slot < idle; ++slot)
        {
            const model_run item = this->model.make_batch(0, runner);
            this->waiting[item.id] = {item, {}};
            this->apply(
                runner,
                this->queues[runner].arrive(
                    to_queued(item, online::work_class::batch),
                    this->model.now()));
        }
    }

    /// Probes the owners and chooses a runner when the responses have arrived.
    void choose(const model_run& request, const std::set<std::string>& avoid)
    {
        online::runner_requirements requirements;
        requirements.avoid = avoid;
        const std::vector<std::string> due =
            this->choosers[request.gate].probes_due(
                requirements, this->candidates, this->model.now());
        this->model.after(
            probe_round_trip,
            [this, request, requirements, due]()
            {
                this->apply_probes(request.gate, due);
                this->send_to_owner(request, requirements);
            });
    }

    void apply_probes(std::size_t gate, const std::vector<std::string>& due)
    {
        const time_point now = this->model.now();
        for (const std::string& runner : due)
        {
            this->choosers[gate].probed(
                runner, this->queues[std::stoul(runner)].summary(now), now);
        }
    }

    void send_to_owner(
        model_run request, const online::runner_requirements& requirements)
    {
        const std::string chosen = this->choosers[request.gate].choose(
            requirements, this->candidates, this->model.now());
        request.runner = std::stoul(chosen);
        this->model.after(
            this->hop_delay,
            [this, request, requirements]()
            {
                this->waiting[request.id] = {request, requirements.avoid};
                this->apply(
                    request.runner,
                    this->queues[request.runner].arrive(
                        to_queued(request, online::work_class::online),
                        this->model.now()));
            });
    }

    void apply(std::size_t runner, const online::queue_actions& actions)
    {
        for (const online::queue_action& action : actions)
        {
            if (const auto* sent = std::get_if<online::send_run>(&action))
            {
                this->send(std::stoll(sent->id));
            }
            if (const auto* dropped = std::get_if<online::cancel_run>(&action))
            {
                this->model.cancel(std::stoll(dropped->id));
            }
            if (const auto* refused = std::get_if<online::refuse_run>(&action))
            {
                this->handle_refusal(runner, std::stoll(refused->id));
            }
        }
    }

    void send(std::int64_t id)
    {
        const model_run run = this->waiting.at(id).run;
        this->waiting.erase(id);
        this->model.start(run);
    }

    /// Sends a refused online request to another runner, as a gate does with a
    /// request that was not run. Refused batch runs are dropped.
    void handle_refusal(std::size_t runner, std::int64_t id)
    {
        pending_run refused_run = this->waiting.at(id);
        this->waiting.erase(id);
        if (!refused_run.run.online)
        {
            return;
        }
        refused_run.avoid.insert(format_runner_id(runner));
        if (refused_run.avoid.size() >= max_attempts)
        {
            this->model.count_refusal();
            return;
        }
        this->choose(refused_run.run, refused_run.avoid);
    }

    /// A run that its owner has not sent to the runner yet, and the runners
    /// that refused it.
    struct pending_run
    {
        model_run run;
        std::set<std::string> avoid;
    };

    fleet_model model;
    duration hop_delay;
    std::vector<online::runner_queue> queues;
    std::vector<online::runner_chooser> choosers;
    std::vector<online::placed_vm> candidates;
    std::map<std::int64_t, pending_run> waiting;
};

} // namespace

model_figures run_owned(const model_size& size, duration hop_delay)
{
    return owned_arm(size, hop_delay).run();
}

} // namespace chicory::bench
