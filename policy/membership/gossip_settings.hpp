#ifndef CHICORY_POLICY_MEMBERSHIP_GOSSIP_SETTINGS_HPP
#define CHICORY_POLICY_MEMBERSHIP_GOSSIP_SETTINGS_HPP

#include "core/core.hpp"

#include <cstddef>

namespace chicory::membership
{

/// Times, rates and sizes of the membership protocol.
struct gossip_settings
{
    /// Time between two probes by one member.
    duration period = std::chrono::milliseconds(250);
    /// Wait for an answer before others are asked to probe.
    duration direct_limit = std::chrono::milliseconds(250);
    /// Wait for any answer before the member is suspected.
    duration probe_limit = std::chrono::milliseconds(750);
    /// Time that a suspect has to contradict.
    duration suspicion = std::chrono::milliseconds(1250);
    /// Members asked to probe.
    std::size_t helpers = 4;
    /// Further members that hear fresh news in each period.
    std::size_t fanout = 3;
    /// News is told this many times for each tenfold of members.
    std::size_t tells_per_decade = 4;
    /// Largest message in bytes.
    std::size_t max_message_bytes = 1000;
    /// Bytes of one UDP and IP header, counted against the rate.
    std::size_t header_bytes = 28;
    /// Bytes a second that updates may bring the sent messages to.
    double sent_bytes_per_second = 5000.0;
    /// VMs told in turn in each message that carries no fresh news.
    std::size_t turn_count = 6;
    /// VMs whose details are asked for in one message.
    std::size_t max_wanted = 12;
    /// Deaths so long before a node finds itself cut off are put down to the
    /// cut.
    duration cut_wave = std::chrono::seconds(30);
    /// A cut is over when this many VMs believed dead speak within the time.
    std::size_t return_count = 3;
    duration return_wave = std::chrono::seconds(2);
    /// Time between two attempts to reach a member believed dead.
    duration reconnect_interval = std::chrono::seconds(1);
    /// Time that the dead are remembered, longer than a region may be cut off.
    duration tombstone_time = std::chrono::hours(2);
    /// A process that ran no tick for this long was paused; it then judges
    /// nobody by answers that it may have missed.
    duration pause_limit = std::chrono::milliseconds(500);
};

} // namespace chicory::membership

#endif
