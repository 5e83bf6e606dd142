#include "servers/control/control.hpp"
#include "servers/lifecycle/lifecycle.hpp"

#include <memory>
#include <utility>

namespace
{

chicory::result<chicory::start_hook>
make_control(boost::asio::io_context& context, chicory::vm_settings settings)
{
    const auto process = std::make_shared<chicory::control::control_process>(
        context, std::move(settings));
    return chicory::start_hook(
        [process]
        {
            return process->start();
        });
}

} // namespace

int main(int count, char** arguments)
{
    return chicory::run_daemon(
        count,
        arguments,
        {"chicory-control",
         "Watches the fleet and the configuration for one VM.",
         make_control});
}
