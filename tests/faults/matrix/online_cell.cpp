#include "tests/faults/matrix/online_cell.hpp"

#include "tests/process/http_call.hpp"
#include "tests/process/wait.hpp"
#include "tests/standins/generated_response.hpp"

#include <atomic>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <thread>

namespace chicory::faults
{

namespace json = boost::json;

namespace
{

const std::string completions = "/v1/completions";
constexpr std::int64_t tokens = 20;
constexpr std::int64_t deadline_ms = 20000;
/// Time after which a leaving runner must not receive new work.
constexpr std::int64_t leaving_grace_ms = 3000;
/// Number of requests that must not reach a leaving runner.
constexpr std::int64_t requests_after_grace = 8;
/// Largest number of runners that one crashing request may crash.
constexpr std::size_t max_crashes = 2;

/// One request and the response that its caller received.
struct cell_request
{
    std::string name;
    bool repeatable = true;
    std::string body;
    process::partial_response received;
    std::atomic<bool> ended = false;

    bool has_expected_response() const
    {
        return this->received.response.status == 200 &&
               this->received.is_complete &&
               this->received.response.body ==
                   standin::generated_response(completions, this->body)
                       .all_bytes();
    }

    json::value error_field(const char* path) const
    {
        const json::value parsed = process::parse_body(this->received.response);
        boost::system::error_code missing;
        const json::value* const found = parsed.find_pointer(path, missing);
        return found == nullptr ? json::value() : *found;
    }

    bool is_typed_error() const
    {
        return this->received.is_complete &&
               this->received.response.status >= 400 &&
               this->error_field("/error/code").is_string();
    }

    bool is_refused_not_run() const
    {
        return this->is_typed_error() &&
               this->error_field("/error/not_run") == json::value(true);
    }

    /// Returns true for a stream that ended early with an error event.
    bool is_typed_interruption() const
    {
        return this->received.response.status == 200 &&
               this->received.response.body.find("\"error\"") !=
                   std::string::npos;
    }
};

/// The two requests of a cell.
class online_cell
{
public:
    online_cell(const matrix_cell& cell, std::uint64_t seed)
        : world(cell, seed), step(cell.step.value)
    {
        const bool crashes = cell.has(matrix_fault::runner_crashing);
        this->prepare(this->repeatable, crashes ? "cell-crashing" : "cell-r");
        this->prepare(this->single, "cell-n");
        this->single.repeatable = false;
    }

    cell_result run();

private:
    static void prepare(cell_request& request, const std::string& name)
    {
        request.name = name;
        json::object body;
        body["model"] = cell_route;
        body["prompt"] = name;
        body["max_tokens"] = tokens;
        body["stream"] = true;
        body["metadata"] = json::object{{"custom_id", name}};
        request.body = json::serialize(body);
    }

    static void send(cell_request& request, std::uint16_t port)
    {
        net::http_request sent;
        sent.method = "POST";
        sent.target = completions;
        sent.headers["authorization"] = "Bearer " + cell_key;
        sent.headers["content-type"] = "application/json";
        sent.headers["x-deadline-ms"] = std::to_string(deadline_ms);
        if (!request.repeatable)
        {
            sent.headers["x-not-repeatable"] = "true";
            sent.headers["idempotency-key"] = "key-" + request.name;
        }
        sent.body = request.body;
        const duration limit = std::chrono::milliseconds(2 * deadline_ms);
        request.received = process::call_keeping_partial_response(
            port, std::move(sent), limit);
        request.ended = true;
    }

    void place_holds();
    bool is_over() const;
    void inject_second();
    void check_response(const cell_request& request);
    void check_single();
    void check_recovery();
    void check_crashes();
    void check_leaving();
    bool has(matrix_fault searched) const;
    bool may_lose_connection() const;

    matrix_world world;
    matrix_step step;
    cell_request repeatable;
    cell_request single;
};

/// Returns the bytes that mark a step on the network, or nothing for a step
/// before the requests are sent or after their responses.
std::optional<hold_place> get_hold_place(matrix_step step)
{
    static const std::map<matrix_step, hold_place> places{
        {matrix_step::request_received,
         {"caller", "request", cell_mark, true, 2}},
        {matrix_step::claim_written,
         {"entry-0-platform", "request", "/table/transactions", true, 1}},
        {matrix_step::sent_to_owner,
         {"entry-1-link", "request", cell_mark, false, 2}},
        {matrix_step::sent_to_runner,
         {"llm-*", "request", cell_mark, false, 2}},
        {matrix_step::first_byte, {"llm-*", "response", "t0-", false, 2}},
        {matrix_step::mid_stream, {"llm-*", "response", "t6-", false, 2}},
        {matrix_step::last_byte, {"llm-*", "response", "[DONE]", false, 2}}};
    const auto found = places.find(step);
    return found == places.end() ? std::nullopt
                                 : std::optional<hold_place>(found->second);
}

void online_cell::place_holds()
{
    const matrix_cell& cell = this->world.cell();
    if (cell.has(matrix_fault::answer_lost))
    {
        this->world.fleet().set_platform_fault(
            {{"service", "table"},
             {"mode", "lose_answer"},
             {"count", 1},
             {"match", "transactions"}});
    }
    this->world.hold(get_hold_place(this->step));
    if (cell.second)
    {
        this->world.hold_second(get_hold_place(cell.second->step.value));
    }
}

cell_result online_cell::run()
{
    if (!this->world.start())
    {
        return this->world.outcome();
    }
    this->place_holds();
    const bool before = this->step == matrix_step::entry_address_asked;
    const bool afterwards = this->step == matrix_step::answer_sent;
    if (before)
    {
        this->world.outcome().reached = true;
        this->world.inject();
    }
    const std::uint16_t port = this->world.caller_port();
    std::thread first(
        [this, port]()
        {
            send(this->repeatable, port);
        });
    std::thread second(
        [this, port]()
        {
            send(this->single, port);
        });
    cell_request resent = {};
    std::thread resender;
    if (!before && !afterwards)
    {
        const std::int64_t required_hits =
            this->step == matrix_step::claim_written ? 1 : 2;
        this->world.wait_for_hold(
            required_hits,
            [this]()
            {
                return this->is_over();
            });
        this->world.inject();
    }
    const std::uint16_t other = this->world.fleet().entry(1).gate_http;
    prepare(resent, "cell-n");
    resent.repeatable = false;
    if (this->has(matrix_fault::caller_resends) && !afterwards)
    {
        resender = std::thread(
            [&resent, other]()
            {
                send(resent, other);
            });
        // The second request arrives while the first one is in progress.
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    this->world.release();
    if (!afterwards)
    {
        this->inject_second();
        this->world.repair();
    }
    first.join();
    second.join();
    if (resender.joinable())
    {
        resender.join();
    }
    if (afterwards)
    {
        this->world.outcome().reached = true;
        this->world.inject();
        this->inject_second();
        this->world.repair();
    }
    this->check_response(this->repeatable);
    this->check_response(this->single);
    this->check_crashes();
    this->check_recovery();
    this->check_single();
    this->check_leaving();
    return this->world.outcome();
}

bool online_cell::is_over() const
{
    return this->repeatable.ended && this->single.ended;
}

void online_cell::inject_second()
{
    this->world.inject_second(
        [this]()
        {
            return this->is_over();
        });
}

bool online_cell::has(matrix_fault searched) const
{
    return this->world.cell().has(searched);
}

bool online_cell::may_lose_connection() const
{
    return this->has(matrix_fault::entry_process_killed) ||
           this->has(matrix_fault::vm_lost);
}

void online_cell::check_response(const cell_request& request)
{
    const int status = request.received.response.status;
    const bool has_valid_outcome = request.has_expected_response() ||
                                   request.is_typed_error() ||
                                   request.is_typed_interruption();
    this->world.expect(
        has_valid_outcome || this->may_lose_connection(),
        request.name + ": a whole answer or a typed error, found status " +
            std::to_string(status) + " and " +
            std::to_string(request.received.response.body.size()) + " bytes");
    if (request.is_refused_not_run())
    {
        this->world.expect(
            this->world.find_runs(request.name).empty(),
            request.name + ": refused as not run, but a runner ran it");
    }
    const std::string expected =
        standin::generated_response(completions, request.body).all_bytes();
    if (status == 200 && !request.is_typed_interruption())
    {
        this->world.expect(
            expected.starts_with(request.received.response.body),
            request.name + ": received bytes of another answer");
    }
}

void online_cell::check_single()
{
    cell_request resent = {};
    prepare(resent, this->single.name);
    resent.repeatable = false;
    send(resent, this->world.fleet().entry(1).gate_http);
    this->check_response(resent);
    const std::size_t runs = this->world.find_runs(this->single.name).size();
    this->world.expect(
        runs <= 1,
        "a not-repeatable request ran " + std::to_string(runs) + " times");
    this->world.expect(
        runs > 0 || !this->single.has_expected_response(),
        "a request was answered without a run");
}

void online_cell::check_recovery()
{
    cell_request later = {};
    prepare(later, "cell-later");
    std::size_t attempt = 0;
    for (std::size_t index = 0; index < 2; ++index)
    {
        const std::uint16_t port = this->world.fleet().entry(index).gate_http;
        this->world.expect(
            process::wait_until(
                [&later, port]()
                {
                    send(later, port);
                    return later.has_expected_response();
                }),
            "a new request is answered after the fault is over");
    }
    const bool is_harmless = !this->has(matrix_fault::runner_crashing);
    if (!is_harmless || this->repeatable.has_expected_response())
    {
        return;
    }
    cell_request resent = {};
    prepare(resent, this->repeatable.name);
    const bool is_served = process::wait_until(
        [this, &resent, &attempt]()
        {
            const std::size_t index = attempt++ % 2;
            send(resent, this->world.fleet().entry(index).gate_http);
            return resent.has_expected_response();
        });
    this->world.expect(
        is_served, "the same repeatable request is answered when sent again");
}

void online_cell::check_crashes()
{
    if (!this->has(matrix_fault::runner_crashing))
    {
        return;
    }
    std::set<std::string> crashed;
    for (const process::logged_run& run : this->world.fleet().read_runs())
    {
        if (run.outcome == "crashed")
        {
            crashed.insert(run.runner + "/" + run.run_id);
        }
    }
    this->world.expect(
        crashed.size() <= max_crashes,
        "a crashing request costs at most two runners, found " +
            std::to_string(crashed.size()));
    // A second fault may delay the request until the restarted runners, which
    // no longer crash, can serve it.
    const bool may_run_later =
        this->world.cell().second && this->repeatable.has_expected_response();
    this->world.expect(
        this->repeatable.is_typed_error() ||
            this->repeatable.is_typed_interruption() ||
            this->may_lose_connection() || may_run_later,
        "the crashing request ends in a typed error");
}

void online_cell::check_leaving()
{
    if (!this->has(matrix_fault::runner_leaving))
    {
        return;
    }
    const std::int64_t grace_end =
        this->world.leaving_since_ms() + leaving_grace_ms;
    process::wait_until(
        [grace_end]()
        {
            return read_wall_clock_ms() > grace_end;
        });
    for (std::int64_t attempt = 0; attempt < requests_after_grace; ++attempt)
    {
        cell_request later = {};
        prepare(later, "cell-after-grace-" + std::to_string(attempt));
        send(later, this->world.fleet().entry(attempt % 2).gate_http);
    }
    // A runner that failed and was restarted is in service again.
    const process::runner_vm* const leaving_runner =
        this->world.leaving_runner();
    if (leaving_runner == nullptr)
    {
        return;
    }
    for (const process::logged_run& run : this->world.fleet().read_runs())
    {
        this->world.expect(
            run.runner != leaving_runner->id || run.started_ms <= grace_end,
            "a leaving runner got new work after its grace");
    }
}

} // namespace

cell_result run_online_cell(const matrix_cell& cell, std::uint64_t seed)
{
    online_cell run(cell, seed);
    return run.run();
}

} // namespace chicory::faults
