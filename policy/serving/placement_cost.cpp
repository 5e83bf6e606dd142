#include "policy/serving/placement_cost.hpp"

#include <algorithm>

namespace chicory::serving
{

double placement_cost(
    const placement_candidate& candidate,
    work_kind kind,
    const placement_cost_settings& settings)
{
    const auto slots =
        static_cast<double>(std::max<std::int64_t>(1, candidate.slots));
    const double past = std::clamp(
        settings.past_weight * candidate.past_excess * slots,
        -settings.max_past_runs,
        settings.max_past_runs);
    const double load = static_cast<double>(settings.full_runner.count()) *
                        (candidate.runs + past) / slots;
    const double work =
        static_cast<double>(settings.first_event.count()) * candidate.work_time;
    if (kind == work_kind::batch)
    {
        return load - work;
    }
    const double distance =
        candidate.is_in_zone
            ? 0.0
            : static_cast<double>(settings.zone_distance.count());
    return load + work + distance;
}

} // namespace chicory::serving
