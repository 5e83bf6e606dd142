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

/// The configuration as stored in the table service.
struct stored_configuration
{
    configuration::table_set tables;
    configuration::revision_row revision;
};

/// Reads the row of the fleet-wide revision; its revision is zero while the row
/// is missing. Errors: those of the table service; invalid_input for a row that
/// cannot be decoded.
boost::asio::awaitable<result<configuration::revision_row>>
read_revision(ports::table_service& table);

/// Reads all routes and pools at one revision. The revision row is read before
/// and after them. Errors: conflict when an edit changed the revision in
/// between; those of the table service; invalid_input for a row that cannot be
/// decoded.
boost::asio::awaitable<result<stored_configuration>>
read_configuration(ports::table_service& table);

} // namespace chicory::control

#endif
