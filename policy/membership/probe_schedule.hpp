#ifndef CHICORY_POLICY_MEMBERSHIP_PROBE_SCHEDULE_HPP
#define CHICORY_POLICY_MEMBERSHIP_PROBE_SCHEDULE_HPP

#include "policy/membership/member_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace chicory::membership
{

/// A probe without a response.
struct open_probe
{
    std::uint32_t sequence = 0;
    std::string target;
};

/// Open probes for which a timeout has passed.
struct due_probes
{
    /// Probes for which indirect probes should be requested.
    std::vector<open_probe> unanswered;
    /// Members that did not respond in time; their probes are closed.
    std::vector<std::string> timed_out;
};

/// A probe that this node sends on behalf of another cluster member.
struct relayed_probe
{
    std::string origin;
    std::uint32_t sequence = 0;
    time_point sent;
};

/// Stores the order in which cluster members are probed, and the probes in
/// progress.
class probe_schedule
{
public:
    probe_schedule(
        duration initial_direct_timeout, duration initial_probe_timeout);

    /// Returns the next member to probe, or an empty string if there is none.
    /// Each entry VM that is not dead is probed once in a round; the order
    /// within a round is random.
    std::string next_target(
        const member_table& members,
        const std::string& self,
        std::mt19937_64& generator);

    void open(std::uint32_t sequence, std::string target, time_point now);
    void close(std::uint32_t sequence);

    /// Closes all probes without a result for their targets.
    void close_all();

    /// Returns the probes that have timed out and closes those of them that
    /// have no time left; drops relayed probes that are too old.
    due_probes check(time_point now);

    void add_relay(std::uint32_t sequence, relayed_probe relayed);

    /// Removes and returns the relayed probe that an `ack` belongs to, if any.
    std::optional<relayed_probe> take_relay(std::uint32_t sequence);

private:
    struct probe
    {
        std::string target;
        time_point sent;
        bool indirect_requested = false;
    };

    duration direct_timeout;
    duration probe_timeout;
    std::map<std::uint32_t, probe> probes;
    std::map<std::uint32_t, relayed_probe> relays;
    std::vector<std::string> round;
};

} // namespace chicory::membership

#endif
