/// Public header of the ports library: what the product asks of the platform.
#ifndef CHICORY_PORTS_PORTS_HPP
#define CHICORY_PORTS_PORTS_HPP

#include "ports/object_store.hpp"
#include "ports/record_store.hpp"
#include "ports/table_service.hpp"
#include "ports/vm_list.hpp"

#endif
