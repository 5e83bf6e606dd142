#ifndef CHICORY_EXPERIMENTS_LOAD_ENTRY_POINTS_HPP
#define CHICORY_EXPERIMENTS_LOAD_ENTRY_POINTS_HPP

#include "net/net.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <vector>

namespace chicory::load
{

/// Gate and batch process addresses that a caller uses. They are fetched with
/// GET /v1/entrypoints from a gate and cached for the time to live in the
/// response. When no gate responds, the cached addresses remain in use.
class entry_points
{
public:
    entry_points(
        net::http_client& client, std::vector<net::endpoint> initial_gates);

    /// Refreshes the addresses each time the time to live expires. Never
    /// returns.
    boost::asio::awaitable<void> refresh_forever();

    /// Fetches the addresses from the known gates, trying each at most once.
    /// Returns whether a gate sent a valid response.
    boost::asio::awaitable<bool> refresh();

    /// Returns the next gate in round-robin order.
    net::endpoint next_gate();

    /// Returns the next batch process in round-robin order, or an endpoint with
    /// port zero when none is known.
    net::endpoint next_batch();

private:
    bool apply_response(const std::string& body);

    net::http_client& client;
    std::vector<net::endpoint> gates;
    std::vector<net::endpoint> batches;
    std::size_t next_gate_index = 0;
    std::size_t next_batch_index = 0;
    duration time_to_live;
};

} // namespace chicory::load

#endif
