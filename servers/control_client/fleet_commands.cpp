#include "servers/control_client/fleet_commands.hpp"

#include <boost/json/array.hpp>

#include <cstdlib>
#include <sstream>
#include <utility>

namespace chicory::control
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr duration gate_timeout = std::chrono::seconds(2);

json::object describe_vm(const ports::listed_vm& vm)
{
    json::object fields;
    fields["id"] = vm.id;
    fields["role"] = vm.role;
    fields["state"] = vm.state;
    fields["incarnation"] = vm.incarnation;
    fields["region"] = vm.region;
    fields["zone"] = vm.zone;
    fields["address"] = vm.address;
    fields["http_port"] = vm.http_port;
    fields["service"] = vm.service;
    return fields;
}

std::string
find_pools(const configuration::table_set& tables, const std::string& service)
{
    std::string names;
    for (const auto& [name, pool] : tables.pools)
    {
        if (pool.service == service)
        {
            names += names.empty() ? name : "," + name;
        }
    }
    return names;
}

std::vector<std::string> list_pools(const configuration::table_set& tables)
{
    std::vector<std::string> names;
    for (const auto& [name, pool] : tables.pools)
    {
        names.push_back(name);
    }
    return names;
}

/// Adds the load of a runner. Fields that were not reported are null.
void describe_load(json::object& fields, const runner_load& load)
{
    for (const std::string_view field :
         {"owner",
          "online_in_progress",
          "online_queued",
          "batch_in_progress",
          "limit",
          "in_progress",
          "slots",
          "leaving",
          "model"})
    {
        fields[field] = nullptr;
    }
    if (load.queue)
    {
        fields["owner"] = load.owner;
        fields["online_in_progress"] = load.queue->online_in_progress;
        fields["online_queued"] = load.queue->online_queued;
        fields["batch_in_progress"] = load.queue->batch_in_progress;
        fields["limit"] = load.queue->limit;
    }
    if (load.report)
    {
        fields["in_progress"] = load.report->in_progress;
        fields["slots"] = load.report->slots;
        fields["leaving"] = load.report->leaving;
        fields["model"] = load.report->model;
    }
}

/// Returns the text of a field in a table; "-" for an empty or null field.
std::string format_field(const json::object& fields, std::string_view field)
{
    const std::string text = format_value(fields.at(field));
    return text.empty() || text == "null" ? "-" : text;
}

/// Returns the state of a runner. The runner may report that it is leaving
/// before the VM list does.
std::string find_state(const ports::listed_vm& vm, const runner_load& load)
{
    return load.report && load.report->leaving ? "leaving" : vm.state;
}

/// Health and metrics of one gate.
struct gate_state
{
    net::endpoint gate;
    std::string health;
    std::map<std::string, double> metrics;
};

asio::awaitable<gate_state>
fetch_gate_state(net::http_client& client, net::endpoint gate)
{
    gate_state state;
    state.gate = gate;
    net::http_request health;
    health.target = "/healthz";
    const result<net::http_response> response =
        co_await client.request(gate, std::move(health), gate_timeout);
    if (!response)
    {
        state.health = "no answer: " + response.error().text;
        co_return state;
    }
    state.health = response.value().status == 200
                       ? "serving"
                       : "status " + std::to_string(response.value().status);
    net::http_request metrics;
    metrics.target = "/metrics";
    const result<net::http_response> page =
        co_await client.request(gate, std::move(metrics), gate_timeout);
    if (page && page.value().status == 200)
    {
        state.metrics = parse_metrics(page.value().body);
    }
    co_return state;
}

std::string format_endpoint(const net::endpoint& gate)
{
    return gate.address + ":" + std::to_string(gate.port);
}

std::string format_gate(const gate_state& state)
{
    std::ostringstream text;
    text << format_endpoint(state.gate) << "  " << state.health << "\n";
    for (const auto& [name, value] : state.metrics)
    {
        if (value != 0)
        {
            text << "    " << name << " " << value << "\n";
        }
    }
    return text.str();
}

json::object describe_gate(const gate_state& state)
{
    json::object fields;
    fields["gate"] = format_endpoint(state.gate);
    fields["health"] = state.health;
    json::object values;
    for (const auto& [name, value] : state.metrics)
    {
        values[name] = value;
    }
    fields["metrics"] = std::move(values);
    return fields;
}

} // namespace

std::map<std::string, double> parse_metrics(std::string_view page)
{
    std::map<std::string, double> values;
    std::istringstream lines{std::string(page)};
    for (std::string line; std::getline(lines, line);)
    {
        const std::size_t space = line.rfind(' ');
        if (line.starts_with('#') || space == std::string::npos)
        {
            continue;
        }
        values[line.substr(0, space)] =
            std::strtod(line.c_str() + space, nullptr);
    }
    return values;
}

fleet_commands::fleet_commands(
    ports::vm_list& initial_vms,
    configuration_store& initial_store,
    net::http_client& client,
    load_source initial_source)
    : vms(initial_vms), store(initial_store), http(client),
      read_loads(std::move(initial_source))
{
}

asio::awaitable<command_report> fleet_commands::list_vms()
{
    const result<std::vector<ports::listed_vm>> listed =
        co_await this->vms.read();
    if (!listed)
    {
        co_return report_error(listed.error());
    }
    std::vector<std::vector<std::string>> lines = {
        {"id", "role", "state", "incarnation", "zone", "address"}};
    json::array rows;
    for (const ports::listed_vm& vm : listed.value())
    {
        lines.push_back(
            {vm.id,
             vm.role,
             vm.state,
             std::to_string(vm.incarnation),
             vm.zone,
             format_endpoint({vm.address, vm.http_port})});
        rows.emplace_back(describe_vm(vm));
    }
    command_report report;
    report.text = format_columns(lines);
    report.content["vms"] = std::move(rows);
    co_return report;
}

asio::awaitable<command_report> fleet_commands::list_runners()
{
    const result<std::vector<ports::listed_vm>> listed =
        co_await this->vms.read();
    if (!listed)
    {
        co_return report_error(listed.error());
    }
    const result<stored_configuration> stored = co_await this->store.read();
    if (!stored)
    {
        co_return report_error(stored.error());
    }
    const configuration::table_set& tables = stored.value().tables;
    runner_loads loads =
        co_await this->read_loads(listed.value(), list_pools(tables));
    const std::vector<std::string> columns = {
        "id",
        "state",
        "zone",
        "pools",
        "owner",
        "online_in_progress",
        "online_queued",
        "batch_in_progress",
        "limit",
        "in_progress",
        "slots",
        "model"};
    std::vector<std::vector<std::string>> lines = {columns};
    json::array rows;
    for (const ports::listed_vm& vm : listed.value())
    {
        if (vm.role != "runner")
        {
            continue;
        }
        const runner_load& load = loads[vm.id];
        json::object fields = describe_vm(vm);
        fields["pools"] = find_pools(tables, vm.service);
        fields["state"] = find_state(vm, load);
        describe_load(fields, load);
        std::vector<std::string>& line = lines.emplace_back();
        for (const std::string& column : columns)
        {
            line.push_back(format_field(fields, column));
        }
        rows.emplace_back(std::move(fields));
    }
    command_report report;
    report.text = format_columns(lines);
    report.content["runners"] = std::move(rows);
    co_return report;
}

asio::awaitable<command_report>
fleet_commands::status(std::vector<net::endpoint> gates)
{
    command_report report;
    const result<stored_configuration> stored = co_await this->store.read();
    if (stored)
    {
        const std::int64_t revision = stored.value().tables.revision;
        report.content["revision"] = revision;
        report.text =
            "table service: revision " + std::to_string(revision) + "\n";
    }
    else
    {
        report.exit = client_exit::unavailable;
        report.content["table_service"] = stored.error().text;
        report.text = "table service: " + stored.error().text + "\n";
    }
    json::array rows;
    for (const net::endpoint& gate : gates)
    {
        const gate_state state = co_await fetch_gate_state(this->http, gate);
        if (state.health != "serving")
        {
            report.exit = client_exit::unavailable;
        }
        report.text += format_gate(state);
        rows.emplace_back(describe_gate(state));
    }
    report.content["gates"] = std::move(rows);
    co_return report;
}

} // namespace chicory::control
