#ifndef CHICORY_TESTS_PROCESS_HTTP_CALL_HPP
#define CHICORY_TESTS_PROCESS_HTTP_CALL_HPP

#include "net/net.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace chicory::process
{

/// Sends one request to a port on loopback over a separate connection and waits
/// for the complete response. Status zero means that no complete response
/// arrived.
net::http_response call(
    std::uint16_t port,
    net::http_request request,
    duration limit = std::chrono::seconds(30));

/// A response that may be incomplete.
struct partial_response
{
    /// Status zero means that no response head arrived.
    net::http_response response;
    /// True if the body was received completely.
    bool is_complete = false;
};

/// Sends one request like `call`, but returns also the part of a response that
/// arrived before the connection failed.
partial_response call_keeping_partial_response(
    std::uint16_t port,
    net::http_request request,
    duration limit = std::chrono::seconds(30));

/// Sends a GET request with `call`.
net::http_response get(std::uint16_t port, const std::string& target);

/// Sends a POST request with a JSON body with `call`.
net::http_response
post(std::uint16_t port, const std::string& target, const std::string& body);

/// Parses the body of a response. Returns null if it is not JSON.
boost::json::value parse_body(const net::http_response& response);

/// Returns a port that is currently free on loopback for TCP and UDP.
std::uint16_t find_free_port();

} // namespace chicory::process

#endif
