#ifndef CHICORY_SERVERS_CONTROL_CLIENT_JOB_COMMANDS_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_JOB_COMMANDS_HPP

#include "drivers/drivers.hpp"
#include "policy/batch/batch.hpp"
#include "servers/control_client/command_report.hpp"

#include <functional>
#include <string>

namespace chicory::control
{

/// Commands on batch jobs. They access the rows in the table service directly,
/// so that a job can be cancelled while no batch process responds.
class job_commands
{
public:
    /// Returns a new operation id.
    using operation_hook = std::function<std::string()>;
    /// Returns the wall clock time in milliseconds since 1970.
    using clock_hook = std::function<std::int64_t()>;

    /// `charts` is the folder of the state charts. The service must outlive
    /// the commands.
    job_commands(
        ports::table_service& service,
        std::string charts,
        operation_hook operation,
        clock_hook clock);

    /// Shows the open jobs, or all jobs.
    boost::asio::awaitable<command_report> list(bool all);

    /// Shows one job. Error: not_found.
    boost::asio::awaitable<command_report> show(std::string id);

    /// Cancels a job. After success no further result of the job is committed.
    /// Cancelling a cancelled job succeeds. Errors: not_found, conflict when
    /// the job has ended, unavailable, outcome_unknown.
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
