#include "tests/faults/matrix/matrix_world.hpp"

#include "tests/process/wait.hpp"

#include <csignal>
#include <thread>

namespace chicory::faults
{

namespace json = boost::json;
using process::daemon;

const std::string cell_route = "letters";
const std::string cell_key = "cell-member-key";
const std::string cell_mark = "cell-";

namespace
{

const std::string service = "llm";
constexpr std::int64_t late_report_ms = 5000;
constexpr std::int64_t list_lag_ms = 30000;
/// Longer than the leases of chunks and of orders plus the time to detect that
/// they expired.
constexpr std::chrono::seconds long_pause(25);
/// Longer than the heartbeat timeouts of links and of the membership.
constexpr std::chrono::seconds short_pause(5);
constexpr std::chrono::seconds outage_duration(2);
/// Time after which the first link between the gates counts as a direct
/// connection that bypasses the proxy.
constexpr std::chrono::seconds first_link_limit(5);
/// Limit of the wait for the step of the second fault of a pair.
constexpr std::chrono::seconds second_step_limit(4);

process::runner_options
make_options(const matrix_cell& cell, std::uint64_t seed)
{
    process::runner_options options;
    options.slots = 4;
    options.token_ms = 10;
    if (cell.has(matrix_fault::load_reports_late))
    {
        options.load_lag_ms = late_report_ms;
    }
    options.crash_mark = get_crash_mark(cell, seed);
    return options;
}

} // namespace

std::string get_crash_mark(const matrix_cell& cell, std::uint64_t seed)
{
    if (!cell.has(matrix_fault::runner_crashing))
    {
        return "";
    }
    // The name of one item, as the load tool generates it.
    return cell.step.path == matrix_path::batch
               ? cell_mark + "item-" + std::to_string(seed) + "-3"
               : "crashing";
}

matrix_world::matrix_world(const matrix_cell& cell, std::uint64_t seed)
    : current_cell(cell), test_fleet("cell", seed)
{
    this->test_fleet.add_runner(service, "b", make_options(cell, seed), true);
    this->test_fleet.add_runner(service, "b", make_options(cell, seed), true);
    this->test_fleet.add_entry_vm("a", true);
    this->test_fleet.add_entry_vm("b", true);
    this->test_fleet.publish_vms();
    const process::entry_vm& first = this->test_fleet.entry(0);
    this->caller_leg_port =
        this->test_fleet.open_leg("caller", first.gate_http);
    this->batch_leg_port = this->test_fleet.open_leg("batch", first.batch_http);
}

bool matrix_world::start()
{
    const bool edited =
        this->test_fleet.set_pool(service, {"service=" + service}) == 0 &&
        this->test_fleet.set_route(
            cell_route,
            {"member=kremstal",
             "pool=" + service,
             process::key_digest(cell_key)}) == 0;
    this->expect(edited, "chicoryctl sets a pool and a route");
    const bool serving =
        edited && this->test_fleet.wait_until_serving(cell_route, cell_key);
    this->expect(serving, "every gate serves a route after its edit");
    bool owned = serving && this->wait_for_owner(first_link_limit);
    if (serving && !owned)
    {
        process::entry_vm& first = this->test_fleet.entry(0);
        this->kill_process(first, daemon::gate);
        this->test_fleet.start_daemon(first, daemon::gate);
        owned = this->wait_for_owner(process::condition_limit);
    }
    this->expect(owned, "requests to entry-0 pass to the owner on entry-1");
    if (this->current_cell.has(matrix_fault::udp_disturbed))
    {
        for (const char* const fault : {"loss", "reorder"})
        {
            this->test_fleet.call_proxy(
                "/faults",
                {{"leg", "entry-*"}, {"fault", fault}, {"percent", 30}});
        }
    }
    return owned;
}

bool matrix_world::wait_for_owner(std::chrono::seconds limit)
{
    static const std::string prompt = "owner-check";
    const json::value rule = this->test_fleet.call_proxy(
        "/rules",
        {{"leg", "entry-1-link"},
         {"direction", "request"},
         {"text", prompt},
         {"fault", "note"}});
    const std::int64_t id = rule.at("id").as_int64();
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers["authorization"] = "Bearer " + cell_key;
    request.headers["content-type"] = "application/json";
    request.body = json::serialize(json::object{
        {"model", cell_route}, {"prompt", prompt}, {"max_tokens", 1}});
    return process::wait_until(
        [this, id, &request]()
        {
            process::call(this->test_fleet.entry(0).gate_http, request);
            return this->test_fleet.count_hits(id) > 0;
        },
        limit);
}

std::int64_t matrix_world::add_hold(const hold_place& place)
{
    const json::value made = this->test_fleet.call_proxy(
        "/rules",
        {{"leg", place.leg},
         {"direction", place.direction},
         {"text", place.text},
         {"fault", "hold"},
         {"after", place.after},
         {"count", place.count}});
    return made.at("id").as_int64();
}

void matrix_world::hold(const std::optional<hold_place>& place)
{
    if (place)
    {
        this->hold_id = this->add_hold(*place);
    }
}

void matrix_world::hold_second(const std::optional<hold_place>& place)
{
    if (place)
    {
        this->second_hold_id = this->add_hold(*place);
    }
}

void matrix_world::wait_for_hold(
    std::int64_t required_hits, const std::function<bool()>& is_over)
{
    if (this->hold_id < 0)
    {
        this->result.reached = true;
        return;
    }
    std::int64_t hits = 0;
    process::wait_until(
        [this, &hits, &is_over, required_hits]()
        {
            const bool ended = is_over();
            hits = this->test_fleet.count_hits(this->hold_id);
            return hits >= required_hits || ended;
        });
    this->result.reached = hits > 0;
}

void matrix_world::release_hold(std::int64_t& id)
{
    if (id >= 0)
    {
        this->test_fleet.call_proxy("/release", {{"id", id}});
        id = -1;
    }
}

void matrix_world::release()
{
    this->release_hold(this->hold_id);
}

void matrix_world::inject_second(const std::function<bool()>& is_over)
{
    if (!this->current_cell.second)
    {
        return;
    }
    if (this->second_hold_id >= 0)
    {
        process::wait_until(
            [this, &is_over]()
            {
                this->result.second_at_step =
                    this->test_fleet.count_hits(this->second_hold_id) > 0;
                return this->result.second_at_step || is_over();
            },
            second_step_limit);
    }
    this->inject(this->current_cell.second->fault);
    this->release_hold(this->second_hold_id);
}

void matrix_world::kill_process(process::entry_vm& vm, daemon which)
{
    vm.daemons[which]->signal(SIGKILL);
    vm.daemons[which]->wait();
}

process::runner_vm& matrix_world::find_busy_runner()
{
    const std::vector<process::logged_run> runs = this->test_fleet.read_runs();
    for (std::size_t index = 0; index < this->test_fleet.runner_count();
         ++index)
    {
        for (const process::logged_run& run : runs)
        {
            if (run.outcome == "running" &&
                run.runner == this->test_fleet.runner(index).id &&
                this->test_fleet.runner(index).server->is_running())
            {
                return this->test_fleet.runner(index);
            }
        }
    }
    const bool first_runs = this->test_fleet.runner(0).server->is_running();
    return this->test_fleet.runner(first_runs ? 0 : 1);
}

void matrix_world::kill_busy_runner()
{
    process::runner_vm& busy = this->find_busy_runner();
    busy.server->signal(SIGKILL);
    busy.server->wait();
}

process::entry_vm& matrix_world::find_order_issuer()
{
    static const std::string lease_event = "order_lease_taken";
    process::entry_vm& second = this->test_fleet.entry(1);
    const std::string output = second.daemons[daemon::control]->output();
    return output.find(lease_event) == std::string::npos
               ? this->test_fleet.entry(0)
               : second;
}

void matrix_world::pause(
    process::child_process& paused, std::chrono::seconds length)
{
    paused.signal(SIGSTOP);
    std::this_thread::sleep_for(length);
    paused.signal(SIGCONT);
}

void matrix_world::pause_process()
{
    const matrix_step step = this->current_cell.step.value;
    if (this->current_cell.step.path == matrix_path::batch)
    {
        pause(*this->test_fleet.entry(0).daemons[daemon::batch], long_pause);
    }
    else if (is_order_step(step))
    {
        pause(*this->find_order_issuer().daemons[daemon::control], long_pause);
    }
    else if (is_edit_step(step))
    {
        pause(*this->test_fleet.entry(1).daemons[daemon::control], short_pause);
    }
    else
    {
        pause(*this->test_fleet.entry(1).daemons[daemon::gate], short_pause);
    }
}

void matrix_world::make_runner_leave()
{
    process::runner_vm& busy = this->find_busy_runner();
    process::post(busy.http, "/control", R"({"leave":true})");
    this->leaving_start_ms = read_wall_clock_ms();
    this->leaving_id = busy.id;
    this->leaving_pid = busy.server->id();
}

std::int64_t matrix_world::leaving_since_ms() const
{
    return this->leaving_start_ms;
}

process::runner_vm* matrix_world::leaving_runner()
{
    for (std::size_t index = 0; index < this->test_fleet.runner_count();
         ++index)
    {
        process::runner_vm& vm = this->test_fleet.runner(index);
        if (vm.id == this->leaving_id && vm.server->id() == this->leaving_pid)
        {
            return &vm;
        }
    }
    return nullptr;
}

void matrix_world::inject()
{
    this->inject(this->current_cell.fault);
}

void matrix_world::inject(matrix_fault fault)
{
    const bool is_batch = this->current_cell.step.path == matrix_path::batch;
    const auto set_fault = [this](const char* leg, const char* kind)
    {
        this->test_fleet.call_proxy("/faults", {{"leg", leg}, {"fault", kind}});
    };
    const auto set_service =
        [this](const char* name, const char* mode, std::int64_t delay_ms)
    {
        this->test_fleet.set_platform_fault(
            {{"service", name}, {"mode", mode}, {"delay_ms", delay_ms}});
    };
    switch (fault)
    {
    case matrix_fault::entry_process_killed:
        this->kill_process(
            this->test_fleet.entry(0), is_batch ? daemon::batch : daemon::gate);
        break;
    case matrix_fault::owner_killed:
        this->kill_process(this->test_fleet.entry(1), daemon::gate);
        break;
    case matrix_fault::control_killed:
        this->kill_process(this->test_fleet.entry(0), daemon::control);
        this->kill_process(this->test_fleet.entry(1), daemon::control);
        break;
    case matrix_fault::vm_lost:
        this->test_fleet.kill(this->test_fleet.entry(0));
        break;
    case matrix_fault::vm_list_lagging:
        this->test_fleet.publish_vms(list_lag_ms);
        this->kill_busy_runner();
        break;
    case matrix_fault::runner_killed:
        this->kill_busy_runner();
        break;
    case matrix_fault::process_paused:
        this->pause_process();
        break;
    case matrix_fault::connection_refused:
        set_fault("entry-1-link", "refuse");
        set_fault("llm-*", "refuse");
        break;
    case matrix_fault::connection_reset:
        set_fault("entry-*", "reset");
        set_fault("llm-*", "reset");
        break;
    case matrix_fault::connection_silent:
        set_fault("entry-*", "silence");
        set_fault("llm-*", "silence");
        break;
    case matrix_fault::table_down:
        set_service("table", "down", 0);
        break;
    case matrix_fault::table_slow:
        set_service("table", "slow", 500);
        break;
    case matrix_fault::object_store_down:
        set_service("object", "down", 0);
        break;
    case matrix_fault::runner_leaving:
        this->make_runner_leave();
        break;
    case matrix_fault::answer_lost:
    case matrix_fault::udp_disturbed:
    case matrix_fault::load_reports_late:
    case matrix_fault::runner_crashing:
    case matrix_fault::caller_resends:
    case matrix_fault::operators_race:
        // These faults are active from the start of the cell or are applied by
        // the path's own code.
        break;
    }
}

void matrix_world::repair()
{
    std::this_thread::sleep_for(outage_duration);
    this->test_fleet.call_proxy("/heal", {});
    for (const char* const name : {"table", "object", "vm_list"})
    {
        this->test_fleet.set_platform_fault(
            {{"service", name}, {"mode", "up"}});
    }
    this->test_fleet.publish_vms(0);
    for (std::size_t index = 0; index < this->test_fleet.runner_count();
         ++index)
    {
        process::runner_vm& vm = this->test_fleet.runner(index);
        if (!vm.server->is_running())
        {
            if (this->current_cell.step.path == matrix_path::online)
            {
                vm.options.crash_mark.clear();
            }
            this->test_fleet.restart(vm);
        }
    }
    for (std::size_t index = 0; index < this->test_fleet.entry_count(); ++index)
    {
        process::entry_vm& vm = this->test_fleet.entry(index);
        for (const auto& [which, process] : vm.daemons)
        {
            if (!process->is_running())
            {
                this->test_fleet.start_daemon(vm, which);
            }
        }
    }
}

void matrix_world::expect(bool holds, const std::string& promise)
{
    if (!holds)
    {
        this->result.violations.push_back(promise);
    }
}

std::vector<process::logged_run>
matrix_world::find_runs(const std::string& custom_id)
{
    std::vector<process::logged_run> runs;
    for (const process::logged_run& run : this->test_fleet.read_runs())
    {
        if (run.custom_id == custom_id && run.outcome != "refused")
        {
            runs.push_back(run);
        }
    }
    return runs;
}

process::fleet& matrix_world::fleet()
{
    return this->test_fleet;
}

const matrix_cell& matrix_world::cell() const
{
    return this->current_cell;
}

cell_result& matrix_world::outcome()
{
    return this->result;
}

std::uint16_t matrix_world::caller_port() const
{
    return this->caller_leg_port;
}

std::uint16_t matrix_world::batch_port() const
{
    return this->batch_leg_port;
}

} // namespace chicory::faults
