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

/// What became of an edit.
struct edit_report
{
    configuration::edit_outcome outcome =
        configuration::edit_outcome::not_committed;
    /// Revision that the edit made or was to make.
    std::int64_t revision = 0;
    std::string operation_id;
};

/// Reads and edits the tables of routes and pools in the table service.
class configuration_store
{
public:
    /// Waits between two attempts.
    using pause_hook = std::function<boost::asio::awaitable<void>(duration)>;

    /// The service must outlive the store.
    configuration_store(ports::table_service& service, pause_hook hook);

    /// Reads all rows at one revision. Errors: unavailable, timeout, conflict
    /// when edits came too fast to read between them.
    boost::asio::awaitable<result<stored_configuration>> read();

    /// Reads one revision's entry, or nothing.
    boost::asio::awaitable<result<std::optional<configuration::history_entry>>>
    read_history(std::int64_t revision);

    /// Reads up to `count` entries that end with the newest one.
    boost::asio::awaitable<result<std::vector<configuration::history_entry>>>
    read_newest_history(std::int64_t count);

    /// Runs an edit. It is planned anew while only other rows were edited
    /// meanwhile. Errors: as of `configuration::plan_edit`, unavailable when
    /// it was certainly not committed.
    boost::asio::awaitable<result<edit_report>>
    apply(configuration::edit wanted);

    /// Finds out whether an edit of unknown outcome took effect. While it may
    /// still be under way, an edit that changes nothing takes its revision.
    boost::asio::awaitable<result<edit_report>> settle(
        std::string operation_id,
        std::int64_t revision,
        configuration::edit barrier);

private:
    /// Outcome of one transaction.
    struct attempt
    {
        edit_report report;
        /// True when another edit took the revision.
        bool overtaken = false;
    };

    boost::asio::awaitable<result<attempt>> run(configuration::edit_plan plan);
    boost::asio::awaitable<result<attempt>>
    look_up(configuration::edit_plan plan);

    ports::table_service& table;
    pause_hook pause;
};

} // namespace chicory::control

#endif
