/// Public header of the backend library: the port to backend servers, that is
/// model engines and plain services.
#ifndef CHICORY_BACKEND_BACKEND_HPP
#define CHICORY_BACKEND_BACKEND_HPP

#include "backend/backend_server.hpp"

#endif
