#ifndef CHICORY_TESTS_PROCESS_HTTP_CALL_HPP
#define CHICORY_TESTS_PROCESS_HTTP_CALL_HPP

#include "net/net.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace chicory::process
{

/// Sends one request to a port on loopback over a connection of its own and
/// waits for the whole answer. Status zero means that there was none.
net::http_response call(
    std::uint16_t port,
    net::http_request request,
    duration limit = std::chrono::seconds(30));

/// An answer that may be cut off.
struct partial_response
{
    /// Status zero means that not even a head came.
    net::http_response response;
    /// True when the body came to its end.
    bool whole = false;
};

/// Like `call`, but keeps what came before a connection broke.
partial_response call_keeping_partial_response(
    std::uint16_t port,
    net::http_request request,
    duration limit = std::chrono::seconds(30));

/// Shorthand for a GET.
net::http_response get(std::uint16_t port, const std::string& target);

/// Shorthand for a POST with a JSON body.
net::http_response
post(std::uint16_t port, const std::string& target, const std::string& body);

/// Parses an answer's body; null when it is not JSON.
boost::json::value parse_body(const net::http_response& response);

/// Returns a port that is free on loopback now.
std::uint16_t find_free_port();

} // namespace chicory::process

#endif
