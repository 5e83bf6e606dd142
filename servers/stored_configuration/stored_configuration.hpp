/// Public header of the library that reads the configuration from the table
/// service.
#ifndef CHICORY_SERVERS_STORED_CONFIGURATION_STORED_CONFIGURATION_HPP
#define CHICORY_SERVERS_STORED_CONFIGURATION_STORED_CONFIGURATION_HPP

#include "core/core.hpp"
#include "drivers/drivers.hpp"
#include "policy/configuration/configuration.hpp"

#include <boost/asio/awaitable.hpp>

namespace chicory::control
{

/// The configuration as the table service holds it.
struct stored_configuration
{
    configuration::table_set tables;
    configuration::revision_row revision;
};

/// Reads the fleet-wide revision; zero while there is none. Errors of the
/// table service.
boost::asio::awaitable<result<configuration::revision_row>>
read_revision(ports::table_service& table);

/// Reads routes and pools at one revision: the revision row is read before
/// and after, and an edit in between gives a conflict. Errors of the table
/// service, invalid_input for a row of another form.
boost::asio::awaitable<result<stored_configuration>>
read_configuration(ports::table_service& table);

} // namespace chicory::control

#endif
