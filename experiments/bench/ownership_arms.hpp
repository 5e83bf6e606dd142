#ifndef CHICORY_EXPERIMENTS_BENCH_OWNERSHIP_ARMS_HPP
#define CHICORY_EXPERIMENTS_BENCH_OWNERSHIP_ARMS_HPP

#include "experiments/bench/fleet_model.hpp"

namespace chicory::bench
{

/// Simulates a load where each runner has one owner gate, with the queue and
/// chooser classes that gates use. A request reaches the owner after
/// `hop_delay`.
model_figures run_owned(const model_size& size, duration hop_delay);

/// Simulates a load where every gate sends directly to every runner. A gate
/// estimates the load of a runner from reports that arrive `report_lag` after
/// they were taken and from the runs that it has itself started or seen end
/// since. A request goes to the less loaded of two random runners. With each
/// report the idle batch slots are distributed among the gates. A gate cancels
/// one of its own batch runs when it sends an online request to a runner
/// without a free slot.
model_figures run_direct(const model_size& size, duration report_lag);

} // namespace chicory::bench

#endif
