#ifndef CHICORY_SERVERS_NODE_ACCESS_REFUSAL_HPP
#define CHICORY_SERVERS_NODE_ACCESS_REFUSAL_HPP

#include "core/core.hpp"
#include "net/net.hpp"
#include "platform/platform.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace chicory::node
{

/// Refuses a request or job call whose key was not accepted, with status 401,
/// or with status 503 if the keys known here may be out of date. Logs and
/// counts the refusal. The arguments must outlive the call. `route` is empty
/// for a call about a job.
boost::asio::awaitable<void> refuse_access(
    net::http_exchange& exchange,
    metrics& counters,
    const std::string& route,
    const serving::access_decision& decision);

} // namespace chicory::node

#endif
