#include "experiments/bench/experiment.hpp"

#include "policy/configuration/configuration.hpp"
#include "tests/process/http_call.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <iomanip>
#include <sstream>
#include <thread>

namespace chicory::bench
{

namespace
{

const std::string service = "llm";
const std::string route = "letters";
const std::string key = "experiment-key";
const std::vector<std::string> zones{"krems", "stpoelten", "wien", "tulln"};
constexpr std::size_t rows_per_transaction = 500;
constexpr std::chrono::seconds warm_up_time(8);
constexpr std::chrono::seconds measurement_time(15);
constexpr double kb_per_mb = 1024.0;

/// Size of a fleet.
struct control_size
{
    std::size_t members = 4;
    std::size_t listed_runners = 0;
    std::size_t routes = 0;
};

/// Means per node over the measurement time.
struct control_cost
{
    double processor_percent = 0.0;
    double sent_per_s = 0.0;
    double received_per_s = 0.0;
    double listed_per_s = 0.0;
    double read_per_s = 0.0;
    double control_mb = 0.0;
    double gate_mb = 0.0;
    double batch_mb = 0.0;
};

/// Counters, summed over all control processes.
struct control_counts
{
    double processor_ms = 0.0;
    double sent = 0.0;
    double received = 0.0;
    /// Bytes in response bodies of the platform: the VM list, and rows that
    /// were read, also by batch processes.
    double listed = 0.0;
    double read = 0.0;
};

/// Writes routes of other organisations directly to the table service.
void write_routes(process::fleet& target, std::size_t count)
{
    boost::json::array writes;
    for (std::size_t number = 1; number <= count; ++number)
    {
        configuration::route entry;
        entry.name = "organisation-" + std::to_string(number);
        entry.member = "member-" + std::to_string(number);
        entry.pool = service;
        entry.key_digests = {sha256_hex(entry.name)};
        writes.push_back(boost::json::object{
            {"key", std::string(configuration::route_prefix) + entry.name},
            {"value", configuration::encode_route(entry)}});
        if (writes.size() == rows_per_transaction || number == count)
        {
            const boost::json::object body{
                {"conditions", boost::json::array()},
                {"writes", std::move(writes)}};
            process::post(
                target.platform_port(),
                "/table/transactions",
                boost::json::serialize(body));
            writes = boost::json::array();
        }
    }
}

/// Starts a fleet whose tables are complete before the first node reads them.
/// Returns null when it does not start serving.
std::unique_ptr<process::fleet> start_sized_fleet(const control_size& size)
{
    auto fleet = std::make_unique<process::fleet>("experiment-control", 1);
    for (const std::string& zone : zones)
    {
        fleet->add_runner(service, zone, {});
    }
    const bool configured =
        fleet->set_pool(
            service, {"service=" + service, "slots_per_runner=4"}) == 0 &&
        fleet->set_route(
            route,
            {"member=kremstal", "pool=" + service, process::key_digest(key)}) ==
            0;
    write_routes(*fleet, size.routes);
    fleet->list_absent_runners("other", size.listed_runners);
    for (std::size_t index = 0; index < size.members; ++index)
    {
        fleet->add_entry_vm(zones[index % zones.size()]);
    }
    fleet->publish_vms();
    return configured && fleet->wait_until_serving(route, key)
               ? std::move(fleet)
               : nullptr;
}

control_counts read_counts(process::fleet& target)
{
    control_counts sum;
    for (std::size_t index = 0; index < target.entry_count(); ++index)
    {
        process::entry_vm& vm = target.entry(index);
        const std::string text =
            process::get(vm.control_gossip, "/metrics").body;
        sum.sent += read_counter(text, "chicory_gossip_sent_bytes_total");
        sum.received +=
            read_counter(text, "chicory_gossip_received_bytes_total");
        sum.processor_ms += static_cast<double>(
            vm.daemons[process::daemon::control]->processor_ms());
    }
    const boost::json::value log = target.read_platform_log();
    const boost::json::value& bytes = log.at("answer_bytes");
    sum.listed = bytes.at("/vms").to_number<double>();
    sum.read = bytes.at("/table/read").to_number<double>();
    return sum;
}

double mean_resident_mb(process::fleet& target, process::daemon kind)
{
    double sum = 0.0;
    for (std::size_t index = 0; index < target.entry_count(); ++index)
    {
        sum += static_cast<double>(
            target.entry(index).daemons[kind]->resident_kb());
    }
    return sum / kb_per_mb / static_cast<double>(target.entry_count());
}

control_cost measure_control(const control_size& size)
{
    control_cost cost;
    const auto target = start_sized_fleet(size);
    if (target == nullptr)
    {
        return cost;
    }
    std::this_thread::sleep_for(warm_up_time);
    const control_counts before = read_counts(*target);
    std::this_thread::sleep_for(measurement_time);
    const control_counts after = read_counts(*target);
    const double node_seconds = static_cast<double>(size.members) *
                                static_cast<double>(measurement_time.count());
    cost.processor_percent =
        (after.processor_ms - before.processor_ms) / 10.0 / node_seconds;
    cost.sent_per_s = (after.sent - before.sent) / node_seconds;
    cost.received_per_s = (after.received - before.received) / node_seconds;
    cost.listed_per_s = (after.listed - before.listed) / node_seconds;
    cost.read_per_s = (after.read - before.read) / node_seconds;
    cost.control_mb = mean_resident_mb(*target, process::daemon::control);
    cost.gate_mb = mean_resident_mb(*target, process::daemon::gate);
    cost.batch_mb = mean_resident_mb(*target, process::daemon::batch);
    return cost;
}

void add_cost_row(
    experiment_report& report,
    const control_size& size,
    const control_cost& cost)
{
    std::ostringstream line;
    line << std::fixed << std::setprecision(2) << std::setw(7) << size.members
         << std::setw(9) << size.listed_runners << std::setw(8) << size.routes
         << std::setw(8) << cost.processor_percent << std::setw(9)
         << cost.sent_per_s << std::setw(10) << cost.received_per_s
         << std::setw(10) << cost.listed_per_s << std::setw(9)
         << cost.read_per_s << std::setw(12) << cost.control_mb << std::setw(9)
         << cost.gate_mb << std::setw(10) << cost.batch_mb;
    report.add_line(line.str());
    const std::string name = std::to_string(size.members) + "_" +
                             std::to_string(size.listed_runners) + "_" +
                             std::to_string(size.routes);
    report.add_figure("cpu_percent_" + name, cost.processor_percent);
    report.add_figure("sent_" + name, cost.sent_per_s);
    report.add_figure("received_" + name, cost.received_per_s);
    report.add_figure("listed_" + name, cost.listed_per_s);
    report.add_figure("read_" + name, cost.read_per_s);
    report.add_figure("control_mb_" + name, cost.control_mb);
    report.add_figure("gate_mb_" + name, cost.gate_mb);
}

} // namespace

/// Measures processor time, bytes and memory of idle nodes for different
/// numbers of members, of runners in the VM list and of routes. Sent and
/// received bytes per second are those of gossip, as counted by the control
/// processes. Bytes of the VM list and of rows are those of the response bodies
/// of the platform, including rows read by batch processes. Listed runners
/// beyond the first four have no process.
void run_control(experiment_report& report)
{
    report.add_line(
        "members  runners  routes   cpu%   sent/s  received   VM list   "
        "  rows  "
        "control MB  gate MB  batch MB");
    const std::vector<control_size> sizes{
        {4, 0, 0},
        {8, 0, 0},
        {13, 0, 0},
        {8, 100, 0},
        {8, 600, 0},
        {4, 0, 2000},
        {4, 0, 23000}};
    for (const control_size& size : sizes)
    {
        add_cost_row(report, size, measure_control(size));
    }
}

} // namespace chicory::bench
