#ifndef CHICORY_POLICY_ONLINE_LINK_HEALTH_HPP
#define CHICORY_POLICY_ONLINE_LINK_HEALTH_HPP

#include "core/core.hpp"

#include <cstdint>

namespace chicory::online
{

/// What is believed of a connection.
enum class link_state
{
    healthy,
    /// Silent for too long; a fresh connection is being tried.
    suspect,
    /// Silent while a fresh connection works, or no connection works.
    dead,
};

/// What to do about a connection.
enum class link_action
{
    none,
    send_heartbeat,
    /// Open a fresh connection to the same peer and report whether it works.
    try_fresh_connection,
    /// Give the connection up; requests on it are resumed elsewhere.
    close,
};

/// Finds connections that went silent for good while new ones work. New work
/// must use a connection only while it is healthy.
class link_health
{
public:
    /// Time between two heartbeats on an otherwise quiet connection.
    static constexpr duration heartbeat_interval =
        std::chrono::milliseconds(500);
    /// Silence after which a connection is suspect.
    static constexpr duration suspect_after = std::chrono::milliseconds(1600);
    /// Silence after which it is dead, whatever a fresh one shows.
    static constexpr duration dead_after = std::chrono::seconds(5);

    explicit link_health(time_point now);

    /// Takes when anything was received last on the connection; news no newer
    /// than the last changes nothing.
    void received(time_point now);

    /// Takes whether a fresh connection to the peer answered.
    link_action fresh_connection(bool answered, time_point now);

    /// Returns what is due now.
    link_action tick(time_point now);

    link_state state() const;

private:
    link_state current = link_state::healthy;
    time_point last_received;
    time_point last_heartbeat;
    bool trying = false;
};

} // namespace chicory::online

#endif
