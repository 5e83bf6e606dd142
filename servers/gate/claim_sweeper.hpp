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

/// Removes expired rows of idempotency keys: binds online::claim_sweep to the
/// table service.
class claim_sweeper
{
public:
    claim_sweeper(
        boost::asio::any_io_executor executor,
        const dispatching::fleet_cache& fleet,
        ports::table_service& table,
        metrics& numbers,
        std::string own_gate,
        online::claim_sweep_settings settings);

    void start();

    /// Reads one page and deletes its expired rows in one transaction.
    boost::asio::awaitable<void> run_turn();

private:
    boost::asio::awaitable<void> run();
    std::vector<std::string> list_gates() const;
    boost::asio::awaitable<void> remove(std::vector<online::claim_row> expired);

    boost::asio::any_io_executor executor;
    const dispatching::fleet_cache& fleet;
    ports::table_service& table;
    metrics& numbers;
    online::claim_sweep sweep;
    std::size_t page;
};

} // namespace chicory::gate

#endif
