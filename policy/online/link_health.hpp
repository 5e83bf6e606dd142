#ifndef CHICORY_POLICY_ONLINE_LINK_HEALTH_HPP
#define CHICORY_POLICY_ONLINE_LINK_HEALTH_HPP

#include "core/core.hpp"

#include <cstdint>

namespace chicory::online
{

/// Health of a connection.
enum class link_state
{
    healthy,
    /// Nothing was received for too long; a fresh connection is being tested.
    suspect,
    /// Nothing was received while a fresh connection works, or no connection
    /// works.
    dead,
};

/// Action to take for a connection.
enum class link_action
{
    none,
    send_heartbeat,
    /// Open a fresh connection to the same peer and report whether it works.
    try_fresh_connection,
    /// Close the connection. Its requests are resumed on another connection.
    close,
};

/// Detects connections that have become silent permanently while new ones work.
/// New work must use a connection only while it is healthy.
class link_health
{
public:
    /// Time between two heartbeats on an otherwise idle connection.
    static constexpr duration heartbeat_interval =
        std::chrono::milliseconds(500);
    /// Time without received data after which a connection is suspect.
    static constexpr duration suspect_after = std::chrono::milliseconds(1600);
    /// Time without received data after which a connection is dead, regardless
    /// of the state of a fresh one.
    static constexpr duration dead_after = std::chrono::seconds(5);

    explicit link_health(time_point now);

    /// Records the time of the last received data. A time that is not later
    /// than the recorded one is ignored.
    void received(time_point now);

    /// Records whether the peer responded on a fresh connection.
    link_action fresh_connection(bool has_response, time_point now);

    /// Returns the action that is due at `now`.
    link_action tick(time_point now);

    link_state state() const;

private:
    link_state current_state = link_state::healthy;
    time_point last_received;
    time_point last_heartbeat;
    bool is_testing_fresh = false;
};

} // namespace chicory::online

#endif
