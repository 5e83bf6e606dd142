#ifndef CHICORY_TESTS_FAULTS_MATRIX_MATRIX_TABLE_HPP
#define CHICORY_TESTS_FAULTS_MATRIX_MATRIX_TABLE_HPP

#include "core/core.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::faults
{

/// The path of work that is in progress when the fault occurs.
enum class matrix_path
{
    online,
    batch,
    control,
};

/// All steps of all paths, in the order of each path.
enum class matrix_step
{
    entry_address_asked,
    request_received,
    claim_written,
    sent_to_owner,
    sent_to_runner,
    first_byte,
    mid_stream,
    last_byte,
    answer_sent,
    job_received,
    manifest_stored,
    job_row_stored,
    accepted_answer_sent,
    chunk_leased,
    started_mark,
    item_sent,
    item_answered,
    result_stored,
    chunk_committed,
    results_read,
    cancel_asked,
    cancel_acknowledged,
    edit_sent,
    edit_committed,
    revision_seen,
    revision_adopted,
    order_lease_taken,
    order_sent,
    order_applied,
    shutdown_announced,
    drained,
};

/// All faults.
enum class matrix_fault
{
    entry_process_killed,
    owner_killed,
    runner_killed,
    control_killed,
    process_paused,
    vm_lost,
    connection_refused,
    connection_reset,
    connection_silent,
    udp_disturbed,
    answer_lost,
    table_down,
    table_slow,
    object_store_down,
    load_reports_late,
    vm_list_lagging,
    runner_crashing,
    runner_leaving,
    caller_resends,
    operators_race,
};

/// A step with its name and its path.
struct step_definition
{
    matrix_step value;
    std::string_view name;
    matrix_path path;
};

/// Returns all steps in their order.
const std::vector<step_definition>& matrix_steps();

inline constexpr enum_table<matrix_fault, 20> matrix_fault_names = {{
    {matrix_fault::entry_process_killed, "entry_process_killed"},
    {matrix_fault::owner_killed, "owner_killed"},
    {matrix_fault::runner_killed, "runner_killed"},
    {matrix_fault::control_killed, "control_killed"},
    {matrix_fault::process_paused, "process_paused"},
    {matrix_fault::vm_lost, "vm_lost"},
    {matrix_fault::connection_refused, "connection_refused"},
    {matrix_fault::connection_reset, "connection_reset"},
    {matrix_fault::connection_silent, "connection_silent"},
    {matrix_fault::udp_disturbed, "udp_disturbed"},
    {matrix_fault::answer_lost, "answer_lost"},
    {matrix_fault::table_down, "table_down"},
    {matrix_fault::table_slow, "table_slow"},
    {matrix_fault::object_store_down, "object_store_down"},
    {matrix_fault::load_reports_late, "load_reports_late"},
    {matrix_fault::vm_list_lagging, "vm_list_lagging"},
    {matrix_fault::runner_crashing, "runner_crashing"},
    {matrix_fault::runner_leaving, "runner_leaving"},
    {matrix_fault::caller_resends, "caller_resends"},
    {matrix_fault::operators_race, "operators_race"},
}};

/// A fault and the step at which it occurs.
struct placed_fault
{
    step_definition step;
    matrix_fault fault;
};

/// One cell of the matrix, or a pair of faults in one run.
struct matrix_cell
{
    step_definition step;
    matrix_fault fault;
    /// The second fault of a pair; empty for a cell of the matrix.
    std::optional<placed_fault> second;

    /// Returns "path/step/fault", and "+step/fault" for a second fault.
    std::string name() const;

    /// Returns whether the first or the second fault is of a kind.
    bool has(matrix_fault searched) const;

    /// Returns whether the first or the second fault occurs at a step.
    bool is_at(matrix_step searched) const;
};

std::string_view get_path_name(matrix_path path);

/// Return whether a step belongs to an edit, or to an order to an engine.
bool is_edit_step(matrix_step step);
bool is_order_step(matrix_step step);

/// Returns all cells, ordered by step.
std::vector<matrix_cell> all_cells();

/// Returns `count` different pairs of faults, or all if there are fewer. The
/// seed determines the choice. One run passes both steps of a pair, in the
/// order of the steps.
std::vector<matrix_cell> choose_pairs(std::size_t count, std::uint64_t seed);

/// Returns the cell or the pair with a name, or nothing if there is none.
std::optional<matrix_cell> find_cell(std::string_view name);

/// Returns the reason why a fault cannot occur at a step, or an empty text if
/// it can.
std::string_view get_exclusion_reason(const matrix_cell& cell);

/// Returns whether a cell belongs to the fixed subset that every CI run
/// executes.
bool is_in_ci(const matrix_cell& cell);

} // namespace chicory::faults

#endif
