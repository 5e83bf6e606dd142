#ifndef CHICORY_DRIVERS_HTTP_OBJECT_STORE_HPP
#define CHICORY_DRIVERS_HTTP_OBJECT_STORE_HPP

#include "drivers/json_caller.hpp"
#include "ports/object_store.hpp"

#include <memory>

namespace chicory::drivers
{

/// Returns an object store that uses this caller.
std::unique_ptr<ports::object_store> make_http_object_store(json_caller caller);

} // namespace chicory::drivers

#endif
