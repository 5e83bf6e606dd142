#include "tests/faults/matrix/batch_cell.hpp"

#include "experiments/load/batch_caller.hpp"
#include "tests/process/http_call.hpp"
#include "tests/process/wait.hpp"
#include "tests/standins/generated_response.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <optional>
#include <sstream>
#include <thread>

namespace chicory::faults
{

namespace json = boost::json;

namespace
{

const std::string completions = "/v1/completions";
const std::string batches = "/v1/batches";
constexpr std::int64_t items = 8;
constexpr std::int64_t tokens = 10;
constexpr std::int64_t tokens_of_cancelled = 100;
/// Time after a cancel during which work that was sent before may still reach a
/// runner.
constexpr std::int64_t cancel_grace_ms = 3000;
constexpr std::chrono::seconds cancel_watch_time(5);
/// Largest number of runners that one crashing item may crash.
constexpr std::size_t max_crashes = 2;

/// Returns the lines of a job with all items marked as not repeatable. All
/// items have the same prompt, so that they are sent, and marked as started, in
/// the order of the lines.
std::string mark_not_repeatable(
    const std::string& lines, std::map<std::string, std::string>& expected)
{
    std::istringstream source(lines);
    std::string line;
    std::string marked;
    while (std::getline(source, line))
    {
        json::value item = json::parse(line);
        item.as_object()["not_repeatable"] = true;
        json::object& body = item.at("body").as_object();
        body["prompt"] = cell_mark + "item";
        expected[json::value_to<std::string>(item.at("custom_id"))] =
            standin::generated_response(completions, json::serialize(body))
                .all_bytes();
        marked += json::serialize(item) + "\n";
    }
    return marked;
}

/// One job and the responses that its caller received.
class batch_cell
{
public:
    batch_cell(const matrix_cell& cell, std::uint64_t seed)
        : world(cell, seed), step(cell.step.value),
          crashing_item(get_crash_mark(cell, seed)),
          is_cancelled(
              cell.step.value == matrix_step::cancel_asked ||
              cell.step.value == matrix_step::cancel_acknowledged)
    {
        this->source.name = "cell-item";
        this->source.route = cell_route;
        this->source.items = items;
        this->source.tokens = this->is_cancelled ? tokens_of_cancelled : tokens;
        this->lines = load::make_job(this->source, seed, this->expected);
        if (cell.is_at(matrix_step::started_mark))
        {
            this->lines = mark_not_repeatable(this->lines, this->expected);
        }
    }

    cell_result run();

private:
    void place_holds();
    void set_up_lost_response();
    bool has(matrix_fault searched) const;
    /// Returns true if the items of the job must not be repeated.
    bool is_not_repeatable() const;
    net::http_response send_request(
        std::uint16_t port,
        const std::string& method,
        const std::string& target,
        const std::string& body) const;
    std::uint16_t other_port();
    std::string submit(std::uint16_t port);
    void follow_job();
    void follow_cancel();
    std::string read_status(std::uint16_t port);
    std::string read_results(std::uint16_t port);
    void check_results(const std::string& results);
    void check_crashes(const std::string& results, std::int64_t failed);
    void check_runs();

    matrix_world world;
    matrix_step step;
    std::string crashing_item;
    bool is_cancelled;
    load::batch_source source;
    std::string lines;
    std::map<std::string, std::string> expected;
    std::string job;
    std::atomic<bool> submission_over = false;
};

/// Returns the bytes that mark a step on the network, or nothing for a step
/// that is reached through the responses to the caller.
std::optional<hold_place> get_hold_place(matrix_step step)
{
    static const std::map<matrix_step, hold_place> places{
        {matrix_step::job_received, {"batch", "request", cell_mark}},
        {matrix_step::manifest_stored,
         {"entry-0-platform", "request", "PUT /objects/batch/manifests"}},
        {matrix_step::job_row_stored,
         {"entry-0-platform", "request", "batch/open/"}},
        {matrix_step::chunk_leased,
         {"entry-*", "request", R"(holder\":\"entry)"}},
        {matrix_step::started_mark, {"entry-*", "request", R"(started\":[0)"}},
        {matrix_step::item_sent, {"llm-*", "request", cell_mark}},
        {matrix_step::item_answered,
         {"llm-*", "response", "finish_reason", false}},
        {matrix_step::result_stored,
         {"entry-*", "request", "PUT /objects/batch/results"}},
        {matrix_step::chunk_committed,
         {"entry-*", "request", R"(results\":\"batch/results)"}},
        {matrix_step::cancel_asked, {"batch", "request", "/cancel", false}}};
    const auto found = places.find(step);
    return found == places.end() ? std::nullopt
                                 : std::optional<hold_place>(found->second);
}

void batch_cell::place_holds()
{
    this->world.hold(get_hold_place(this->step));
    if (const auto& second = this->world.cell().second)
    {
        this->world.hold_second(get_hold_place(second->step.value));
    }
}

void batch_cell::set_up_lost_response()
{
    static const std::map<matrix_step, std::string> writes{
        {matrix_step::job_row_stored, "batch/open/"},
        {matrix_step::chunk_leased, R"(holder\":\"entry)"},
        {matrix_step::started_mark, R"(started\":[0)"},
        {matrix_step::chunk_committed, R"(results\":\"batch/results)"},
        {matrix_step::cancel_asked, "batch/jobs/"}};
    if (!this->has(matrix_fault::answer_lost))
    {
        return;
    }
    const matrix_cell& cell = this->world.cell();
    const bool first = cell.fault == matrix_fault::answer_lost;
    this->world.fleet().set_platform_fault(
        {{"service", "table"},
         {"mode", "lose_answer"},
         {"count", 1},
         {"match", writes.at(first ? this->step : cell.second->step.value)}});
}

bool batch_cell::has(matrix_fault searched) const
{
    return this->world.cell().has(searched);
}

bool batch_cell::is_not_repeatable() const
{
    return this->world.cell().is_at(matrix_step::started_mark);
}

net::http_response batch_cell::send_request(
    std::uint16_t port,
    const std::string& method,
    const std::string& target,
    const std::string& body) const
{
    net::http_request request;
    request.method = method;
    request.target = target;
    request.headers["authorization"] = "Bearer " + cell_key;
    request.headers["content-type"] = "application/jsonl";
    request.headers["idempotency-key"] = "cell-job";
    request.body = body;
    return process::call(port, std::move(request));
}

std::uint16_t batch_cell::other_port()
{
    return this->world.fleet().entry(1).batch_http;
}

std::string batch_cell::submit(std::uint16_t port)
{
    const net::http_response response = this->send_request(
        port, "POST", batches + "?route=" + cell_route, this->lines);
    const json::value body = process::parse_body(response);
    if (response.status / 100 != 2 || !body.is_object())
    {
        return {};
    }
    return json::value_to<std::string>(body.at("id"));
}

std::string batch_cell::read_status(std::uint16_t port)
{
    const json::value body = process::parse_body(
        this->send_request(port, "GET", batches + "/" + this->job, {}));
    boost::system::error_code missing;
    const json::value* const status = body.find_pointer("/status", missing);
    return status == nullptr ? std::string()
                             : json::value_to<std::string>(*status);
}

std::string batch_cell::read_results(std::uint16_t port)
{
    std::string results;
    const bool read = process::wait_until(
        [this, port, &results]()
        {
            const net::http_response response = this->send_request(
                port, "GET", batches + "/" + this->job + "/results", {});
            results = response.body;
            return response.status == 200;
        });
    this->world.expect(read, "results are readable");
    return results;
}

cell_result batch_cell::run()
{
    if (!this->world.start())
    {
        return this->world.outcome();
    }
    this->place_holds();
    if (!this->is_cancelled)
    {
        this->set_up_lost_response();
    }
    std::string first_job;
    const std::uint16_t port = this->world.batch_port();
    std::thread caller(
        [this, port, &first_job]()
        {
            first_job = this->submit(port);
            // The later steps come after the response that accepts the job.
            this->submission_over =
                first_job.empty() ||
                this->step <= matrix_step::accepted_answer_sent;
        });
    if (this->is_cancelled || this->step == matrix_step::accepted_answer_sent ||
        this->step == matrix_step::results_read)
    {
        caller.join();
        this->job = first_job;
        this->world.outcome().reached = !first_job.empty();
    }
    else
    {
        this->world.wait_for_hold(
            1,
            [this]()
            {
                return this->submission_over.load();
            });
    }
    if (this->is_cancelled)
    {
        this->follow_cancel();
        return this->world.outcome();
    }
    if (this->step == matrix_step::results_read)
    {
        process::wait_until(
            [this, port]()
            {
                return this->read_status(port) == "completed";
            });
    }
    this->world.inject();
    std::string second_job;
    if (this->has(matrix_fault::caller_resends))
    {
        second_job = this->submit(this->other_port());
    }
    this->world.release();
    this->world.inject_second(
        []()
        {
            return false;
        });
    this->world.repair();
    if (caller.joinable())
    {
        caller.join();
    }
    process::wait_until(
        [this]()
        {
            this->job = this->submit(this->other_port());
            return !this->job.empty();
        });
    this->world.expect(
        !this->job.empty(), "a job can be submitted after the fault is over");
    this->world.expect(
        first_job.empty() || first_job == this->job,
        "a job submitted again is the first one");
    this->world.expect(
        second_job.empty() || second_job == this->job,
        "a job submitted at once to another gate is the first one");
    this->follow_job();
    return this->world.outcome();
}

void batch_cell::follow_job()
{
    std::size_t attempt = 0;
    const bool ended = process::wait_until(
        [this, &attempt]()
        {
            const std::uint16_t port =
                this->world.fleet().entry(attempt++ % 2).batch_http;
            return this->read_status(port) == "completed";
        },
        2 * process::condition_limit);
    this->world.expect(ended, "an accepted job completes");
    const std::string first = this->read_results(this->other_port());
    this->check_results(first);
    const std::string second =
        this->read_results(this->world.fleet().entry(0).batch_http);
    this->world.expect(
        first == second, "both batch processes give the same results");
    this->check_runs();
}

void batch_cell::check_results(const std::string& results)
{
    load::batch_result seen;
    load::check_results(results, this->expected, seen);
    const auto expect_none = [this](std::int64_t count, const char* what)
    {
        this->world.expect(
            count == 0,
            std::to_string(count) + " of " + std::to_string(items) + " items " +
                what);
    };
    expect_none(seen.missing, "without a result");
    expect_none(seen.duplicates, "with two results");
    expect_none(seen.wrong_bytes, "with the result of another");
    if (!this->crashing_item.empty())
    {
        this->check_crashes(results, seen.failed);
    }
    else if (!this->is_not_repeatable())
    {
        expect_none(seen.failed, "failed");
    }
}

void batch_cell::check_crashes(const std::string& results, std::int64_t failed)
{
    std::istringstream lines(results);
    std::string line;
    bool quarantined = false;
    while (std::getline(lines, line))
    {
        const bool is_own =
            line.find("\"" + this->crashing_item + "\"") != std::string::npos;
        const bool is_quarantined =
            line.find("\"quarantined\"") != std::string::npos;
        quarantined = quarantined || (is_own && is_quarantined);
    }
    // A not-repeatable item ends as outcome unknown after its first run, and so
    // do the other items in progress on the crashed runner.
    const bool runs_once = this->is_not_repeatable();
    this->world.expect(
        runs_once || quarantined, "the crashing item ends as quarantined");
    this->world.expect(
        runs_once || failed == 1,
        "only the crashing item fails, found " + std::to_string(failed));
    std::size_t crashes = 0;
    for (const process::logged_run& run : this->world.fleet().read_runs())
    {
        const bool is_own = run.custom_id == this->crashing_item;
        crashes += is_own && run.outcome == "crashed" ? 1 : 0;
    }
    this->world.expect(
        crashes <= max_crashes,
        "a crashing item costs at most two runners, found " +
            std::to_string(crashes));
}

void batch_cell::check_runs()
{
    if (!this->is_not_repeatable())
    {
        return;
    }
    for (const auto& [name, response] : this->expected)
    {
        const std::size_t runs = this->world.find_runs(name).size();
        this->world.expect(
            runs <= 1,
            "not-repeatable item " + name + " ran " + std::to_string(runs) +
                " times");
    }
}

void batch_cell::follow_cancel()
{
    const std::uint16_t port = this->world.batch_port();
    const std::string target = batches + "/" + this->job + "/cancel";
    this->set_up_lost_response();
    std::atomic<bool> acknowledged = false;
    std::atomic<bool> answered = false;
    std::thread caller(
        [this, port, target, &acknowledged, &answered]()
        {
            acknowledged =
                this->send_request(port, "POST", target, {}).status / 100 == 2;
            answered = true;
        });
    if (this->step == matrix_step::cancel_asked)
    {
        this->world.wait_for_hold(
            1,
            [&answered]()
            {
                return answered.load();
            });
    }
    else
    {
        caller.join();
        this->world.expect(acknowledged, "a cancel is acknowledged");
    }
    const std::string results_at_acknowledgement =
        acknowledged ? this->read_results(this->other_port()) : std::string();
    const bool was_acknowledged = acknowledged;
    this->world.inject();
    this->world.release();
    this->world.inject_second(
        [&answered]()
        {
            return answered.load();
        });
    this->world.repair();
    if (caller.joinable())
    {
        caller.join();
    }
    process::wait_until(
        [this, &target]()
        {
            return this->send_request(this->other_port(), "POST", target, {})
                           .status /
                       100 ==
                   2;
        });
    const std::int64_t cancelled_ms = read_wall_clock_ms();
    const std::string before = this->read_results(this->other_port());
    std::this_thread::sleep_for(cancel_watch_time);
    const std::string afterwards = this->read_results(this->other_port());
    this->world.expect(
        before == afterwards, "nothing is committed after a cancel");
    this->world.expect(
        !was_acknowledged || results_at_acknowledgement == afterwards,
        "nothing is committed after an acknowledged cancel");
    // A fault may delay the cancel until all items are done.
    const std::string status = this->read_status(this->other_port());
    const bool was_complete =
        status == "completed" &&
        std::ranges::count(before, '\n') == static_cast<std::ptrdiff_t>(items);
    this->world.expect(
        status == "cancelled" || was_complete,
        "a cancelled job says so, found " + status);
    for (const auto& [name, response] : this->expected)
    {
        for (const process::logged_run& run : this->world.find_runs(name))
        {
            this->world.expect(
                run.started_ms <= cancelled_ms + cancel_grace_ms,
                "item " + name + " was started after the cancel");
        }
    }
}

} // namespace

cell_result run_batch_cell(const matrix_cell& cell, std::uint64_t seed)
{
    batch_cell run(cell, seed);
    return run.run();
}

} // namespace chicory::faults
