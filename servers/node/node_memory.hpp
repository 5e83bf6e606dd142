#ifndef CHICORY_SERVERS_NODE_NODE_MEMORY_HPP
#define CHICORY_SERVERS_NODE_NODE_MEMORY_HPP

#include "net/net.hpp"
#include "policy/serving/serving.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <set>

namespace chicory::node
{

/// Memory budget of a node, and the responses whose reading is paused because
/// of it.
struct node_memory
{
    explicit node_memory(const serving::memory_budget& initial_budget)
        : budget(initial_budget)
    {
    }

    serving::memory_budget budget;
    /// Timers of the calls that wait for memory; a cancelled one wakes its
    /// call.
    std::set<boost::asio::steady_timer*> paused;
};

/// Memory that is reserved for the body of one request. It is released when
/// this object is destroyed, which may be after the end of the node.
class body_lease
{
public:
    explicit body_lease(std::shared_ptr<node_memory> source);
    ~body_lease();
    body_lease(body_lease&& other) noexcept;
    body_lease(const body_lease&) = delete;
    body_lease& operator=(const body_lease&) = delete;
    body_lease& operator=(body_lease&&) = delete;

    /// Reserves further memory. Returns false if the request must be refused
    /// instead.
    bool add(std::size_t bytes);

    /// Releases the memory except that of the request itself.
    void release_body();

private:
    std::shared_ptr<node_memory> memory;
    std::size_t held = 0;
};

/// Unread bytes of one response, which are counted while this object exists.
class unread_lease
{
public:
    explicit unread_lease(std::shared_ptr<node_memory> source);
    ~unread_lease();
    unread_lease(const unread_lease&) = delete;
    unread_lease& operator=(const unread_lease&) = delete;

    /// Records the number of unread bytes. Wakes the paused calls when it frees
    /// memory that they wait for.
    void set(std::size_t bytes);

private:
    std::shared_ptr<node_memory> memory;
    std::size_t held = 0;
};

/// Lists a timer in `node_memory::paused` while this object exists.
class pause_entry
{
public:
    pause_entry(
        std::shared_ptr<node_memory> source, boost::asio::steady_timer& timer);
    ~pause_entry();
    pause_entry(const pause_entry&) = delete;
    pause_entry& operator=(const pause_entry&) = delete;

private:
    std::shared_ptr<node_memory> memory;
    boost::asio::steady_timer& waiting;
};

/// Returns the length of the body that the head of a request declares; zero if
/// it declares none.
std::size_t find_declared_length(const net::http_request& head);

} // namespace chicory::node

#endif
