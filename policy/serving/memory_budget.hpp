#ifndef CHICORY_POLICY_SERVING_MEMORY_BUDGET_HPP
#define CHICORY_POLICY_SERVING_MEMORY_BUDGET_HPP

#include <cstddef>
#include <cstdint>

namespace chicory::serving
{

/// Limits, in bytes, on the data that a VM holds for requests in progress.
struct memory_limits
{
    /// Bodies of requests that have arrived or are arriving.
    std::size_t bodies = 0;
    /// Share of `bodies` above which no further request is admitted. The rest
    /// is left to the bodies that are arriving.
    std::size_t admitted_bodies = 0;
    /// Bytes of responses that callers have not read.
    std::size_t responses = 0;
    /// Those of one response.
    std::size_t one_response = 0;
};

/// Divides the memory of a VM, in MB, into the limits.
memory_limits divide_memory(std::int64_t memory_mb);

/// Decides which data a VM may hold for its requests. Designed for callers that
/// send or read slowly, and for runners that are slow with many large bodies
/// waiting: without a limit, the data held for them grows until the process is
/// killed with all its requests.
class memory_budget
{
public:
    explicit memory_budget(const memory_limits& initial_limits);

    /// Returns whether a new request may be received. `declared` is the length
    /// of its body, zero if it is not known.
    bool admits_request(std::size_t declared) const;

    /// Reserves memory for a part of a body that has arrived. Returns false,
    /// and reserves nothing, if the request must be refused instead.
    bool reserve_body(std::size_t bytes);

    /// Releases memory of a body.
    void release_body(std::size_t bytes);

    /// Records how many bytes of one response the caller has not read, and
    /// how many there were before.
    void change_unread(std::size_t before, std::size_t after);

    /// Returns whether more of a response may be read from its runner while the
    /// caller has not read `unread` bytes of it. A response whose caller is not
    /// behind is always read, so that slow callers delay no other.
    bool may_read(std::size_t unread) const;

    /// Returns whether responses have less than their limit.
    bool has_response_capacity() const;

    const memory_limits& limits() const;
    std::size_t body_bytes() const;
    std::size_t unread_bytes() const;

private:
    memory_limits bounds;
    std::size_t bodies = 0;
    std::size_t unread_total = 0;
};

/// Memory that a request needs besides its body: its head, the buffers of its
/// connections and the state of its execution. It is reserved with the body, so
/// that the number of requests is bounded too.
inline constexpr std::size_t request_overhead = std::size_t(8) << 10U;

} // namespace chicory::serving

#endif
