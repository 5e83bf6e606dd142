#ifndef CHICORY_DRIVERS_HTTP_VM_LIST_HPP
#define CHICORY_DRIVERS_HTTP_VM_LIST_HPP

#include "drivers/json_caller.hpp"
#include "ports/vm_list.hpp"

#include <memory>

namespace chicory::drivers
{

/// Returns a VM list that uses this caller.
std::unique_ptr<ports::vm_list> make_http_vm_list(json_caller caller);

} // namespace chicory::drivers

#endif
