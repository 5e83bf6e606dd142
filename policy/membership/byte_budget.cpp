#include "policy/membership/byte_budget.hpp"

#include <algorithm>

namespace chicory::membership
{

byte_budget::byte_budget(double bytes_per_second, time_point now)
    : rate(bytes_per_second), remaining(bytes_per_second), last_refill(now)
{
}

std::size_t byte_budget::available(time_point now)
{
    const std::chrono::duration<double> passed = now - this->last_refill;
    this->last_refill = now;
    this->remaining =
        std::min(this->remaining + passed.count() * this->rate, this->rate);
    return static_cast<std::size_t>(std::max(this->remaining, 0.0));
}

void byte_budget::spend(std::size_t bytes)
{
    this->remaining -= static_cast<double>(bytes);
}

} // namespace chicory::membership
