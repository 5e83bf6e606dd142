#ifndef CHICORY_SERVERS_NODE_NODE_SETTINGS_HPP
#define CHICORY_SERVERS_NODE_NODE_SETTINGS_HPP

#include "core/core.hpp"
#include "net/net.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicory::node
{

/// Bytes that a node takes of answers. Bytes that are no answer may come
/// without end; what exceeds a bound is given up and its connection closed.
struct response_size_limits
{
    /// Head of an answer of a runner, of the store or of another node.
    std::size_t head_bytes = 16384;
    /// Answer of a runner that is no stream of events.
    std::size_t body_bytes = std::size_t(256) << 10U;
    /// One event of a stream.
    std::size_t event_bytes = std::size_t(64) << 10U;
    /// All events of a stream that a caller gets.
    std::size_t stream_bytes = std::size_t(16) << 20U;
    /// Text of an item.
    std::size_t item_text_bytes = std::size_t(256) << 10U;
    /// Late answers to earlier requests that are read past on a connection.
    std::size_t skipped_bytes = std::size_t(256) << 10U;
    /// Answer of the store with records: it gives 1 MB of values at once, a
    /// third more in base64.
    std::size_t records_bytes = std::size_t(2) << 20U;
    /// Object of the store.
    std::size_t object_bytes = std::size_t(8) << 20U;
    /// What another node tells of the fleet.
    std::size_t fleet_state_bytes = std::size_t(4) << 20U;
};

/// Settings of a node: the one program of an entry VM.
struct node_settings
{
    std::string vm_id;
    std::string region;
    std::string zone;
    /// Address at which other VMs reach this one.
    std::string address;
    /// Where callers send requests and jobs.
    net::endpoint requests;
    /// Where the platform asks whether the node is ready.
    net::endpoint readiness;
    /// Where callers ask which addresses to use.
    net::endpoint entry_addresses;
    /// Ports for datagrams of the membership protocol and of slots, and for
    /// HTTP between nodes.
    std::uint16_t gossip_port = 0;
    std::uint16_t slot_port = 0;
    std::uint16_t peer_port = 0;
    /// Port of /metrics.
    std::uint16_t metrics_port = 0;
    /// The platform's store.
    net::endpoint store;
    /// Some nodes that may be asked when the store does not answer.
    std::vector<std::string> seeds;
    /// Longest time that callers may keep entry addresses.
    duration entry_time_to_live = std::chrono::seconds(2);
    /// Time from a stop signal until the platform kills the process.
    duration stop_grace = std::chrono::seconds(8);
    /// Time within which a cancelled job must stop everywhere.
    duration cancel_limit = std::chrono::seconds(3);
    /// Largest value of a record of the store, in bytes.
    std::int64_t record_bytes = 65536;
    /// Time for which results of a job stay readable.
    duration result_lifetime = std::chrono::seconds(120);
    response_size_limits bounds;
    severity log_level = severity::info;
};

/// Reads the settings from a TOML file. Error: invalid_input with one line for
/// each fault.
result<node_settings> read_node_settings(const std::string& path);

} // namespace chicory::node

#endif
