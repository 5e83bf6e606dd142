/// Public header of the drivers library: HTTP clients of the ports for the
/// project's own platform stand-in.
#ifndef CHICORY_DRIVERS_DRIVERS_HPP
#define CHICORY_DRIVERS_DRIVERS_HPP

#include "drivers/http_platform.hpp"
#include "ports/ports.hpp"

#endif
