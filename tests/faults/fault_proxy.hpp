#ifndef CHICORY_TESTS_FAULTS_FAULT_PROXY_HPP
#define CHICORY_TESTS_FAULTS_FAULT_PROXY_HPP

#include "net/net.hpp"
#include "tests/faults/leg.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chicory::faults
{

/// A set of legs with one HTTP control interface:
///
/// - `POST /legs {"name","protocol","target_port","port","from","to"}` opens
///   a leg ("tcp" or "udp") on loopback and returns `{"port"}`.
/// - `POST /faults {"leg","fault","delay_ms","jitter_ms","percent"}` applies a
///   fault; a leg name that ends in "*" selects all legs with that prefix.
/// - `POST /cuts {"from","to"}` stops all legs between two groups, in both
///   directions.
/// - `POST /rules {"leg","direction","text","fault",...,"after","count"}`
///   applies a fault when a text passes and returns `{"id"}`.
/// - `GET /rules` returns the hits of each rule; `POST /release {"id"}`
///   forwards the bytes that a rule holds back.
/// - `GET /legs` returns the open connections of each leg.
/// - `POST /heal {}` removes all faults and rules.
class fault_proxy
{
public:
    fault_proxy(boost::asio::any_io_executor executor, std::uint64_t seed);

    /// Handles one call of the control interface.
    boost::asio::awaitable<void> handle(net::http_exchange& exchange);

private:
    net::http_response
    handle_call(const net::http_request& head, const std::string& body);
    boost::json::value open_leg(const boost::json::object& request);
    void set_fault(const boost::json::object& request);
    void cut(const boost::json::object& request);
    boost::json::value add_rule(const boost::json::object& request);
    void release(const boost::json::object& request);
    boost::json::array list_rules() const;
    boost::json::object list_legs() const;
    std::vector<std::shared_ptr<running_leg>>
    find_legs(const std::string& name) const;

    boost::asio::any_io_executor executor;
    std::uint64_t seed;
    std::map<std::string, std::shared_ptr<running_leg>> legs;
    std::vector<std::shared_ptr<rule>> rules;
};

} // namespace chicory::faults

#endif
