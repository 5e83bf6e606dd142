#include "tests/faults/matrix/control_cell.hpp"

#include "tests/process/http_call.hpp"
#include "tests/process/wait.hpp"
#include "tests/standins/generated_response.hpp"

#include <atomic>
#include <csignal>
#include <map>
#include <optional>
#include <thread>

namespace chicory::faults
{

namespace json = boost::json;

namespace
{

const std::string completions = "/v1/completions";
const std::string new_route = "parcels";
const std::string new_key = "parcel-key";
constexpr int committed_exit = 0;
constexpr int unknown_exit = 4;
constexpr std::int64_t long_response_tokens = 300;
const std::string long_run = "cell-long";
constexpr int checks_of_a_served_route = 20;
constexpr int served = 200;
/// Time after which a leaving runner must not receive an order.
constexpr std::int64_t leaving_grace_ms = 3000;

bool is_expected_response(
    const process::partial_response& received, const net::http_request& request)
{
    return received.is_complete &&
           received.response.body ==
               standin::generated_response(completions, request.body)
                   .all_bytes();
}

/// A control cell; see `run_control_cell`.
class control_cell
{
public:
    control_cell(const matrix_cell& cell, std::uint64_t seed)
        : world(cell, seed), step(cell.step.value)
    {
    }

    cell_result run();

private:
    void run_edit();
    void run_order();
    void check_orders(const process::runner_vm& vm, bool is_leaving);
    void run_shutdown();
    void restart_stopped(process::entry_vm& vm, pid_t stopping);
    int edit();
    /// Returns the HTTP status of a request on the route that the edit adds.
    int call_new_route(std::size_t index);
    bool serves(std::size_t index);
    void place_holds();
    bool has(matrix_fault searched) const;
    void check_edit(int exit_code);
    static net::http_request
    make_request(const std::string& route, const std::string& key, bool stream);

    matrix_world world;
    matrix_step step;
};

net::http_request control_cell::make_request(
    const std::string& route, const std::string& key, bool stream)
{
    json::object body;
    body["model"] = route;
    body["prompt"] = cell_mark + "control";
    body["max_tokens"] = stream ? long_response_tokens : 1;
    body["stream"] = stream;
    body["metadata"] = json::object{{"custom_id", stream ? long_run : ""}};
    net::http_request request;
    request.method = "POST";
    request.target = completions;
    request.headers["authorization"] = "Bearer " + key;
    request.headers["content-type"] = "application/json";
    request.body = json::serialize(body);
    return request;
}

int control_cell::edit()
{
    std::string output;
    return this->world.fleet().run_chicoryctl(
        {"route",
         "set",
         new_route,
         "member=amostra-serra",
         "pool=llm",
         process::key_digest(new_key)},
        output);
}

int control_cell::call_new_route(std::size_t index)
{
    const std::uint16_t port = this->world.fleet().entry(index).gate_http;
    return process::call(port, make_request(new_route, new_key, false)).status;
}

bool control_cell::serves(std::size_t index)
{
    return this->call_new_route(index) == served;
}

/// Returns the bytes that mark a step on the network, or nothing for a step
/// that is detected from the state of gates and runners.
std::optional<hold_place> get_hold_place(matrix_step step)
{
    static const std::map<matrix_step, hold_place> places{
        {matrix_step::edit_sent,
         {"operator-platform", "request", "/table/transactions", false}},
        {matrix_step::edit_committed,
         {"operator-platform", "request", "/table/transactions", true}},
        {matrix_step::revision_seen, {"entry-*", "request", "config/history/"}},
        {matrix_step::order_lease_taken, {"entry-*", "request", "orders/"}},
        {matrix_step::order_sent, {"llm-*", "request", "/orders", false}}};
    const auto found = places.find(step);
    return found == places.end() ? std::nullopt
                                 : std::optional<hold_place>(found->second);
}

void control_cell::place_holds()
{
    const matrix_cell& cell = this->world.cell();
    this->world.hold(get_hold_place(this->step));
    if (cell.second)
    {
        this->world.hold_second(get_hold_place(cell.second->step.value));
    }
    if (cell.has(matrix_fault::answer_lost))
    {
        this->world.fleet().set_platform_fault(
            {{"service", "table"},
             {"mode", "lose_answer"},
             {"count", 1},
             {"match",
              is_edit_step(this->step) ? "transactions" : "orders/lease/"}});
    }
}

void control_cell::run_edit()
{
    this->place_holds();
    std::atomic<int> exit_code = -1;
    std::thread operator_thread(
        [this, &exit_code]()
        {
            exit_code = this->edit();
        });
    if (this->step == matrix_step::revision_adopted)
    {
        operator_thread.join();
        this->world.outcome().reached = process::wait_until(
            [this]()
            {
                return this->serves(0);
            });
    }
    else
    {
        const bool waits_for_hold_only =
            this->step == matrix_step::revision_seen;
        this->world.wait_for_hold(
            1,
            [&exit_code, waits_for_hold_only]()
            {
                return !waits_for_hold_only && exit_code >= 0;
            });
    }
    int second_exit = -1;
    std::thread second;
    if (this->has(matrix_fault::operators_race))
    {
        // The second operator edits the same row with the same expected
        // revision while the first edit is in progress.
        std::string output;
        second_exit = this->world.fleet().run_chicoryctl(
            {"route",
             "set",
             new_route,
             "member=kremstal",
             "pool=llm",
             "--expect-revision",
             "0",
             process::key_digest("another-key")},
            output);
    }
    this->world.inject();
    this->world.release();
    this->world.inject_second(
        []()
        {
            return false;
        });
    this->world.repair();
    if (operator_thread.joinable())
    {
        operator_thread.join();
    }
    if (this->has(matrix_fault::operators_race))
    {
        this->world.expect(
            !(exit_code == committed_exit && second_exit == committed_exit),
            "of two edits made for the same revision at most one commits");
        return;
    }
    this->check_edit(exit_code);
}

void control_cell::check_edit(int exit_code)
{
    if (exit_code != committed_exit && exit_code != unknown_exit)
    {
        this->world.expect(
            !this->serves(0) && !this->serves(1),
            "an edit reported as not committed is not in force");
    }
    if (exit_code != committed_exit)
    {
        process::wait_until(
            [this]()
            {
                return this->edit() == committed_exit;
            });
    }
    for (std::size_t index = 0; index < this->world.fleet().entry_count();
         ++index)
    {
        const bool adopted = process::wait_until(
            [this, index]()
            {
                return this->serves(index);
            });
        this->world.expect(
            adopted,
            "an accepted edit comes into force on entry-" +
                std::to_string(index));
        int status = served;
        for (int check = 0;
             check < checks_of_a_served_route && status == served;
             ++check)
        {
            status = this->call_new_route(index);
        }
        this->world.expect(
            status == served,
            "a revision never falls on entry-" + std::to_string(index) +
                ": expected status 200, found " + std::to_string(status));
    }
}

void control_cell::run_order()
{
    this->place_holds();
    const int edited =
        this->world.fleet().set_pool("llm", {"wanted_models={\"model-a\":2}"});
    this->world.expect(edited == 0, "the wanted models of a pool can be set");
    const auto is_loaded = [this](std::size_t index)
    {
        const std::uint16_t port = this->world.fleet().runner(index).http;
        const json::value load =
            process::parse_body(process::get(port, "/load"));
        // The load report is empty until the first report is older than the
        // load lag.
        const json::value* const model =
            load.is_object() ? load.as_object().if_contains("model") : nullptr;
        return model != nullptr && *model == json::value("model-a");
    };
    if (this->step == matrix_step::order_applied)
    {
        this->world.outcome().reached = process::wait_until(
            [&is_loaded]()
            {
                return is_loaded(0);
            });
    }
    else
    {
        this->world.wait_for_hold(
            1,
            []()
            {
                return false;
            });
    }
    this->world.inject();
    this->world.release();
    this->world.inject_second(
        []()
        {
            return false;
        });
    this->world.repair();
    for (std::size_t index = 0; index < this->world.fleet().runner_count();
         ++index)
    {
        // A leaving runner does not have to load a model.
        const process::runner_vm& vm = this->world.fleet().runner(index);
        const bool is_leaving = this->world.leaving_runner() == &vm;
        this->world.expect(
            is_leaving || process::wait_until(
                              [&is_loaded, index]()
                              {
                                  return is_loaded(index);
                              }),
            "runner " + std::to_string(index) + " holds the wanted model");
        this->check_orders(vm, is_leaving);
    }
}

void control_cell::check_orders(const process::runner_vm& vm, bool is_leaving)
{
    const json::value log =
        process::parse_body(process::get(vm.http, "/control/log"));
    const std::int64_t grace_end =
        this->world.leaving_since_ms() + leaving_grace_ms;
    std::int64_t last = 0;
    for (const json::value& order : log.at("orders").as_array())
    {
        const std::int64_t number = order.at("fencing_number").as_int64();
        this->world.expect(
            number >= last, "orders keep the order of their numbers");
        last = std::max(last, number);
        this->world.expect(
            !is_leaving || order.at("at_ms").as_int64() <= grace_end,
            "a leaving runner gets no order after its grace");
    }
}

void control_cell::run_shutdown()
{
    process::entry_vm& vm = this->world.fleet().entry(0);
    process::child_process& gate = *vm.daemons[process::daemon::gate];
    const net::http_request request = make_request(cell_route, cell_key, true);
    process::partial_response received;
    std::thread caller(
        [&received, &request, &vm]()
        {
            received =
                process::call_keeping_partial_response(vm.gate_http, request);
        });
    const bool runs = process::wait_until(
        [this]()
        {
            return !this->world.find_runs(long_run).empty();
        });
    this->world.expect(runs, "a request is in progress at the stop");
    const pid_t stopping = gate.id();
    gate.signal(SIGTERM);
    this->world.outcome().reached = true;
    const bool is_drained = this->step == matrix_step::drained;
    if (is_drained)
    {
        this->world.expect(gate.wait() == 0, "a drained gate ends with zero");
    }
    this->world.inject();
    this->world.inject_second(
        []()
        {
            return false;
        });
    process::partial_response second;
    if (this->has(matrix_fault::caller_resends))
    {
        const std::uint16_t other = this->world.fleet().entry(1).gate_http;
        second = process::call_keeping_partial_response(other, request);
    }
    this->world.repair();
    caller.join();
    const bool gate_lost = this->has(matrix_fault::entry_process_killed) ||
                           this->has(matrix_fault::vm_lost);
    const bool runner_lost = this->has(matrix_fault::runner_killed) ||
                             this->has(matrix_fault::vm_list_lagging);
    if (is_drained || !(gate_lost || runner_lost))
    {
        this->world.expect(
            is_expected_response(received, request),
            "a graceful stop cuts off no request in progress");
    }
    if (this->has(matrix_fault::caller_resends) && !this->world.cell().second)
    {
        this->world.expect(
            is_expected_response(second, request),
            "a request sent again to another gate is answered");
    }
    this->restart_stopped(vm, stopping);
    const bool served =
        this->world.fleet().wait_until_serving(cell_route, cell_key);
    this->world.expect(served, "every gate serves again after its restart");
}

void control_cell::restart_stopped(process::entry_vm& vm, pid_t stopping)
{
    const process::child_process& gate = *vm.daemons[process::daemon::gate];
    if (gate.id() != stopping)
    {
        return;
    }
    this->world.expect(
        process::wait_until(
            [&vm]()
            {
                return !vm.daemons[process::daemon::gate]->is_running();
            }),
        "a gate ends after a stop signal");
    this->world.fleet().start_daemon(vm, process::daemon::gate);
}

bool control_cell::has(matrix_fault searched) const
{
    return this->world.cell().has(searched);
}

cell_result control_cell::run()
{
    if (!this->world.start())
    {
        return this->world.outcome();
    }
    if (is_edit_step(this->step))
    {
        this->run_edit();
    }
    else if (is_order_step(this->step))
    {
        this->run_order();
    }
    else
    {
        this->run_shutdown();
    }
    return this->world.outcome();
}

} // namespace

cell_result run_control_cell(const matrix_cell& cell, std::uint64_t seed)
{
    control_cell run(cell, seed);
    return run.run();
}

} // namespace chicory::faults
