#ifndef CHICORY_TESTS_FAULTS_MATRIX_MATRIX_WORLD_HPP
#define CHICORY_TESTS_FAULTS_MATRIX_MATRIX_WORLD_HPP

#include "tests/faults/matrix/matrix_table.hpp"
#include "tests/process/fleet.hpp"

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chicory::faults
{

/// The bytes on a proxy leg at which a step is held.
struct hold_place
{
    std::string leg;
    std::string direction;
    std::string text;
    /// True to forward the bytes and hold the traffic that follows them.
    bool after = true;
    std::int64_t count = 1;
};

/// Result of the run of a cell.
struct cell_result
{
    /// False if the fault could not be applied at its step.
    bool reached = false;
    /// True if the second fault of a pair was applied at its own step;
    /// otherwise it was applied while the first fault was active.
    bool second_at_step = false;
    /// Guarantees that were violated; empty if the cell passed.
    std::vector<std::string> violations;
};

/// The fleet of one cell. entry-0 is in another availability zone than the two
/// runners, so that every request passes from its entry gate to an owner on
/// entry-1. All traffic passes through the proxy.
class matrix_world
{
public:
    matrix_world(const matrix_cell& initial_cell, std::uint64_t seed);

    /// Waits until both gates serve the route. Records a violation and returns
    /// false if they do not.
    bool start();

    /// Holds the step of the cell; does nothing if the step has no hold point.
    /// The name of the leg may end in `*`.
    void hold(const std::optional<hold_place>& place);

    /// Holds the step of the second fault of a pair; does nothing if the step
    /// has no hold point.
    void hold_second(const std::optional<hold_place>& place);

    /// Waits until the hold was hit `required_hits` times or `is_over` returns
    /// true because this cannot happen any more. Sets `reached`.
    void wait_for_hold(
        std::int64_t required_hits, const std::function<bool()>& is_over);

    /// Applies the fault of the cell.
    void inject();

    /// Forwards the held bytes.
    void release();

    /// Applies the second fault if the cell is a pair. Waits for the step of
    /// the fault first, until a time limit passes or `is_over` returns true
    /// because the step cannot occur any more. Then forwards the held bytes.
    void inject_second(const std::function<bool()>& is_over);

    /// Returns the time in milliseconds at which a runner was ordered to leave,
    /// or zero.
    std::int64_t leaving_since_ms() const;

    /// Returns the runner that was ordered to leave, or null if there is none
    /// or if it was restarted.
    process::runner_vm* leaving_runner();

    /// Removes the faults: heals the proxy, restores the services and restarts
    /// stopped processes.
    void repair();

    /// Records a violation of `promise` if `holds` is false.
    void expect(bool holds, const std::string& promise);

    /// Returns the runs of a custom_id in the logs of the runners, without
    /// refusals.
    std::vector<process::logged_run> find_runs(const std::string& custom_id);

    process::fleet& fleet();
    const matrix_cell& cell() const;
    cell_result& outcome();

    /// Returns the port of the proxy leg from callers to the gate on entry-0.
    std::uint16_t caller_port() const;

    /// Returns the port of the proxy leg from callers to the batch process on
    /// entry-0.
    std::uint16_t batch_port() const;

private:
    /// Waits until requests to entry-0 pass over the proxied link to entry-1. A
    /// link that was opened before the VM list showed the proxy's port connects
    /// directly to the gate and stays in use; a restarted gate uses the listed
    /// port.
    bool wait_for_owner(std::chrono::seconds limit);
    std::int64_t add_hold(const hold_place& place);
    void release_hold(std::int64_t& id);
    void inject(matrix_fault fault);
    void make_runner_leave();
    void kill_process(process::entry_vm& vm, process::daemon which);
    void kill_busy_runner();
    void pause_process();
    static void
    pause(process::child_process& paused, std::chrono::seconds length);
    /// Returns the entry VM that issues the orders of the pool, according to
    /// the logs.
    process::entry_vm& find_order_issuer();
    process::runner_vm& find_busy_runner();

    matrix_cell current_cell;
    process::fleet test_fleet;
    cell_result result;
    std::int64_t hold_id = -1;
    std::int64_t second_hold_id = -1;
    std::int64_t leaving_start_ms = 0;
    std::string leaving_id;
    pid_t leaving_pid = 0;
    std::uint16_t caller_leg_port = 0;
    std::uint16_t batch_leg_port = 0;
};

/// Name of the route that cells use, and its key.
extern const std::string cell_route;
extern const std::string cell_key;

/// Returns the text that makes a request crash the runners of a cell, or an
/// empty text.
std::string get_crash_mark(const matrix_cell& cell, std::uint64_t seed);

/// Text that every request of a cell contains.
extern const std::string cell_mark;

} // namespace chicory::faults

#endif
