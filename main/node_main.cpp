#include "servers/node/node.hpp"

#include <boost/asio/io_context.hpp>

namespace
{

chicory::exit_code run(const chicory::program_options& options)
{
    chicory::result<chicory::node::node_settings> settings =
        chicory::node::read_node_settings(options.settings);
    if (!settings)
    {
        return chicory::report_bad_settings(settings.error());
    }
    if (options.check_settings)
    {
        return chicory::exit_code::success;
    }
    chicory::start_bounded_logging(
        "chicory-node", settings.value().vm_id, settings.value().log_level);
    boost::asio::io_context context(1);
    chicory::node::node_process process(context, std::move(settings.value()));
    if (const chicory::result<void> started = process.start(); !started)
    {
        chicory::log_event(
            chicory::event::start_failed, {{"error", started.error().text}});
        return chicory::exit_code::failure;
    }
    chicory::net::run_guarded(context);
    return chicory::exit_code::success;
}

} // namespace

int main(int count, char** arguments)
{
    const chicory::program_options options = chicory::parse_command_line(
        count,
        arguments,
        "chicory-node",
        "Handles callers' requests, runs batch jobs and coordinates the "
        "runners' slots.");
    const chicory::exit_code ended =
        options.exit ? *options.exit : run(options);
    return static_cast<int>(ended);
}
