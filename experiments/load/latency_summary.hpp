#ifndef CHICORY_EXPERIMENTS_LOAD_LATENCY_SUMMARY_HPP
#define CHICORY_EXPERIMENTS_LOAD_LATENCY_SUMMARY_HPP

#include "core/core.hpp"

#include <cstddef>
#include <vector>

namespace chicory::load
{

/// Percentiles of latencies in milliseconds; zero without samples.
struct latency_summary
{
    std::size_t count = 0;
    double mean_ms = 0.0;
    double p50_ms = 0.0;
    double p90_ms = 0.0;
    double p99_ms = 0.0;
    double p999_ms = 0.0;
    double max_ms = 0.0;
};

/// Returns the summary of a list of samples. The tail quantile of
/// Boost.Accumulators has a cache for every sample, so the percentiles are
/// exact. The extended P-square estimate would use less memory, which a load
/// run does not need, and is least accurate in the tail.
latency_summary summarize(const std::vector<duration>& samples);

} // namespace chicory::load

#endif
