#include "policy/batch/batch.hpp"
#include "servers/batch/batch.hpp"
#include "servers/lifecycle/lifecycle.hpp"

#include <memory>
#include <utility>

namespace
{

chicory::result<chicory::start_hook>
make_batch(boost::asio::io_context& context, chicory::vm_settings settings)
{
    BOOST_OUTCOME_TRY(
        chicory::batch::lifecycles charts,
        chicory::batch::load_lifecycles(settings.charts));
    const auto process = std::make_shared<chicory::batch::batch_process>(
        context, std::move(settings), std::move(charts));
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
        {"chicory-batch",
         "Accepts batch jobs and sends their items to runners.",
         make_batch});
}
