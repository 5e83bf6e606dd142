#ifndef CHICORY_EXPERIMENTS_BENCH_FLEET_MODEL_HPP
#define CHICORY_EXPERIMENTS_BENCH_FLEET_MODEL_HPP

#include "experiments/bench/shared_server.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace chicory::bench
{

/// Size of a fleet on a simulated clock, and its load.
struct model_size
{
    std::size_t gates = 13;
    std::size_t runners = 14;
    std::int64_t slots = 16;
    /// Fraction of all slots that online requests use between bursts.
    double online_share = 0.45;
    double burst_factor = 2.0;
    bool with_batch = true;
    duration length = std::chrono::seconds(25);
    std::uint64_t seed = 1;
};

/// A run in a modelled fleet.
struct model_run
{
    std::int64_t id = 0;
    bool online = true;
    std::size_t gate = 0;
    std::size_t runner = 0;
    /// Time at which the gate received the request.
    time_point arrived;
    /// Work until the first byte, as its duration at full speed.
    duration first_byte_work{0};
    /// Work until the end, as its duration at full speed.
    duration total_work{0};
    /// Time of the first byte.
    time_point first_byte_time;
    bool cancelling = false;
};

/// Measurements of a modelled load.
struct model_figures
{
    std::vector<duration> first_bytes;
    /// Mean time between tokens of each online response.
    std::vector<duration> token_gaps;
    /// Times from the start of an online run on an overfull runner that has
    /// batch runs until the runner is no longer overfull or has no batch runs.
    std::vector<duration> overfull_times;
    /// Online requests that started a run or were refused.
    std::int64_t online = 0;
    /// Online runs that started on a runner with more runs than slots.
    std::int64_t overfull = 0;
    std::int64_t refused = 0;
    /// Online responses within both latency limits: first byte and token gap.
    std::int64_t in_time = 0;
    std::int64_t batch_completed = 0;
};

/// Models gates and runners on a simulated clock. Generates the load, simulates
/// the runners and collects the measurements. Callbacks choose the runner of
/// each run.
class fleet_model
{
public:
    explicit fleet_model(const model_size& initial_size);

    /// Called with each online request that a gate receives.
    std::function<void(model_run)> on_request;
    std::function<void(const model_run&)> on_first_byte;
    /// Called when a run has been removed from its runner; `cancelled` is false
    /// when the run was completed.
    std::function<void(const model_run&, bool cancelled)> on_end;

    time_point now() const;

    /// Schedules a call of `step` after a delay.
    void after(duration delay, std::function<void()> step);

    /// Schedules periodic calls of `step`, the first of them after `first`.
    void every(duration first, duration period, std::function<void()> step);

    /// Starts a run on its runner.
    void start(const model_run& run);

    /// Cancels a run. It is removed from its runner 20 ms later.
    void cancel(std::int64_t id);

    /// Returns a new batch run for a gate and a runner, with random work.
    model_run make_batch(std::size_t gate, std::size_t runner);

    /// Counts a refused online request.
    void count_refusal();

    /// Returns the number of runs in progress on a runner.
    std::int64_t in_progress(std::size_t runner) const;

    /// Simulates the whole load and returns its measurements.
    model_figures run();

    std::mt19937_64 generator;

private:
    struct runner_state
    {
        explicit runner_state(std::int64_t slots) : server(slots)
        {
        }

        shared_server server;
        std::int64_t batch = 0;
        /// Number of the latest scheduled milestone check; earlier checks are
        /// outdated and ignored.
        std::uint64_t check_number = 0;
        /// Time at which an online run started on this overfull runner beside
        /// batch runs; empty once the runner has recovered.
        std::optional<time_point> overfull_since;
    };

    void schedule_requests();
    void schedule_milestone_check(std::size_t runner);
    void process_milestones(std::size_t runner);
    void end_run(std::int64_t id, bool cancelled);
    void record_first_byte(std::int64_t id);
    void record_response(const model_run& run);
    void check_overfull(std::size_t runner);
    bool is_measured(time_point when) const;

    model_size size;
    time_point clock;
    std::multimap<time_point, std::function<void()>> steps;
    std::vector<runner_state> runners;
    std::map<std::int64_t, model_run> runs;
    std::int64_t last_run = 0;
    model_figures figures;
};

} // namespace chicory::bench

#endif
