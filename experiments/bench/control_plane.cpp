#include "experiments/bench/experiment.hpp"

#include "tests/process/wait.hpp"

#include <chrono>

namespace chicory::bench
{

namespace
{

const std::string edited_route = "parcels";
const std::string edited_key = "parcel-key";
constexpr std::size_t spread_processes = 13;
constexpr std::size_t spread_edits = 5;

net::http_request make_probe(const std::string& route, const std::string& key)
{
    boost::json::object body;
    body["model"] = route;
    body["prompt"] = "probe";
    body["max_tokens"] = 1;
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers["authorization"] = "Bearer " + key;
    request.headers["content-type"] = "application/json";
    request.body = boost::json::serialize(body);
    return request;
}

/// Returns the time in seconds from the start of an edit until every gate
/// accepts the new key, or -1 when a gate does not accept it in time.
double measure_edit(process::fleet& target, std::size_t number)
{
    const std::string key = edited_key + std::to_string(number);
    const time_point start = read_monotonic_clock();
    const int code = target.set_route(
        edited_route,
        {"member=kremstal", "pool=llm", process::key_digest(key)});
    const net::http_request probe = make_probe(edited_route, key);
    bool everywhere = code == 0;
    for (std::size_t index = 0; index < target.entry_count(); ++index)
    {
        const std::uint16_t port = target.entry(index).gate_http;
        everywhere = everywhere &&
                     process::wait_until(
                         [&probe, port]()
                         {
                             return process::call(port, probe).status == 200;
                         });
    }
    const std::chrono::duration<double> elapsed =
        read_monotonic_clock() - start;
    return everywhere ? elapsed.count() : -1.0;
}

} // namespace

/// Measures the seconds from the start of an edit until it is in force on 13
/// entry VMs.
void run_spread(experiment_report& report)
{
    fleet_plan sizes;
    sizes.entry_vms = spread_processes;
    const auto target = start_fleet("spread", sizes);
    if (target == nullptr)
    {
        report.add_line("the fleet did not start serving requests");
        return;
    }
    double max_s = 0.0;
    double sum_s = 0.0;
    double failures = 0.0;
    for (std::size_t number = 0; number < spread_edits; ++number)
    {
        const double seconds = measure_edit(*target, number);
        report.add_line(
            "edit " + std::to_string(number) + ": " + std::to_string(seconds) +
            " s until in force everywhere");
        failures += seconds < 0.0 ? 1.0 : 0.0;
        max_s = std::max(max_s, seconds);
        sum_s += seconds;
    }
    report.add_figure("mean_s", sum_s / static_cast<double>(spread_edits));
    report.add_figure("worst_s", max_s);
    report.add_figure("failed", failures);
    report.add_figure("entry_vms", static_cast<double>(spread_processes));
}

} // namespace chicory::bench
