#ifndef CHICORY_SERVERS_CONTROL_ORDERS_SERVICE_HPP
#define CHICORY_SERVERS_CONTROL_ORDERS_SERVICE_HPP

#include "backend/backend.hpp"
#include "core/core.hpp"
#include "drivers/drivers.hpp"
#include "policy/configuration/configuration.hpp"
#include "policy/membership/membership.hpp"
#include "policy/orders/orders.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicory::control
{

/// Sends orders to the engines of the pools whose lease this node holds. Any
/// node can hold the lease of a pool; only the node that rendezvous hashing
/// selects for the pool tries to acquire it.
class orders_service
{
public:
    /// Returns the membership state.
    using members_hook = std::function<const membership::gossip&()>;

    /// `holder_name` identifies this process in lease rows. The table service
    /// and the backend must outlive the service.
    orders_service(
        boost::asio::io_context& io,
        ports::table_service& service,
        backend::backend_server& engines,
        members_hook hook,
        std::string holder_name);

    /// Replaces the pools that are served by those of a configuration.
    void set_tables(const configuration::table_set& tables);

    /// Stops sending orders. Orders in progress are completed.
    void stop();

    /// Returns the number of orders that wait for the engine's response.
    std::size_t in_progress() const;

private:
    struct pool_state;
    using pool_handle = std::shared_ptr<pool_state>;

    boost::asio::awaitable<void> run_pool(pool_handle pool);
    boost::asio::awaitable<void> advance_lease(pool_handle pool);
    boost::asio::awaitable<void> read_lease(pool_handle pool);
    boost::asio::awaitable<void>
    write_lease(pool_handle pool, std::int64_t expected);
    boost::asio::awaitable<void>
    read_report(pool_handle pool, membership::vm runner);
    boost::asio::awaitable<void> issue_orders(pool_handle pool);
    boost::asio::awaitable<void>
    send_order(pool_handle pool, orders::issued_order order);
    void record_response(
        const pool_handle& pool,
        const orders::planned_order& order,
        const result<void>& response) const;
    void update_weight_store_shares();
    std::vector<membership::vm> find_runners(const std::string& label) const;
    bool is_candidate(const std::string& pool) const;
    void log_lease_change(const pool_handle& pool) const;
    void log_confirmed_orders(const pool_handle& pool) const;

    boost::asio::io_context& context;
    ports::table_service& table;
    backend::backend_server& backend;
    members_hook members;
    std::string holder;
    std::map<std::string, pool_handle> pools;
    std::size_t orders_in_progress = 0;
    bool stopping = false;
};

} // namespace chicory::control

#endif
