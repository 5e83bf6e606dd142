#ifndef CHICORY_POLICY_MEMBERSHIP_GOSSIP_SETTINGS_HPP
#define CHICORY_POLICY_MEMBERSHIP_GOSSIP_SETTINGS_HPP

#include "core/core.hpp"

#include <cstddef>

namespace chicory::membership
{

/// Intervals, rates and sizes of the membership protocol. A member is a cluster
/// member, that is a control process or a node.
struct gossip_settings
{
    /// Interval between two probes by one member.
    duration period = std::chrono::milliseconds(250);
    /// Time without a response after which indirect probes are requested.
    duration direct_timeout = std::chrono::milliseconds(250);
    /// Time without any response after which the member is suspected.
    duration probe_timeout = std::chrono::milliseconds(750);
    /// Time that a suspected member has to refute the suspicion.
    duration refutation_time = std::chrono::milliseconds(1250);
    /// Number of members that are requested to probe indirectly.
    std::size_t indirect_probers = 4;
    /// Number of additional members that receive fresh updates in each period.
    std::size_t fanout = 3;
    /// Transmissions of each update, for each decimal digit of the number of
    /// live entry VMs.
    std::size_t transmits_per_decade = 4;
    /// Maximum size of a message in bytes.
    std::size_t max_message_bytes = 1000;
    /// Size of the UDP and IP headers in bytes, counted against the rate.
    std::size_t header_bytes = 28;
    /// Rate of sent bytes per second, headers included, up to which updates are
    /// added to messages.
    double sent_bytes_per_second = 5000.0;
    /// Number of VMs added round-robin to each message when there are no fresh
    /// updates.
    std::size_t round_robin_count = 6;
    /// Maximum number of VMs whose details are requested in one message.
    std::size_t max_detail_requests = 12;
    /// Failures detected within this time before a node finds itself isolated
    /// are attributed to the partition.
    duration partition_onset_window = std::chrono::seconds(30);
    /// A partition counts as healed when this many VMs that were believed dead
    /// send messages within `return_window`.
    std::size_t min_returned_members = 3;
    duration return_window = std::chrono::seconds(2);
    /// Interval between two attempts to reach a member that is believed dead.
    duration reconnect_interval = std::chrono::seconds(1);
    /// Time for which dead members are remembered; longer than a region may be
    /// disconnected.
    duration tombstone_time = std::chrono::hours(2);
    /// A process that runs no tick for this long has been paused. It then
    /// discards its open probes and extends the deadlines of its suspects,
    /// because it may have missed the responses.
    duration pause_threshold = std::chrono::milliseconds(500);
};

} // namespace chicory::membership

#endif
