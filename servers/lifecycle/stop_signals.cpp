#include "servers/lifecycle/stop_signals.hpp"

#include <csignal>

namespace chicory
{

stop_signals::stop_signals(
    boost::asio::io_context& context, daemon_lifecycle& target)
    : signals(context, SIGTERM, SIGINT), lifecycle(target)
{
    this->wait_for_signal();
}

void stop_signals::wait_for_signal()
{
    this->signals.async_wait(
        [this](boost::system::error_code failure, int number)
        {
            if (failure)
            {
                return;
            }
            log_event(event::signal_received, {{"signal", number}});
            this->lifecycle.on_stop_signal();
            this->wait_for_signal();
        });
}

} // namespace chicory
