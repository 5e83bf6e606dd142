#ifndef CHICORY_TESTS_FAULTS_MATRIX_BATCH_CELL_HPP
#define CHICORY_TESTS_FAULTS_MATRIX_BATCH_CELL_HPP

#include "tests/faults/matrix/matrix_world.hpp"

namespace chicory::faults
{

/// Runs a cell of the batch path. A job is submitted through entry-0 while the
/// fault occurs and submitted again with the same idempotency key afterwards.
/// Its status is then read from both batch processes and its results are
/// checked.
cell_result run_batch_cell(const matrix_cell& cell, std::uint64_t seed);

} // namespace chicory::faults

#endif
