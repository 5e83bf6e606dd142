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

/// Encodes what other nodes need to know of a node, and decodes it; nothing
/// for a record that cannot be read.
std::string to_text(const membership::vm& vm);
std::optional<membership::vm> read_vm(const ports::record& source);

/// The nodes of the fleet: gossip among them, and a record of each in the
/// store, by which a node that starts finds the others.
class node_members
{
public:
    node_members(
        boost::asio::io_context& io,
        const node_settings& source,
        ports::record_store& records,
        metrics& numbers,
        std::uint64_t started,
        std::function<void()> on_change);

    /// Error: unavailable when the port cannot be bound.
    result<void> start();

    /// Announces that this node is leaving.
    void leave();

    /// Returns the incarnation by which the others know this node.
    std::uint64_t incarnation() const;

    /// Takes word of a node that was seen elsewhere.
    void on_member_seen(const membership::vm& other);

    void set_revision(std::int64_t revision);
    std::int64_t highest_revision() const;

    /// Returns the entry VMs that take work, this one included unless it is
    /// leaving.
    std::vector<serving::live_node> live_nodes() const;

    /// Grows with each change of the live nodes.
    std::uint64_t version() const;

    /// Returns what is known of a node, or nothing.
    std::optional<membership::vm> find(const std::string& vm_id) const;

    membership::fleet_view view() const;

private:
    boost::asio::awaitable<void> keep_registered();
    /// Learns of an earlier process of this VM whose clock was ahead, before
    /// its record is written over: jobs that it owned are this node's then.
    boost::asio::awaitable<bool> read_previous_registration();
    boost::asio::awaitable<bool> register_self();
    void on_members_seen(const std::vector<ports::record>& records);
    /// Reads all registered nodes, or those that changed since.
    boost::asio::awaitable<result<void>> read_others();
    boost::asio::awaitable<result<void>> read_changes();

    boost::asio::io_context& context;
    const node_settings& settings;
    ports::record_store& store;
    membership::vm self;
    fleet::gossip_service gossip;
    bool leaving = false;
    /// Version of the store up to which registered nodes are known; zero for
    /// none.
    std::int64_t read_version = 0;
};

} // namespace chicory::node

#endif
