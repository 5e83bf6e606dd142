#include "experiments/load/latency_summary.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace chicory::load
{

namespace acc = boost::accumulators;

latency_summary summarize(const std::vector<duration>& samples)
{
    using quantiles = acc::tag::tail_quantile<acc::right>;
    latency_summary summary;
    summary.count = samples.size();
    if (samples.empty())
    {
        return summary;
    }
    acc::accumulator_set<
        double,
        acc::stats<acc::tag::mean, acc::tag::max, quantiles>>
        set(acc::right_tail_cache_size = samples.size());
    for (const duration& sample : samples)
    {
        set(std::chrono::duration<double, std::milli>(sample).count());
    }
    const auto quantile = [&set](double probability)
    {
        return acc::quantile(set, acc::quantile_probability = probability);
    };
    summary.mean_ms = acc::mean(set);
    summary.max_ms = acc::max(set);
    summary.p50_ms = quantile(0.5);
    summary.p90_ms = quantile(0.9);
    summary.p99_ms = quantile(0.99);
    summary.p999_ms = quantile(0.999);
    return summary;
}

} // namespace chicory::load
