#ifndef CHICORY_TESTS_STANDINS_PLATFORM_STANDIN_HPP
#define CHICORY_TESTS_STANDINS_PLATFORM_STANDIN_HPP

#include "net/net.hpp"
#include "tests/standins/fault_plan.hpp"
#include "tests/standins/lagging_value.hpp"
#include "tests/standins/table_store.hpp"
#include "tests/standins/write_limit.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>

#include <map>
#include <optional>
#include <string>

namespace chicory::standin
{

/// Stands in for the platform's table service, object store, VM list and
/// weight store over HTTP. All state is in memory.
class platform_standin
{
public:
    /// The seed determines the random delays of slow calls.
    explicit platform_standin(std::uint64_t seed);

    /// Handles one HTTP call; see docs/STANDINS.md.
    boost::asio::awaitable<void> handle(net::http_exchange& exchange);

private:
    /// Reserves a place for a transaction in the queue of writes. Returns the
    /// time to wait, or nothing if the queue is full.
    std::optional<duration>
    reserve_write_time(const std::string& target, const std::string& body);
    net::http_response
    handle_call(const net::http_request& head, const std::string& body);
    net::http_response handle_table_call(
        const std::string& target, const boost::json::value& body);
    net::http_response
    handle_object_call(const net::http_request& head, const std::string& body);
    net::http_response
    handle_control_call(const std::string& target, const std::string& body);
    net::http_response handle_vm_list_call();
    net::http_response handle_weights_call(const boost::json::value& body);
    bool try_consume_weight_token();

    table_store table;
    fault_plan faults;
    write_limit limit;
    std::map<std::string, std::string> objects;
    lagging_value<boost::json::value> vms;
    std::map<std::string, std::int64_t> weight_fetches;
    std::int64_t weight_refusals = 0;
    /// Bytes of the responses to calls other than object calls, by target.
    std::map<std::string, std::int64_t> response_bytes;
    double weight_tokens;
    time_point weight_time;
};

} // namespace chicory::standin

#endif
