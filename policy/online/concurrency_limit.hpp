#ifndef CHICORY_POLICY_ONLINE_CONCURRENCY_LIMIT_HPP
#define CHICORY_POLICY_ONLINE_CONCURRENCY_LIMIT_HPP

#include "core/core.hpp"

#include <cstdint>

namespace chicory::online
{

/// Learns how many concurrent requests a runner can handle from its time to the
/// first byte. The limit shrinks when a full runner responds much later than it
/// used to, and grows by one for each window in which a full runner did not.
class concurrency_limit
{
public:
    /// Number of samples that are averaged before the limit changes.
    static constexpr std::int64_t window = 16;

    /// Starts with the limit at the maximum.
    explicit concurrency_limit(std::int64_t max);

    /// Sets the maximum of the limit; values below one count as one.
    void set_max(std::int64_t max);

    /// Records the time to the first byte of a run. `in_progress` is the number
    /// of runs on the runner when it was started, including itself.
    void record_first_byte(duration latency, std::int64_t in_progress);

    std::int64_t value() const;

private:
    void evaluate_window(double mean);

    std::int64_t max;
    double limit;
    double baseline = 0;
    double sum = 0;
    std::int64_t samples = 0;
    std::int64_t full_samples = 0;
};

} // namespace chicory::online

#endif
