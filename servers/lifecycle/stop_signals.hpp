#ifndef CHICORY_SERVERS_LIFECYCLE_STOP_SIGNALS_HPP
#define CHICORY_SERVERS_LIFECYCLE_STOP_SIGNALS_HPP

#include "servers/lifecycle/daemon_lifecycle.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace chicory
{

/// Forwards each SIGTERM and SIGINT to the lifecycle of the daemon.
class stop_signals
{
public:
    /// The lifecycle must outlive this object.
    stop_signals(boost::asio::io_context& context, daemon_lifecycle& target);

private:
    void wait_for_signal();

    boost::asio::signal_set signals;
    daemon_lifecycle& lifecycle;
};

} // namespace chicory

#endif
