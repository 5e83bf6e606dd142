/// Public header of the drivers library: implementations of the ports that call
/// the project's own platform stand-in over HTTP.
#ifndef CHICORY_DRIVERS_DRIVERS_HPP
#define CHICORY_DRIVERS_DRIVERS_HPP

#include "drivers/http_platform.hpp"
#include "ports/ports.hpp"

#endif
