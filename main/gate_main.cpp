#include "servers/gate/gate.hpp"
#include "servers/lifecycle/lifecycle.hpp"

#include <memory>
#include <utility>

namespace
{

chicory::result<chicory::start_hook>
make_gate(boost::asio::io_context& context, chicory::vm_settings settings)
{
    const auto process = std::make_shared<chicory::gate::gate_process>(
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
        {"chicory-gate",
         "Handles callers' requests and owns the runners' queues.",
         make_gate});
}
