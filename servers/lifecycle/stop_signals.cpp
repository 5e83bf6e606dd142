#include "servers/lifecycle/stop_signals.hpp"

#include <csignal>

namespace chicory
{

stop_signals::stop_signals(
    boost::asio::io_context& context, daemon_lifecycle& target)
    : signals(context, SIGTERM, SIGINT), life(target)
{
    this->wait();
}

void stop_signals::wait()
{
    this->signals.async_wait(
        [this](boost::system::error_code failure, int number)
        {
            if (failure)
            {
                return;
            }
            log_event(event::signal_received, {{"signal", number}});
            this->life.on_stop_signal();
            this->wait();
        });
}

} // namespace chicory
