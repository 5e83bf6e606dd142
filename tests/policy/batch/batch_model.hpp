/// Model of a job that several processes run on an in-memory table service.
/// Random steps terminate processes, and table service calls fail, lose their
/// responses or take effect late.
#ifndef CHICORY_TESTS_POLICY_BATCH_BATCH_MODEL_HPP
#define CHICORY_TESTS_POLICY_BATCH_BATCH_MODEL_HPP

#include "policy/batch/batch.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicory::batch
{

inline constexpr std::uint64_t chunk_count = 3;
inline constexpr std::uint64_t chunk_items = 4;
inline constexpr std::uint64_t item_count = chunk_count * chunk_items;
inline constexpr std::size_t process_count = 3;

/// Returns the charts that the daemons use.
const lifecycles& get_charts();

bool is_not_repeatable(std::uint64_t index);

/// Fault of a call to the table service.
enum class call_fault
{
    none,
    unreachable,
    response_dropped,
    /// The response is dropped and the write takes effect later.
    delayed,
};

struct fake_table
{
    std::map<std::string, found_row> rows;
    std::vector<write_plan> delayed;
    std::int64_t last_version = 0;

    std::vector<found_row> apply(const write_plan& plan)
    {
        std::vector<found_row> conflicts;
        for (const planned_condition& condition : plan.conditions)
        {
            const found_row row = this->read(condition.key);
            if (row.version != condition.version)
            {
                conflicts.push_back(row);
            }
        }
        if (!conflicts.empty())
        {
            return conflicts;
        }
        for (const planned_write& write : plan.writes)
        {
            this->rows.erase(write.key);
            if (write.value)
            {
                this->rows[write.key] = {
                    write.key, *write.value, ++this->last_version};
            }
        }
        return conflicts;
    }

    write_outcome transact(
        const write_plan& plan,
        call_fault fault,
        std::vector<found_row>& conflicts)
    {
        if (fault == call_fault::unreachable)
        {
            return write_outcome::no_effect;
        }
        if (fault == call_fault::delayed)
        {
            this->delayed.push_back(plan);
            return write_outcome::unknown;
        }
        conflicts = this->apply(plan);
        return fault == call_fault::none ? write_outcome::done
                                         : write_outcome::unknown;
    }

    found_row read(const std::string& key) const
    {
        const auto found = this->rows.find(key);
        return found == this->rows.end() ? found_row{key, "", 0}
                                         : found->second;
    }
};

struct held_chunk
{
    stored_chunk chunk;
    std::unique_ptr<chunk_run> run;
    /// Attempts in progress.
    std::vector<item_attempt> sent;
};

struct fake_process
{
    std::map<std::string, held_chunk> held;
    commit_queue commits{{}, 1};
};

struct batch_simulation
{
    fake_table table;
    std::map<std::string, std::string> objects;
    std::array<fake_process, process_count> processes;
    std::vector<int> run_counts = std::vector<int>(item_count, 0);
    stored_job job;
    std::optional<std::map<std::string, found_row>> rows_at_cancel;
    time_point now{std::chrono::seconds(1000)};
    std::uint64_t operations = 0;

    batch_simulation();

    std::string make_operation_id();

    stored_chunk read_chunk(const std::string& name) const;

    std::vector<std::string> chunk_names() const;

    std::vector<std::pair<std::uint64_t, item_request>>
    read_items(const chunk_record& record) const;

    void lease_chunk(fake_process& process, const std::string& name);

    void mark_items(fake_process& process, held_chunk& held);

    void send_items(held_chunk& held);

    void end_attempt(held_chunk& held, std::uint32_t outcome_code);

    void finish_chunk(fake_process& process, const std::string& name);

    void run_commit_action(fake_process& process, call_fault fault);

    void cancel_job();

    void apply_delayed_write();

    /// Executes the step that `code` selects.
    void run_random_step(std::uint32_t code);

    void advance_chunk(
        fake_process& process,
        held_chunk& held,
        const std::string& name,
        std::uint32_t code);

    /// Replaces one process by a new one, then lets all processes finish their
    /// chunks and the new process lease the remaining ones.
    void run_to_completion();

    void advance_process(fake_process& process);

    std::vector<int> count_results() const;
};

} // namespace chicory::batch

#endif
