#include "policy/serving/memory_budget.hpp"

namespace chicory::serving
{

namespace
{

constexpr std::size_t bytes_per_mb = std::size_t(1) << 20U;
/// Part of the memory for bodies. A quarter, because a string that grows may
/// hold twice its length, and a job is held in decoded form too while it is
/// submitted.
constexpr std::size_t body_part = 4;
/// Part of the memory for unread responses.
constexpr std::size_t response_part = 8;
/// Holds several pieces of a runner, and bridges the pauses of a slow caller.
constexpr std::size_t max_unread_bytes = std::size_t(256) << 10U;

} // namespace

memory_limits divide_memory(std::int64_t memory_mb)
{
    const std::size_t total =
        static_cast<std::size_t>(memory_mb) * bytes_per_mb;
    memory_limits limits;
    limits.bodies = total / body_part;
    limits.admitted_bodies = limits.bodies / 4 * 3;
    limits.responses = total / response_part;
    limits.one_response = max_unread_bytes;
    return limits;
}

memory_budget::memory_budget(const memory_limits& initial_limits)
    : bounds(initial_limits)
{
}

bool memory_budget::admits_request(std::size_t declared) const
{
    // A caller may declare any length, so the sum is not computed.
    const std::size_t used = this->bodies + request_overhead;
    return used <= this->bounds.admitted_bodies &&
           declared <= this->bounds.admitted_bodies - used;
}

bool memory_budget::reserve_body(std::size_t bytes)
{
    if (bytes > this->bounds.bodies - this->bodies)
    {
        return false;
    }
    this->bodies += bytes;
    return true;
}

void memory_budget::release_body(std::size_t bytes)
{
    this->bodies -= bytes;
}

void memory_budget::change_unread(std::size_t before, std::size_t after)
{
    this->unread_total += after;
    this->unread_total -= before;
}

bool memory_budget::may_read(std::size_t unread) const
{
    return unread == 0 || (unread < this->bounds.one_response &&
                           this->has_response_capacity());
}

bool memory_budget::has_response_capacity() const
{
    return this->unread_total < this->bounds.responses;
}

const memory_limits& memory_budget::limits() const
{
    return this->bounds;
}

std::size_t memory_budget::body_bytes() const
{
    return this->bodies;
}

std::size_t memory_budget::unread_bytes() const
{
    return this->unread_total;
}

} // namespace chicory::serving
