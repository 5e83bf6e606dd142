#ifndef CHICORY_POLICY_SERVING_CRASH_EVIDENCE_HPP
#define CHICORY_POLICY_SERVING_CRASH_EVIDENCE_HPP

#include <cstdint>

namespace chicory::serving
{

/// Response of a runner to a connection attempt right after it closed the
/// connection of a run.
enum class runner_probe : std::uint8_t
{
    /// The runner accepted the connection.
    accepted,
    /// The runner refused the connection or did not respond.
    failed,
};

/// What a node knows about a run whose connection the runner closed.
struct closed_run
{
    /// The run returned an event.
    bool has_event = false;
    /// The runner's entry existed and was ready, and the runner had not
    /// announced that it is leaving.
    bool was_ready = true;
    /// The entry named the same process as when the run began.
    bool same_process = true;
    /// This node ended the run.
    bool ended_here = false;
    runner_probe probe = runner_probe::failed;
};

/// Returns whether the end of a run shows that a runner crashed, possibly
/// because of the run's request. Designed for these fault patterns:
///
/// - A runner that leaves, is scaled in or is replaced closes its connections
///   though no request harmed it.
/// - A runner closes an idle connection at the moment at which a request is
///   sent on it, or resets single connections, and continues to serve. A
///   crashed runner does not listen, so a connection attempt tells them apart.
bool is_crash_evidence(const closed_run& run);

} // namespace chicory::serving

#endif
