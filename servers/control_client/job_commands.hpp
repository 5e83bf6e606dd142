#ifndef CHICORY_SERVERS_CONTROL_CLIENT_JOB_COMMANDS_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_JOB_COMMANDS_HPP

#include "drivers/drivers.hpp"
#include "policy/batch/batch.hpp"
#include "servers/control_client/command_report.hpp"

#include <functional>
#include <string>

namespace chicory::control
{

/// Commands on batch jobs. They work on the rows of the table service, so
/// that a job can be cancelled while no batch process answers.
class job_commands
{
public:
    /// Returns a new identifier of an operation and the wall clock.
    using operation_hook = std::function<std::string()>;
    using clock_hook = std::function<std::int64_t()>;

    /// `charts` is the folder of state charts. The service must outlive the
    /// commands.
    job_commands(
        ports::table_service& service,
        std::string charts,
        operation_hook operation,
        clock_hook clock);

    /// Shows open jobs, or all of them.
    boost::asio::awaitable<command_report> list(bool all);

    boost::asio::awaitable<command_report> show(std::string id);

    /// Cancels a job. When this succeeds no further result is committed.
    /// Cancelling a cancelled job again succeeds.
    boost::asio::awaitable<command_report> cancel(std::string id);

private:
    boost::asio::awaitable<result<batch::stored_job>> read(std::string id);
    boost::asio::awaitable<result<std::vector<std::string>>>
    list_ids(std::string prefix);

    ports::table_service& table;
    std::string charts_folder;
    operation_hook next_operation;
    clock_hook read_clock;
};

} // namespace chicory::control

#endif
