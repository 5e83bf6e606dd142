#ifndef CHICORY_TESTS_STANDINS_SERVE_HPP
#define CHICORY_TESTS_STANDINS_SERVE_HPP

#include "net/net.hpp"

#include <boost/asio/io_context.hpp>

namespace chicory::standin
{

/// Listens on `local`, prints `listening PORT` and serves until SIGTERM or
/// SIGINT. Returns the exit code of the process.
int serve(
    boost::asio::io_context& context,
    const net::endpoint& local,
    net::http_handler handler);

} // namespace chicory::standin

#endif
