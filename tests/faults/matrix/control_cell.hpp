#ifndef CHICORY_TESTS_FAULTS_MATRIX_CONTROL_CELL_HPP
#define CHICORY_TESTS_FAULTS_MATRIX_CONTROL_CELL_HPP

#include "tests/faults/matrix/matrix_world.hpp"

namespace chicory::faults
{

/// Runs a cell of the control path. An edit of a route, an order to a runner or
/// a graceful stop of a gate is in progress when the fault occurs.
cell_result run_control_cell(const matrix_cell& cell, std::uint64_t seed);

} // namespace chicory::faults

#endif
