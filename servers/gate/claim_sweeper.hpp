#ifndef CHICORY_SERVERS_GATE_CLAIM_SWEEPER_HPP
#define CHICORY_SERVERS_GATE_CLAIM_SWEEPER_HPP

#include "core/core.hpp"
#include "drivers/drivers.hpp"
#include "policy/online/online.hpp"
#include "servers/dispatch/dispatch.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace chicory::gate
{

/// Removes expired rows of idempotency keys from the table service, page by
/// page as online::claim_sweep orders them.
class claim_sweeper
{
public:
    claim_sweeper(
        boost::asio::any_io_executor executor,
        const dispatching::fleet_cache& fleet,
        ports::table_service& table,
        metrics& counters,
        std::string own_gate,
        online::claim_sweep_settings settings);

    /// Starts to sweep pages periodically.
    void start();

    /// Reads one page and deletes its expired rows in one transaction. Rows
    /// that cannot be read or deleted are left for a later call.
    boost::asio::awaitable<void> sweep_page();

private:
    boost::asio::awaitable<void> run();
    std::vector<std::string> list_gates() const;
    boost::asio::awaitable<void> remove(std::vector<online::claim_row> expired);

    boost::asio::any_io_executor executor;
    const dispatching::fleet_cache& fleet;
    ports::table_service& table;
    metrics& counters;
    online::claim_sweep sweep;
    std::size_t page_size;
};

} // namespace chicory::gate

#endif
