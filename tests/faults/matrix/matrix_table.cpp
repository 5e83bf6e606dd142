#include "tests/faults/matrix/matrix_table.hpp"

#include <algorithm>
#include <random>
#include <set>

namespace chicory::faults
{

namespace
{

bool is_shutdown_step(matrix_step step)
{
    return step >= matrix_step::shutdown_announced;
}

bool writes_to_table(matrix_step step)
{
    static const std::set<matrix_step> writing_steps{
        matrix_step::claim_written,
        matrix_step::job_row_stored,
        matrix_step::chunk_leased,
        matrix_step::started_mark,
        matrix_step::chunk_committed,
        matrix_step::cancel_asked,
        matrix_step::edit_sent,
        matrix_step::order_lease_taken};
    return writing_steps.count(step) > 0;
}

bool is_on_runner(matrix_step step)
{
    static const std::set<matrix_step> runner_steps{
        matrix_step::sent_to_runner,
        matrix_step::first_byte,
        matrix_step::item_sent};
    return runner_steps.count(step) > 0;
}

std::string_view get_control_exclusion_reason(const matrix_cell& cell)
{
    const matrix_step step = cell.step.value;
    switch (cell.fault)
    {
    case matrix_fault::runner_killed:
    case matrix_fault::load_reports_late:
    case matrix_fault::vm_list_lagging:
    case matrix_fault::runner_leaving:
        return is_edit_step(step) ? "an edit does not reach a runner" : "";
    case matrix_fault::owner_killed:
        return is_shutdown_step(step)
                   ? "the process that shuts down is the owner"
                   : "owners take no part; see entry_process_killed";
    case matrix_fault::caller_resends:
        return is_shutdown_step(step) ? "" : "no caller takes part";
    case matrix_fault::operators_race:
        return is_edit_step(step) ? "" : "no edit takes part";
    default:
        return "";
    }
}

std::string_view get_request_exclusion_reason(const matrix_cell& cell)
{
    const matrix_step step = cell.step.value;
    const bool online = cell.step.path == matrix_path::online;
    const bool is_cancel_step = step == matrix_step::cancel_asked ||
                                step == matrix_step::cancel_acknowledged;
    if (cell.fault == matrix_fault::operators_race)
    {
        return "no operator takes part; see the steps of an edit";
    }
    if (cell.fault == matrix_fault::object_store_down && online)
    {
        return "online requests use no objects";
    }
    if (cell.fault == matrix_fault::caller_resends && !online && is_cancel_step)
    {
        return "a second cancel is the same call; see caller_resends at "
               "accepted_answer_sent for jobs";
    }
    return "";
}

/// Scenario of a run. One run passes all steps of its scenario.
enum class scenario
{
    request,
    job,
    cancelled_job,
    edit,
    order,
    shutdown,
};

scenario get_scenario(const step_definition& step)
{
    if (step.path == matrix_path::online)
    {
        return scenario::request;
    }
    if (step.path == matrix_path::batch)
    {
        return step.value < matrix_step::cancel_asked ? scenario::job
                                                      : scenario::cancelled_job;
    }
    if (is_edit_step(step.value))
    {
        return scenario::edit;
    }
    return is_shutdown_step(step.value) ? scenario::shutdown : scenario::order;
}

bool is_table_fault(matrix_fault fault)
{
    return fault == matrix_fault::answer_lost ||
           fault == matrix_fault::table_down ||
           fault == matrix_fault::table_slow;
}

bool is_active_from_start(matrix_fault fault)
{
    return fault == matrix_fault::udp_disturbed ||
           fault == matrix_fault::load_reports_late ||
           fault == matrix_fault::runner_crashing;
}

std::string_view
get_pair_exclusion_reason(const matrix_cell& first, const placed_fault& second)
{
    if (get_scenario(first.step) != get_scenario(second.step))
    {
        return "no run passes both steps";
    }
    if (second.step.value < first.step.value)
    {
        return "the steps of a pair are named in their order";
    }
    if (is_table_fault(first.fault) && is_table_fault(second.fault))
    {
        return "the table service has one fault at a time";
    }
    const bool same = first.fault == second.fault;
    if (same && (first.step.value == second.step.value ||
                 is_active_from_start(first.fault)))
    {
        return "a pair holds two faults";
    }
    return "";
}

std::optional<matrix_cell> find_single(std::string_view name)
{
    for (const matrix_cell& cell : all_cells())
    {
        if (cell.name() == name)
        {
            return cell;
        }
    }
    return std::nullopt;
}

/// Returns the reason why the first fault of a cell cannot occur at its step,
/// or an empty text. The second fault is ignored.
std::string_view get_single_exclusion_reason(const matrix_cell& cell)
{
    const matrix_step step = cell.step.value;
    if (cell.fault == matrix_fault::answer_lost && !writes_to_table(step))
    {
        return "no write to the table service at this step";
    }
    if (cell.fault == matrix_fault::runner_crashing && !is_on_runner(step))
    {
        return "a crashing request ends its runner before its first token";
    }
    return cell.step.path == matrix_path::control
               ? get_control_exclusion_reason(cell)
               : get_request_exclusion_reason(cell);
}

} // namespace

bool is_edit_step(matrix_step step)
{
    return step >= matrix_step::edit_sent &&
           step <= matrix_step::revision_adopted;
}

bool is_order_step(matrix_step step)
{
    return step >= matrix_step::order_lease_taken &&
           step <= matrix_step::order_applied;
}

const std::vector<step_definition>& matrix_steps()
{
    using enum matrix_step;
    static const std::vector<step_definition> steps{
        {entry_address_asked, "entry_address_asked", matrix_path::online},
        {request_received, "request_received", matrix_path::online},
        {claim_written, "claim_written", matrix_path::online},
        {sent_to_owner, "sent_to_owner", matrix_path::online},
        {sent_to_runner, "sent_to_runner", matrix_path::online},
        {first_byte, "first_byte", matrix_path::online},
        {mid_stream, "mid_stream", matrix_path::online},
        {last_byte, "last_byte", matrix_path::online},
        {answer_sent, "answer_sent", matrix_path::online},
        {job_received, "job_received", matrix_path::batch},
        {manifest_stored, "manifest_stored", matrix_path::batch},
        {job_row_stored, "job_row_stored", matrix_path::batch},
        {accepted_answer_sent, "accepted_answer_sent", matrix_path::batch},
        {chunk_leased, "chunk_leased", matrix_path::batch},
        {started_mark, "started_mark", matrix_path::batch},
        {item_sent, "item_sent", matrix_path::batch},
        {item_answered, "item_answered", matrix_path::batch},
        {result_stored, "result_stored", matrix_path::batch},
        {chunk_committed, "chunk_committed", matrix_path::batch},
        {results_read, "results_read", matrix_path::batch},
        {cancel_asked, "cancel_asked", matrix_path::batch},
        {cancel_acknowledged, "cancel_acknowledged", matrix_path::batch},
        {edit_sent, "edit_sent", matrix_path::control},
        {edit_committed, "edit_committed", matrix_path::control},
        {revision_seen, "revision_seen", matrix_path::control},
        {revision_adopted, "revision_adopted", matrix_path::control},
        {order_lease_taken, "order_lease_taken", matrix_path::control},
        {order_sent, "order_sent", matrix_path::control},
        {order_applied, "order_applied", matrix_path::control},
        {shutdown_announced, "shutdown_announced", matrix_path::control},
        {drained, "drained", matrix_path::control}};
    return steps;
}

std::string_view get_path_name(matrix_path path)
{
    switch (path)
    {
    case matrix_path::online:
        return "online";
    case matrix_path::batch:
        return "batch";
    case matrix_path::control:
        return "control";
    }
    return "unknown";
}

std::string matrix_cell::name() const
{
    std::string text = std::string(get_path_name(this->step.path)) + "/" +
                       std::string(this->step.name) + "/" +
                       std::string(find_name(matrix_fault_names, this->fault));
    if (this->second)
    {
        const matrix_fault later = this->second->fault;
        text += "+" + std::string(this->second->step.name) + "/" +
                std::string(find_name(matrix_fault_names, later));
    }
    return text;
}

bool matrix_cell::has(matrix_fault searched) const
{
    return this->fault == searched ||
           (this->second && this->second->fault == searched);
}

bool matrix_cell::is_at(matrix_step searched) const
{
    return this->step.value == searched ||
           (this->second && this->second->step.value == searched);
}

std::vector<matrix_cell> all_cells()
{
    std::vector<matrix_cell> cells;
    for (const step_definition& step : matrix_steps())
    {
        for (const enum_entry<matrix_fault>& fault : matrix_fault_names)
        {
            cells.push_back({step, fault.value, std::nullopt});
        }
    }
    return cells;
}

std::vector<matrix_cell> choose_pairs(std::size_t count, std::uint64_t seed)
{
    std::vector<matrix_cell> singles = all_cells();
    std::erase_if(
        singles,
        [](const matrix_cell& cell)
        {
            return !get_exclusion_reason(cell).empty();
        });
    std::vector<matrix_cell> pairs;
    for (const matrix_cell& first : singles)
    {
        for (const matrix_cell& later : singles)
        {
            const placed_fault second = {later.step, later.fault};
            if (get_pair_exclusion_reason(first, second).empty())
            {
                pairs.push_back({first.step, first.fault, second});
            }
        }
    }
    std::mt19937_64 generator(seed);
    std::ranges::shuffle(pairs, generator);
    pairs.resize(std::min(count, pairs.size()));
    return pairs;
}

std::optional<matrix_cell> find_cell(std::string_view name)
{
    const std::size_t split = name.find('+');
    std::optional<matrix_cell> cell = find_single(name.substr(0, split));
    if (!cell || split == std::string_view::npos)
    {
        return cell;
    }
    const std::string path(get_path_name(cell->step.path));
    const std::string later(name.substr(split + 1));
    const std::optional<matrix_cell> second = find_single(path + "/" + later);
    if (!second)
    {
        return std::nullopt;
    }
    cell->second = placed_fault{second->step, second->fault};
    return cell;
}

std::string_view get_exclusion_reason(const matrix_cell& cell)
{
    if (!cell.second)
    {
        return get_single_exclusion_reason(cell);
    }
    const matrix_cell later = {
        cell.second->step, cell.second->fault, std::nullopt};
    for (const std::string_view reason :
         {get_single_exclusion_reason(cell),
          get_single_exclusion_reason(later),
          get_pair_exclusion_reason(cell, *cell.second)})
    {
        if (!reason.empty())
        {
            return reason;
        }
    }
    return "";
}

bool is_in_ci(const matrix_cell& cell)
{
    static const std::set<std::string> ci_cells{
        "online/request_received/entry_process_killed",
        "online/claim_written/answer_lost",
        "online/claim_written/table_down",
        "online/sent_to_owner/owner_killed",
        "online/sent_to_owner/connection_silent",
        "online/sent_to_runner/runner_killed",
        "online/sent_to_runner/runner_crashing",
        "online/first_byte/caller_resends",
        "online/mid_stream/connection_reset",
        "online/mid_stream/runner_killed",
        "online/mid_stream/runner_leaving",
        "online/answer_sent/caller_resends",
        "batch/job_received/entry_process_killed",
        "batch/job_row_stored/answer_lost",
        "batch/accepted_answer_sent/vm_lost",
        "batch/item_sent/entry_process_killed",
        "batch/item_sent/runner_killed",
        "batch/item_answered/owner_killed",
        "batch/chunk_committed/answer_lost",
        "batch/chunk_committed/table_down",
        "batch/cancel_acknowledged/entry_process_killed",
        "control/edit_sent/answer_lost",
        "control/edit_sent/operators_race",
        "control/revision_adopted/control_killed",
        "control/shutdown_announced/connection_reset"};
    return ci_cells.count(cell.name()) > 0;
}

} // namespace chicory::faults
