#ifndef CHICORY_SERVERS_GATE_ONLINE_REQUEST_HPP
#define CHICORY_SERVERS_GATE_ONLINE_REQUEST_HPP

#include "net/net.hpp"
#include "servers/dispatch/dispatch.hpp"
#include "servers/gate/api_error.hpp"

#include <boost/outcome/basic_result.hpp>

#include <string>

namespace chicory::gate
{

/// A validated online request of a caller.
struct online_request
{
    configuration::route route;
    configuration::pool pool;
    std::string path;
    std::string content_type;
    std::string body;
    bool streaming = false;
    bool not_repeatable = false;
    /// Key under which a second send of the request is recognised; empty when
    /// the caller sent none.
    std::string idempotency_key;
    /// Time until the deadline.
    duration time_left{};
    /// Hash of member, route and body, by which the quarantine and the
    /// idempotency check recognise the request.
    std::uint64_t fingerprint = 0;
    std::uint64_t prefix_key = 0;
};

/// A validated request, or the error for the caller.
using checked_request = boost::outcome_v2::basic_result<
    online_request,
    api_error,
    boost::outcome_v2::policy::terminate>;

/// Validates route, API key, deadline and body of a caller's request. Error:
/// the response for the caller.
checked_request check_request(
    const net::http_request& head,
    std::string body,
    const dispatching::fleet_cache& fleet);

} // namespace chicory::gate

#endif
