#ifndef CHICORY_SERVERS_CONTROL_CLIENT_CONFIGURATION_STORE_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_CONFIGURATION_STORE_HPP

#include "drivers/drivers.hpp"
#include "policy/configuration/configuration.hpp"
#include "servers/stored_configuration/stored_configuration.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chicory::control
{

/// Outcome of an edit.
struct edit_report
{
    configuration::edit_outcome outcome =
        configuration::edit_outcome::not_committed;
    /// Revision that the edit created or was planned to create.
    std::int64_t revision = 0;
    std::string operation_id;
};

/// Reads and edits the tables of routes and pools in the table service.
class configuration_store
{
public:
    /// Waits for a duration between two attempts.
    using pause_hook = std::function<boost::asio::awaitable<void>(duration)>;

    /// The service must outlive the store.
    configuration_store(ports::table_service& service, pause_hook hook);

    /// Reads all rows at one revision. Errors: unavailable, timeout, conflict
    /// when an edit was committed during each attempt.
    boost::asio::awaitable<result<stored_configuration>> read();

    /// Reads the history entry of a revision. Returns nothing when the
    /// revision does not exist.
    boost::asio::awaitable<result<std::optional<configuration::history_entry>>>
    read_history(std::int64_t revision);

    /// Reads the newest `count` entries of the history, oldest first.
    boost::asio::awaitable<result<std::vector<configuration::history_entry>>>
    read_newest_history(std::int64_t count);

    /// Commits an edit. Plans it again when another edit was committed at the
    /// same time, as long as the edited row itself did not change. Errors:
    /// those of `configuration::plan_edit`, unavailable when the edit was
    /// certainly not committed.
    boost::asio::awaitable<result<edit_report>> apply(configuration::edit edit);

    /// Determines whether an edit of unknown outcome was committed. While the
    /// edit can still be committed, commits `barrier`, which changes no row,
    /// as its revision to prevent that.
    boost::asio::awaitable<result<edit_report>> resolve(
        std::string operation_id,
        std::int64_t revision,
        configuration::edit barrier);

private:
    /// Outcome of one transaction.
    struct attempt
    {
        edit_report report;
        /// True when another edit was committed as the planned revision.
        bool revision_taken = false;
    };

    boost::asio::awaitable<result<attempt>> run(configuration::edit_plan plan);
    boost::asio::awaitable<result<attempt>>
    look_up_outcome(configuration::edit_plan plan);

    ports::table_service& table;
    pause_hook pause;
};

} // namespace chicory::control

#endif
