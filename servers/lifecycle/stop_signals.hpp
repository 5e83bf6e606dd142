#ifndef CHICORY_SERVERS_LIFECYCLE_STOP_SIGNALS_HPP
#define CHICORY_SERVERS_LIFECYCLE_STOP_SIGNALS_HPP

#include "servers/lifecycle/daemon_lifecycle.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace chicory
{

/// Passes each SIGTERM and SIGINT on to the life of the daemon.
class stop_signals
{
public:
    /// The life must outlive the signals.
    stop_signals(boost::asio::io_context& context, daemon_lifecycle& target);

private:
    void wait();

    boost::asio::signal_set signals;
    daemon_lifecycle& life;
};

} // namespace chicory

#endif
