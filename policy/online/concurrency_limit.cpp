#include "policy/online/concurrency_limit.hpp"

#include <algorithm>

namespace chicory::online
{

namespace
{

/// Ratio of latency to the baseline above which a runner counts as overloaded.
constexpr double overload_ratio = 2.0;
/// Factor applied to the limit of an overloaded runner.
constexpr double shrink_factor = 0.9;
/// Growth of the baseline for each window above it, so that it follows a change
/// of model.
constexpr double baseline_drift = 1.01;
/// Fraction of the limit from which a runner counts as full.
constexpr double full_fraction = 0.8;

} // namespace

concurrency_limit::concurrency_limit(std::int64_t max)
    : max(std::max<std::int64_t>(max, 1)), limit(static_cast<double>(this->max))
{
}

void concurrency_limit::set_max(std::int64_t new_max)
{
    const bool was_at_max = this->value() == this->max;
    this->max = std::max<std::int64_t>(new_max, 1);
    const double new_limit = static_cast<double>(this->max);
    this->limit = was_at_max ? new_limit : std::min(this->limit, new_limit);
}

void concurrency_limit::record_first_byte(
    duration latency, std::int64_t in_progress)
{
    this->sum += static_cast<double>(latency.count());
    this->samples += 1;
    if (static_cast<double>(in_progress) >= this->limit * full_fraction)
    {
        this->full_samples += 1;
    }
    if (this->samples < window)
    {
        return;
    }
    this->evaluate_window(this->sum / static_cast<double>(window));
    this->sum = 0;
    this->samples = 0;
    this->full_samples = 0;
}

void concurrency_limit::evaluate_window(double mean)
{
    if (this->baseline <= 0 || mean < this->baseline)
    {
        this->baseline = mean;
    }
    const bool is_full = this->full_samples * 2 >= window;
    const bool is_overloaded = mean > this->baseline * overload_ratio;
    this->baseline = std::min(mean, this->baseline * baseline_drift);
    if (!is_full)
    {
        return;
    }
    const double adjusted =
        is_overloaded ? this->limit * shrink_factor : this->limit + 1;
    this->limit = std::clamp(adjusted, 1.0, static_cast<double>(this->max));
}

std::int64_t concurrency_limit::value() const
{
    return static_cast<std::int64_t>(this->limit);
}

} // namespace chicory::online
