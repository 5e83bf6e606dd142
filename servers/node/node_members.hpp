#ifndef CHICORY_SERVERS_NODE_NODE_MEMBERS_HPP
#define CHICORY_SERVERS_NODE_NODE_MEMBERS_HPP

#include "policy/serving/serving.hpp"
#include "ports/ports.hpp"
#include "servers/fleet/fleet.hpp"
#include "servers/node/node_settings.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chicory::node
{

/// Returns the JSON text of a node's registration, which other nodes read.
std::string to_text(const membership::vm& vm);

/// Returns the node of a registration, or nothing if the record cannot be
/// decoded.
std::optional<membership::vm> read_vm(const ports::record& source);

/// The chicory-node processes of the fleet. They exchange their state by
/// gossip, and each registers a record in the store, from which a node that
/// starts finds the other nodes.
class node_members
{
public:
    node_members(
        boost::asio::io_context& io,
        const node_settings& initial_settings,
        ports::record_store& records,
        metrics& counters,
        std::uint64_t started,
        std::function<void()> on_change);

    /// Starts gossip and registration. Error: unavailable when the port cannot
    /// be bound.
    result<void> start();

    /// Announces to the other nodes that this node is leaving.
    void leave();

    /// Returns the incarnation under which other nodes know this node.
    std::uint64_t incarnation() const;

    /// Records a node that is named in the store or by another node.
    void on_member_seen(const membership::vm& other);

    /// Sets the configuration revision that this node announces.
    void set_revision(std::int64_t revision);

    /// Returns the highest configuration revision that any node announced.
    std::int64_t highest_revision() const;

    /// Returns the entry VMs that accept work. This node is included unless it
    /// is leaving.
    std::vector<serving::live_node> live_nodes() const;

    /// Returns the ids of the entry VMs that announced that they are leaving.
    std::vector<std::string> leaving_nodes() const;

    /// Returns a version that increases with each change of the live nodes.
    std::uint64_t version() const;

    /// Returns the details of a node, or nothing if the node is unknown.
    std::optional<membership::vm> find(const std::string& vm_id) const;

    membership::fleet_view view() const;

private:
    boost::asio::awaitable<void> keep_registered();
    /// Reads the registration of an earlier process of this VM before it is
    /// overwritten. If the clock of that process was ahead, this node continues
    /// from its incarnation and owns the jobs that it owned. Returns whether
    /// the store responded.
    boost::asio::awaitable<bool> read_previous_registration();
    boost::asio::awaitable<bool> register_self();
    void on_members_seen(const std::vector<ports::record>& records);
    /// Read all registered nodes, or those that changed since the last read.
    boost::asio::awaitable<result<void>> read_others();
    boost::asio::awaitable<result<void>> read_changes();

    boost::asio::io_context& context;
    const node_settings& settings;
    ports::record_store& store;
    membership::vm self;
    fleet::gossip_service gossip;
    bool leaving = false;
    /// Version of the store up to which registered nodes were read; zero means
    /// that all must be read.
    std::int64_t read_version = 0;
};

} // namespace chicory::node

#endif
