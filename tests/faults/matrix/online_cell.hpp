#ifndef CHICORY_TESTS_FAULTS_MATRIX_ONLINE_CELL_HPP
#define CHICORY_TESTS_FAULTS_MATRIX_ONLINE_CELL_HPP

#include "tests/faults/matrix/matrix_world.hpp"

namespace chicory::faults
{

/// Runs a cell of the online path. A repeatable and a not-repeatable request
/// are in progress concurrently when the fault occurs. Afterwards the caller
/// sends them again through the other gate.
cell_result run_online_cell(const matrix_cell& cell, std::uint64_t seed);

} // namespace chicory::faults

#endif
