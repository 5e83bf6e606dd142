#ifndef CHICORY_EXPERIMENTS_BENCH_EXPERIMENT_HPP
#define CHICORY_EXPERIMENTS_BENCH_EXPERIMENT_HPP

#include "experiments/load/load_run.hpp"
#include "tests/process/fleet.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace chicory::bench
{

/// Collects the table lines of an experiment and the figures of its last line.
class experiment_report
{
public:
    /// Adds a line to the table and prints it to standard error.
    void add_line(const std::string& line);

    /// Adds a figure to the last line.
    void add_figure(const std::string& name, double value);

    /// Returns the table followed by a last line `NAME key=value ...`.
    std::string format(const std::string& name) const;

private:
    std::string lines;
    std::vector<std::pair<std::string, double>> figures;
};

/// Size and settings of a fleet for experiments.
struct fleet_plan
{
    std::size_t entry_vms = 2;
    std::size_t runners = 4;
    process::runner_options options;
    std::int64_t harm_weight = 80;
    /// Lines appended to the [gate] table in the settings of each entry VM.
    std::string gate_lines;
};

/// Starts a fleet with one pool and one route and waits until it serves
/// requests. Returns null when it does not start serving.
std::unique_ptr<process::fleet>
start_fleet(const std::string& name, const fleet_plan& plan);

/// Returns a load plan with the gates of a fleet and without sources.
load::load_plan make_plan(process::fleet& target, std::uint64_t seed);

/// Returns a source of online requests for the route of the fleet.
load::online_source make_online(double rate_per_s, std::int64_t tokens);

/// Returns a batch job for the route of the fleet.
load::batch_source make_batch(std::int64_t items, std::int64_t tokens);

/// Runs a load and returns its report. Prints the error and exits the program
/// with code 1 when no gate responds.
load::load_report run_load_or_exit(const load::load_plan& plan);

/// Returns the value of a counter from the metrics text of a process, or zero
/// when the text does not contain the counter.
double read_counter(const std::string& text, const std::string& name);

/// Returns all experiments by name.
const std::map<std::string, std::function<void(experiment_report&)>>&
experiments();

// The experiments. Each is documented at its definition.
void run_harm(experiment_report& report);
void run_yield(experiment_report& report);
void run_failover(experiment_report& report);
void run_overhead(experiment_report& report);
void run_spread(experiment_report& report);
void run_retry(experiment_report& report);
void run_control(experiment_report& report);
void run_claims(experiment_report& report);
void run_ownership(experiment_report& report);
void run_timeline(experiment_report& report);
void run_big_job(experiment_report& report);
void run_token_cost(experiment_report& report);

} // namespace chicory::bench

#endif
