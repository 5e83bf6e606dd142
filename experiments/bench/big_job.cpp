#include "experiments/bench/experiment.hpp"

#include "tests/process/http_call.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <fstream>
#include <thread>

namespace chicory::bench
{

namespace
{

const std::string bulk_route = "bulk";
const std::string bulk_key = "bulk-key";
constexpr std::int64_t item_tokens = 8;
constexpr std::chrono::seconds call_timeout(120);
constexpr std::chrono::seconds idle_time(5);
constexpr double kb_per_mb = 1024.0;

/// Cost of one submission.
struct submission_cost
{
    int status = 0;
    double body_mb = 0.0;
    double seconds = 0.0;
    double processor_ms = 0.0;
    double peak_mb = 0.0;
    /// Resident memory 5 s after the response; maximum over all batch
    /// processes.
    double resident_mb = 0.0;
    double rows_written = 0.0;
};

std::string make_lines(std::int64_t items)
{
    std::string lines;
    for (std::int64_t number = 0; number < items; ++number)
    {
        const std::string name = "item-" + std::to_string(number);
        boost::json::object body;
        body["model"] = bulk_route;
        body["prompt"] = "draft " + name;
        body["max_tokens"] = item_tokens;
        boost::json::object line;
        line["custom_id"] = name;
        line["url"] = "/v1/completions";
        line["body"] = std::move(body);
        lines += boost::json::serialize(line) + "\n";
    }
    return lines;
}

/// Returns the peak resident memory of a process in MB.
double read_peak_mb(const process::child_process& target_process)
{
    std::ifstream status(
        "/proc/" + std::to_string(target_process.id()) + "/status");
    std::string field;
    while (status >> field)
    {
        if (field == "VmHWM:")
        {
            double kb = 0.0;
            status >> kb;
            return kb / kb_per_mb;
        }
    }
    return 0.0;
}

double count_writes(process::fleet& target)
{
    return target.read_platform_log().at("writes").to_number<double>();
}

submission_cost submit(std::int64_t items)
{
    submission_cost cost;
    const auto target = start_fleet("big-job", {});
    // No runner serves the pool, so that only the submission is measured.
    const bool ready =
        target != nullptr &&
        target->set_pool("bulk", {"service=absent", "slots_per_runner=4"}) ==
            0 &&
        target->set_route(
            bulk_route,
            {"member=kremstal", "pool=bulk", process::key_digest(bulk_key)}) ==
            0;
    if (!ready)
    {
        return cost;
    }
    std::this_thread::sleep_for(idle_time);
    process::entry_vm& receiver = target->entry(0);
    process::child_process& batch = *receiver.daemons[process::daemon::batch];
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/batches?route=" + bulk_route;
    request.headers["authorization"] = "Bearer " + bulk_key;
    request.headers["idempotency-key"] = "big-job";
    request.body = make_lines(items);
    cost.body_mb =
        static_cast<double>(request.body.size()) / kb_per_mb / kb_per_mb;
    const double writes_before = count_writes(*target);
    const std::int64_t processor_before_ms = batch.processor_ms();
    const time_point start = read_monotonic_clock();
    cost.status =
        process::call(receiver.batch_http, std::move(request), call_timeout)
            .status;
    const std::chrono::duration<double> elapsed =
        read_monotonic_clock() - start;
    cost.seconds = elapsed.count();
    cost.processor_ms =
        static_cast<double>(batch.processor_ms() - processor_before_ms);
    cost.rows_written = count_writes(*target) - writes_before;
    cost.peak_mb = read_peak_mb(batch);
    std::this_thread::sleep_for(idle_time);
    for (std::size_t index = 0; index < target->entry_count(); ++index)
    {
        const double resident_mb =
            static_cast<double>(target->entry(index)
                                    .daemons[process::daemon::batch]
                                    ->resident_kb()) /
            kb_per_mb;
        cost.resident_mb = std::max(cost.resident_mb, resident_mb);
    }
    return cost;
}

} // namespace

/// Measures time, processor time and memory of a batch process that accepts one
/// job, and the writes to the table service until the job is accepted.
void run_big_job(experiment_report& report)
{
    for (const std::int64_t items : {6'200, 62'000, 620'000})
    {
        const submission_cost cost = submit(items);
        report.add_line(
            std::to_string(items) + " items, " + std::to_string(cost.body_mb) +
            " MB: status " + std::to_string(cost.status) + " after " +
            std::to_string(cost.seconds) + " s, " +
            std::to_string(cost.processor_ms) + " ms of a core, " +
            std::to_string(cost.rows_written) + " writes, peak " +
            std::to_string(cost.peak_mb) + " MB, " +
            std::to_string(cost.resident_mb) + " MB 5 s later");
        const std::string name = std::to_string(items);
        report.add_figure("status_" + name, cost.status);
        report.add_figure("seconds_" + name, cost.seconds);
        report.add_figure("cpu_ms_" + name, cost.processor_ms);
        report.add_figure("writes_" + name, cost.rows_written);
        report.add_figure("peak_mb_" + name, cost.peak_mb);
        report.add_figure("held_mb_" + name, cost.resident_mb);
    }
}

} // namespace chicory::bench
