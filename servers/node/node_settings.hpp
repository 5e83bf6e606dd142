#ifndef CHICORY_SERVERS_NODE_NODE_SETTINGS_HPP
#define CHICORY_SERVERS_NODE_NODE_SETTINGS_HPP

#include "core/core.hpp"
#include "net/net.hpp"
#include "policy/serving/serving.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicory::node
{

/// Size limits of the responses that a node receives, in bytes. A faulty peer
/// may send bytes without end, so a response that exceeds a limit is abandoned
/// and its connection closed.
struct response_size_limits
{
    /// Head of a response of a runner, of the store or of another node.
    std::size_t head_bytes = 16384;
    /// Body of a runner's response that is not an event stream.
    std::size_t body_bytes = std::size_t(256) << 10U;
    /// One event of a stream.
    std::size_t event_bytes = std::size_t(64) << 10U;
    /// All events of a stream that is forwarded to a caller.
    std::size_t stream_bytes = std::size_t(16) << 20U;
    /// Text of an item.
    std::size_t item_text_bytes = std::size_t(256) << 10U;
    /// Late responses to earlier requests that are discarded on a connection.
    std::size_t discarded_bytes = std::size_t(256) << 10U;
    /// Response of the store with records. A configuration with 23,000
    /// organisations has 2.5 MB, and some stores take records of 4 MB, which
    /// base64 makes a third larger.
    std::size_t records_bytes = std::size_t(8) << 20U;
    /// Object of the store.
    std::size_t object_bytes = std::size_t(8) << 20U;
    /// Fleet state that another node sends.
    std::size_t fleet_state_bytes = std::size_t(8) << 20U;
};

/// Settings of a node, that is the chicory-node process of an entry VM.
struct node_settings
{
    std::string vm_id;
    std::string region;
    std::string zone;
    /// Address at which other VMs reach this one.
    std::string address;
    /// Endpoint for the requests and jobs of callers.
    net::endpoint requests;
    /// Endpoint at which the platform checks whether the node is ready.
    net::endpoint readiness;
    /// Endpoint at which callers query the entry addresses.
    net::endpoint entry_addresses;
    /// Ports for the datagrams of the membership protocol, for the datagrams of
    /// slot coordination, and for HTTP between nodes.
    std::uint16_t gossip_port = 0;
    std::uint16_t slot_port = 0;
    std::uint16_t peer_port = 0;
    /// Port of /metrics; zero disables it.
    std::uint16_t metrics_port = 0;
    /// Endpoint of the platform's store.
    net::endpoint store;
    /// Addresses of nodes to contact when the store does not respond.
    std::vector<std::string> seeds;
    /// Maximum time for which callers may cache entry addresses.
    duration entry_time_to_live = std::chrono::seconds(2);
    /// Time from a stop signal until the platform kills the process.
    duration stop_grace = std::chrono::seconds(8);
    /// Time within which a cancelled job must stop on all nodes.
    duration cancel_limit = std::chrono::seconds(3);
    /// Maximum size of a record's value in the store, in bytes.
    std::int64_t record_bytes = 65536;
    /// Time for which the results of a job stay readable.
    duration result_lifetime = std::chrono::seconds(120);
    response_size_limits bounds;
    serving::key_freshness_settings key_freshness;
    /// Window and tolerance of the quotas of organisations.
    serving::organisation_quota_settings quotas;
    /// Memory of the VM, in MB, of which requests in progress get a part. The
    /// default is that of the smallest VM.
    std::int64_t memory_mb = 160;
    severity log_level = severity::info;
};

/// Reads the settings from a TOML file. Error: invalid_input with one line for
/// each fault.
result<node_settings> read_node_settings(const std::string& path);

} // namespace chicory::node

#endif
