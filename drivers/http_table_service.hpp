#ifndef CHICORY_DRIVERS_HTTP_TABLE_SERVICE_HPP
#define CHICORY_DRIVERS_HTTP_TABLE_SERVICE_HPP

#include "drivers/json_caller.hpp"
#include "ports/table_service.hpp"

#include <memory>

namespace chicory::drivers
{

/// Returns a table service that uses this caller.
std::unique_ptr<ports::table_service>
make_http_table_service(json_caller caller);

} // namespace chicory::drivers

#endif
