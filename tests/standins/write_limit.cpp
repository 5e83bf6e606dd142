#include "tests/standins/write_limit.hpp"

#include <algorithm>

namespace chicory::standin
{

namespace
{

/// Returns the duration of a number of writes in seconds, or zero without a
/// limit.
double to_seconds(std::size_t writes, double rate_per_s)
{
    return rate_per_s > 0.0 ? static_cast<double>(writes) / rate_per_s : 0.0;
}

} // namespace

void write_limit::set(const boost::json::value& request)
{
    this->transactions_per_s =
        request.at("transactions_per_s").to_number<double>();
    this->rows_per_s = request.at("rows_per_s").to_number<double>();
    this->backlog = std::chrono::milliseconds(
        request.at("backlog_ms").to_number<std::int64_t>());
}

bool write_limit::is_set() const
{
    return this->transactions_per_s > 0.0 || this->rows_per_s > 0.0;
}

std::optional<duration> write_limit::reserve(std::size_t rows, time_point now)
{
    const time_point start = std::max(this->free_at, now);
    if (start - now > this->backlog)
    {
        return std::nullopt;
    }
    const std::chrono::duration<double> cost(std::max(
        to_seconds(1, this->transactions_per_s),
        to_seconds(rows, this->rows_per_s)));
    this->free_at = start + std::chrono::duration_cast<duration>(cost);
    return this->free_at - now;
}

} // namespace chicory::standin
