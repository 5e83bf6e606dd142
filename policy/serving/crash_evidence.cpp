#include "policy/serving/crash_evidence.hpp"

namespace chicory::serving
{

bool is_crash_evidence(const closed_run& run)
{
    return !run.has_event && run.was_ready && run.same_process &&
           !run.ended_here && run.probe == runner_probe::failed;
}

} // namespace chicory::serving
