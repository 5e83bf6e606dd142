/// Public header of the batch library, which accepts jobs and sends their
/// items to runners.
#ifndef CHICORY_SERVERS_BATCH_BATCH_HPP
#define CHICORY_SERVERS_BATCH_BATCH_HPP

#include "servers/batch/batch_process.hpp"

#endif
