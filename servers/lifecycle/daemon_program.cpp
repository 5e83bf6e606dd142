#include "servers/lifecycle/daemon_program.hpp"

#include <utility>

namespace chicory
{

namespace
{

exit_code run(const program_options& options, const daemon_program& program)
{
    result<vm_settings> settings = read_vm_settings(options.settings);
    if (!settings)
    {
        return report_bad_settings(settings.error());
    }
    if (!options.check_settings)
    {
        start_logging(
            program.name, settings.value().vm_id, settings.value().log_level);
    }
    boost::asio::io_context context(1);
    const result<start_hook> start =
        program.make(context, std::move(settings.value()));
    if (!start)
    {
        return report_bad_settings(start.error());
    }
    if (options.check_settings)
    {
        return exit_code::success;
    }
    if (const result<void> started = start.value()(); !started)
    {
        log_event(event::start_failed, {{"error", started.error().text}});
        return exit_code::failure;
    }
    context.run();
    return exit_code::success;
}

} // namespace

int run_daemon(
    int count, const char* const* arguments, const daemon_program& program)
{
    const program_options options =
        parse_command_line(count, arguments, program.name, program.description);
    const exit_code code = options.exit ? *options.exit : run(options, program);
    return static_cast<int>(code);
}

} // namespace chicory
