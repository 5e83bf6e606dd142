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
constexpr std::int64_t long_answer_tokens = 300;
const std::string long_run = "cell-long";
constexpr int checks_of_a_served_route = 20;
constexpr int served = 200;
/// After this a leaving runner may get no order.
constexpr std::int64_t leaving_grace_ms = 3000;

bool is_whole(
    const process::partial_response& answer, const net::http_request& request)
{
    return answer.whole &&
           answer.response.body ==
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
    void check_orders(const process::runner_vm& vm, bool leaves);
    void run_shutdown();
    void restart_stopped(process::entry_vm& vm, pid_t stopping);
    int edit();
    /// Returns the status of a call on the route that the edit adds.
    int call_new_route(std::size_t place);
    bool serves(std::size_t place);
    void place_holds();
    bool has(matrix_fault wanted) const;
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
    body["max_tokens"] = stream ? long_answer_tokens : 1;
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
    return this->world.fleet().run_client(
        {"route",
         "set",
         new_route,
         "member=amostra-serra",
         "pool=llm",
         process::key_digest(new_key)},
        output);
}

int control_cell::call_new_route(std::size_t place)
{
    const std::uint16_t port = this->world.fleet().entry(place).gate_http;
    return process::call(port, make_request(new_route, new_key, false)).status;
}

bool control_cell::serves(std::size_t place)
{
    return this->call_new_route(place) == served;
}

/// Returns where a step shows on the wire; nothing for a step that follows
/// from what gates and runners show.
std::optional<hold_place> place_of(matrix_step step)
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
    this->world.hold(place_of(this->step));
    if (cell.second)
    {
        this->world.hold_second(place_of(cell.second->step.value));
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
        const bool seen = this->step == matrix_step::revision_seen;
        this->world.wait_for_hold(
            1,
            [&exit_code, seen]()
            {
                return !seen && exit_code >= 0;
            });
    }
    int second_exit = -1;
    std::thread second;
    if (this->has(matrix_fault::operators_race))
    {
        // The second operator edits the same row with the same expectation
        // while the first edit is under way.
        std::string output;
        second_exit = this->world.fleet().run_client(
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
    for (std::size_t place = 0; place < this->world.fleet().entry_count();
         ++place)
    {
        const bool adopted = process::wait_until(
            [this, place]()
            {
                return this->serves(place);
            });
        this->world.expect(
            adopted,
            "an accepted edit comes into force on entry-" +
                std::to_string(place));
        int status = served;
        for (int check = 0;
             check < checks_of_a_served_route && status == served;
             ++check)
        {
            status = this->call_new_route(place);
        }
        this->world.expect(
            status == served,
            "a revision never falls on entry-" + std::to_string(place) +
                ": expected status 200, found " + std::to_string(status));
    }
}

void control_cell::run_order()
{
    this->place_holds();
    const int edited =
        this->world.fleet().set_pool("llm", {"wanted_models={\"model-a\":2}"});
    this->world.expect(edited == 0, "the wanted models of a pool can be set");
    const auto is_loaded = [this](std::size_t place)
    {
        const std::uint16_t port = this->world.fleet().runner(place).http;
        const json::value load =
            process::parse_body(process::get(port, "/load"));
        // Before its first report is old enough the runner tells nothing.
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
    for (std::size_t place = 0; place < this->world.fleet().runner_count();
         ++place)
    {
        // A leaving runner is no place for a model any more.
        const process::runner_vm& vm = this->world.fleet().runner(place);
        const bool leaves = this->world.leaving_runner() == &vm;
        this->world.expect(
            leaves || process::wait_until(
                          [&is_loaded, place]()
                          {
                              return is_loaded(place);
                          }),
            "runner " + std::to_string(place) + " holds the wanted model");
        this->check_orders(vm, leaves);
    }
}

void control_cell::check_orders(const process::runner_vm& vm, bool leaves)
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
            !leaves || order.at("at_ms").as_int64() <= grace_end,
            "a leaving runner gets no order after its grace");
    }
}

void control_cell::run_shutdown()
{
    process::entry_vm& vm = this->world.fleet().entry(0);
    process::child_process& gate = *vm.daemons[process::daemon::gate];
    const net::http_request request = make_request(cell_route, cell_key, true);
    process::partial_response answer;
    std::thread caller(
        [&answer, &request, &vm]()
        {
            answer =
                process::call_keeping_partial_response(vm.gate_http, request);
        });
    const bool runs = process::wait_until(
        [this]()
        {
            return !this->world.runs_of(long_run).empty();
        });
    this->world.expect(runs, "a request is in progress at the stop");
    const pid_t stopping = gate.id();
    gate.signal(SIGTERM);
    this->world.outcome().reached = true;
    const bool drains = this->step == matrix_step::drained;
    if (drains)
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
    if (drains || !(gate_lost || runner_lost))
    {
        this->world.expect(
            is_whole(answer, request),
            "a graceful stop cuts off no request in progress");
    }
    if (this->has(matrix_fault::caller_resends) && !this->world.cell().second)
    {
        this->world.expect(
            is_whole(second, request),
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
        "a gate that was told to stop ends");
    this->world.fleet().start_daemon(vm, process::daemon::gate);
}

bool control_cell::has(matrix_fault wanted) const
{
    return this->world.cell().has(wanted);
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
