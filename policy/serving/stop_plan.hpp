#ifndef CHICORY_POLICY_SERVING_STOP_PLAN_HPP
#define CHICORY_POLICY_SERVING_STOP_PLAN_HPP

#include "core/core.hpp"

namespace chicory::serving
{

/// Times of the stop of a process, and which work may still begin in it.
/// Designed for callers that hold the address of a process and go on to send
/// requests to it until it is gone: work that may outlast the stop would be cut
/// off at its end, and is refused while its caller can still go elsewhere.
class stop_plan
{
public:
    /// `grace` is the time from the stop signal, at `signalled`, until the
    /// platform kills the process.
    stop_plan(time_point signalled, duration grace);

    /// Returns the time of the stop signal.
    time_point signalled_at() const;

    /// Returns the time from which responses close their connections. Callers
    /// that refresh the addresses they use have left by then; the others learn
    /// of the departure from a response, not from a close that may cross their
    /// next request.
    time_point closes_connections_at() const;

    /// Returns the time at which idle connections are closed.
    time_point announced_at() const;

    /// Returns the time at which unfinished work is ended with an answer.
    time_point work_ends_at() const;

    /// Returns the time at which the process exits at the latest.
    time_point exits_at() const;

    /// Returns whether work that may last until `latest_end` may begin.
    bool admits(time_point latest_end) const;

private:
    time_point signalled;
    duration grace;
};

} // namespace chicory::serving

#endif
