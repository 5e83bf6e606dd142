#ifndef CHICORY_NET_SOCKET_OPTIONS_HPP
#define CHICORY_NET_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

namespace chicory::net
{

/// Sets TCP_NODELAY, keep-alive probes and TCP_USER_TIMEOUT, so that the
/// operating system closes a connection whose peer is unreachable. Failures are
/// ignored, as the options only shorten the time until that is detected.
void set_connection_options(boost::asio::ip::tcp::socket& socket);

/// Returns whether the peer has closed an idle connection or sent bytes that
/// belong to no request, so that the connection must not be reused.
bool is_stale(boost::asio::ip::tcp::socket& socket);

/// Returns whether the peer has closed its side of the connection.
bool is_closed_by_peer(boost::asio::ip::tcp::socket& socket);

} // namespace chicory::net

#endif
