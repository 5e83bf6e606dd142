#ifndef CHICORY_TESTS_STANDINS_WRITE_LIMIT_HPP
#define CHICORY_TESTS_STANDINS_WRITE_LIMIT_HPP

#include "core/core.hpp"

#include <boost/json.hpp>

#include <cstddef>
#include <optional>

namespace chicory::standin
{

/// Limits the write rate of the table service. Transactions wait in one queue.
/// Each occupies it for the time of one transaction or of its rows, whichever
/// is longer.
class write_limit
{
public:
    /// Applies the body of `POST /control/limits`. Throws std::exception if the
    /// body is malformed.
    void set(const boost::json::value& request);

    bool is_set() const;

    /// Adds a transaction to the queue. Returns the time until it is done,
    /// including its wait, or nothing if the queue is longer than the allowed
    /// backlog.
    std::optional<duration> reserve(std::size_t rows, time_point now);

private:
    /// Zero means no limit.
    double transactions_per_s = 0.0;
    double rows_per_s = 0.0;
    duration backlog = std::chrono::seconds(1);
    time_point free_at;
};

} // namespace chicory::standin

#endif
