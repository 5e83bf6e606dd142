/// Public header of the ports library: the interfaces through which the system
/// uses services of the platform.
#ifndef CHICORY_PORTS_PORTS_HPP
#define CHICORY_PORTS_PORTS_HPP

#include "ports/object_store.hpp"
#include "ports/record_store.hpp"
#include "ports/table_service.hpp"
#include "ports/vm_list.hpp"

#endif
