#ifndef CHICORY_SERVERS_NODE_STOP_STATE_HPP
#define CHICORY_SERVERS_NODE_STOP_STATE_HPP

#include "policy/serving/serving.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace chicory::node
{

/// Plan of the stop of this node, and what happened to requests in it.
struct stop_state
{
    /// Set by the stop signal.
    std::optional<serving::stop_plan> plan;
    /// Requests of callers in progress when the stop began.
    std::size_t open_at_signal = 0;
    /// Online requests that arrived since then.
    std::int64_t arrived = 0;
    /// Those of both that were refused because of the stop, and not run.
    std::int64_t refused = 0;
    /// Those that were ended after they may have run.
    std::int64_t cut_off = 0;

    /// Returns whether work that may last until `latest_end` may begin.
    bool admits(time_point latest_end) const
    {
        return !this->plan || this->plan->admits(latest_end);
    }
};

} // namespace chicory::node

#endif
