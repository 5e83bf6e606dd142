#include "tests/process/fleet.hpp"

#include "core/core.hpp"
#include "tests/process/wait.hpp"

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <utility>

namespace chicory::process
{

namespace json = boost::json;

namespace
{

const std::string address = "127.0.0.1";
/// Port of runners without a process. Connections to it are refused.
constexpr std::uint16_t absent_port = 1;
const std::string test_binaries = CHICORY_BINARY_DIR "/tests/";
const std::string binaries = CHICORY_BINARY_DIR "/";

const char* get_program_name(daemon which)
{
    switch (which)
    {
    case daemon::control:
        return "chicory-control";
    case daemon::gate:
        return "chicory-gate";
    case daemon::batch:
        return "chicory-batch";
    }
    return "";
}

std::uint16_t get_port(const json::value& source, const char* name)
{
    return source.at(name).to_number<std::uint16_t>();
}

json::object make_vm_entry(
    const std::string& id,
    const std::string& role,
    const std::string& zone,
    std::uint64_t incarnation)
{
    json::object line;
    line["id"] = id;
    line["role"] = role;
    line["state"] = "live";
    line["incarnation"] = incarnation;
    line["region"] = "at-ost";
    line["zone"] = zone;
    line["address"] = address;
    line["service"] = "";
    for (const char* const port :
         {"http_port", "link_port", "batch_port", "gossip_port"})
    {
        line[port] = 0;
    }
    return line;
}

json::object make_vm_entry(const entry_vm& vm)
{
    json::object line = make_vm_entry(vm.id, "entry", vm.zone, vm.incarnation);
    line["state"] = vm.listed_state;
    line["http_port"] = vm.gate_http;
    line["link_port"] = vm.listed_link;
    line["batch_port"] = vm.batch_http;
    line["gossip_port"] = vm.listed_gossip;
    return line;
}

json::object make_vm_entry(const runner_vm& vm)
{
    json::object line = make_vm_entry(vm.id, "runner", vm.zone, vm.incarnation);
    line["state"] = vm.listed_state;
    line["http_port"] = vm.listed;
    line["service"] = vm.service;
    return line;
}

void append_runs(const runner_vm& vm, std::vector<logged_run>& runs)
{
    std::ifstream file(vm.log_file);
    std::string text;
    std::map<std::string, std::size_t> run_indices;
    while (std::getline(file, text))
    {
        boost::system::error_code failed;
        const json::value line = json::parse(text, failed);
        if (failed || line.as_object().if_contains("run_id") == nullptr)
        {
            continue;
        }
        const std::string run_id =
            json::value_to<std::string>(line.at("run_id"));
        if (line.at("event").as_string() != "ended")
        {
            run_indices[run_id] = runs.size();
            runs.push_back({});
        }
        logged_run& run = runs[run_indices[run_id]];
        run.runner = vm.id;
        run.run_id = run_id;
        run.custom_id = json::value_to<std::string>(line.at("custom_id"));
        run.outcome = json::value_to<std::string>(line.at("outcome"));
        run.started_ms = line.at("started_ms").as_int64();
        run.ended_ms = line.at("ended_ms").as_int64();
    }
}

} // namespace

fleet::fleet(std::string name, std::uint64_t seed)
    : work_folder(
          std::filesystem::temp_directory_path().string() + "/chicory-" + name +
          "-" + std::to_string(::getpid()))
{
    std::filesystem::remove_all(this->work_folder);
    std::filesystem::create_directories(this->work_folder);
    const std::vector<std::string> seeded{"--seed", std::to_string(seed)};
    this->platform = std::make_unique<child_process>(
        test_binaries + "standin-platform",
        seeded,
        this->work_folder + "/platform.out");
    this->proxy = std::make_unique<child_process>(
        test_binaries + "fault-proxy",
        seeded,
        this->work_folder + "/proxy.out");
    this->platform_http = this->platform->wait_for_port();
    this->proxy_http = this->proxy->wait_for_port();
    this->operator_platform =
        this->open_leg("operator-platform", this->platform_http);
    std::ofstream settings(this->work_folder + "/chicoryctl.toml");
    settings << "operator = \"test\"\n"
             << make_platform_settings(this->operator_platform);
}

fleet::~fleet()
{
    this->entries.clear();
    this->runners.clear();
    std::error_code ignored;
    if (std::getenv("CHICORY_KEEP_FOLDERS") == nullptr)
    {
        std::filesystem::remove_all(this->work_folder, ignored);
    }
}

std::string fleet::make_platform_settings(std::uint16_t port)
{
    std::string lines = "[platform]\n";
    for (const char* const service :
         {"table_service", "object_store", "vm_list"})
    {
        lines += std::string(service) + "_address = \"" + address + "\"\n" +
                 service + "_port = " + std::to_string(port) + "\n";
    }
    return lines;
}

std::uint16_t
fleet::open_leg(const std::string& name, std::uint16_t target, bool udp)
{
    const json::value opened = this->call_proxy(
        "/legs",
        {{"name", name},
         {"protocol", udp ? "udp" : "tcp"},
         {"target_port", target}});
    return get_port(opened, "port");
}

runner_vm& fleet::add_runner(
    const std::string& service,
    const std::string& zone,
    const runner_options& options,
    bool proxied)
{
    std::unique_ptr<runner_vm> created = std::make_unique<runner_vm>();
    created->id = service + "-" + std::to_string(this->runners.size());
    created->service = service;
    created->zone = zone;
    created->options = options;
    created->http = find_free_port();
    created->log_file = this->work_folder + "/" + created->id + ".runs";
    created->listed =
        proxied ? this->open_leg(created->id, created->http) : created->http;
    this->start_server(*created);
    this->runners.push_back(std::move(created));
    return *this->runners.back();
}

void fleet::start_server(runner_vm& vm)
{
    const runner_options& options = vm.options;
    std::vector<std::string> arguments{
        "--port",
        std::to_string(vm.http),
        "--slots",
        std::to_string(options.slots),
        "--first-token-ms",
        std::to_string(options.first_token_ms),
        "--token-ms",
        std::to_string(options.token_ms),
        "--load-lag-ms",
        std::to_string(options.load_lag_ms),
        "--log",
        vm.log_file,
        "--weights-address",
        "127.0.0.1",
        "--weights-port",
        std::to_string(this->platform_http)};
    if (options.plain)
    {
        arguments.emplace_back("--plain");
    }
    if (options.ignore_fencing)
    {
        arguments.emplace_back("--ignore-fencing");
    }
    if (!options.crash_mark.empty())
    {
        arguments.emplace_back("--crash-mark");
        arguments.push_back(options.crash_mark);
    }
    vm.server.reset();
    vm.server = std::make_unique<child_process>(
        test_binaries + "standin-runner",
        arguments,
        this->work_folder + "/" + vm.id + ".out");
    vm.server->wait_for_port();
}

void fleet::set_gate_lines(std::string lines)
{
    this->gate_lines = std::move(lines);
}

entry_vm& fleet::add_entry_vm(const std::string& zone, bool proxied)
{
    std::unique_ptr<entry_vm> created = std::make_unique<entry_vm>();
    created->id = "entry-" + std::to_string(this->entries.size());
    created->zone = zone;
    created->gate_http = find_free_port();
    created->gate_link = find_free_port();
    created->batch_http = find_free_port();
    created->control_link = find_free_port();
    created->control_gossip = find_free_port();
    created->listed_link = created->gate_link;
    created->listed_gossip = created->control_gossip;
    created->platform = this->platform_http;
    if (proxied)
    {
        created->listed_link =
            this->open_leg(created->id + "-link", created->gate_link);
        created->listed_gossip = this->open_leg(
            created->id + "-gossip", created->control_gossip, true);
        created->platform =
            this->open_leg(created->id + "-platform", this->platform_http);
    }
    this->write_settings(*created);
    this->entries.push_back(std::move(created));
    entry_vm& added = *this->entries.back();
    for (const daemon which : {daemon::control, daemon::gate, daemon::batch})
    {
        this->start_daemon(added, which);
    }
    return added;
}

void fleet::write_settings(const entry_vm& vm) const
{
    std::ofstream file(this->work_folder + "/" + vm.id + ".toml");
    file << "[vm]\nid = \"" << vm.id << "\"\nregion = \"at-ost\"\nzone = \""
         << vm.zone << "\"\naddress = \"" << address << "\"\n[gate]\n"
         << "http_port = " << vm.gate_http << "\nlink_port = " << vm.gate_link
         << "\n"
         << this->gate_lines << "[batch]\nhttp_port = " << vm.batch_http
         << "\n[control]\nlink_port = " << vm.control_link
         << "\ngossip_port = " << vm.control_gossip << "\n[charts]\nfolder = \""
         << CHICORY_SOURCE_DIR "/charts"
         << "\"\n"
         << make_platform_settings(vm.platform);
}

void fleet::start_daemon(entry_vm& owner, daemon which)
{
    const std::string program = get_program_name(which);
    owner.daemons[which].reset();
    owner.daemons[which] = std::make_unique<child_process>(
        binaries + program,
        std::vector<std::string>{
            "--settings", this->work_folder + "/" + owner.id + ".toml"},
        this->work_folder + "/" + owner.id + "-" + program + ".out");
}

void fleet::kill(entry_vm& vm)
{
    for (const auto& [which, process] : vm.daemons)
    {
        process->signal(SIGKILL);
        process->wait();
    }
}

void fleet::restart(entry_vm& vm)
{
    this->kill(vm);
    ++vm.incarnation;
    this->publish_vms();
    for (const daemon which : {daemon::control, daemon::gate, daemon::batch})
    {
        this->start_daemon(vm, which);
    }
}

void fleet::restart(runner_vm& vm)
{
    vm.server.reset();
    ++vm.incarnation;
    this->start_server(vm);
    this->publish_vms();
}

void fleet::list_absent_runners(std::string service, std::size_t count)
{
    this->absent_service = std::move(service);
    this->absent_runners = count;
}

void fleet::publish_vms(std::int64_t lag_ms)
{
    json::array lines;
    for (const std::unique_ptr<entry_vm>& vm : this->entries)
    {
        lines.push_back(make_vm_entry(*vm));
    }
    for (const std::unique_ptr<runner_vm>& vm : this->runners)
    {
        lines.push_back(make_vm_entry(*vm));
    }
    for (std::size_t index = 0; index < this->absent_runners; ++index)
    {
        runner_vm vm;
        vm.id = this->absent_service + "-absent-" + std::to_string(index);
        vm.zone = "krems";
        vm.service = this->absent_service;
        vm.listed = absent_port;
        lines.push_back(make_vm_entry(vm));
    }
    net::http_request request;
    request.method = "PUT";
    request.target = "/control/vms";
    request.body = json::serialize(
        json::object{{"vms", std::move(lines)}, {"lag_ms", lag_ms}});
    call(this->platform_http, std::move(request));
}

int fleet::run_chicoryctl(
    std::vector<std::string> arguments, std::string& output)
{
    std::vector<std::string> all{
        "--settings", this->work_folder + "/chicoryctl.toml"};
    all.insert(all.end(), arguments.begin(), arguments.end());
    child_process client(
        binaries + "chicoryctl",
        all,
        this->work_folder + "/chicoryctl-" +
            std::to_string(++this->chicoryctl_runs) + ".out");
    const int code = client.wait();
    output = client.output();
    return code;
}

int fleet::set_pool(const std::string& name, std::vector<std::string> fields)
{
    return this->set_row("pool", name, std::move(fields));
}

int fleet::set_route(const std::string& name, std::vector<std::string> fields)
{
    return this->set_row("route", name, std::move(fields));
}

int fleet::set_row(
    const std::string& table,
    const std::string& name,
    std::vector<std::string> fields)
{
    std::vector<std::string> arguments{table, "set", name};
    arguments.insert(arguments.end(), fields.begin(), fields.end());
    std::string output;
    const int code = this->run_chicoryctl(arguments, output);
    if (code != 0)
    {
        std::cerr << "chicoryctl " << table << " set " << name << ": " << output
                  << std::endl;
    }
    return code;
}

bool fleet::wait_until_serving(const std::string& route, const std::string& key)
{
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers["authorization"] = "Bearer " + key;
    request.headers["content-type"] = "application/json";
    request.body = json::serialize(
        json::object{{"model", route}, {"prompt", "ready"}, {"max_tokens", 1}});
    for (const std::unique_ptr<entry_vm>& vm : this->entries)
    {
        const bool served = wait_until(
            [&request, &vm]()
            {
                return call(vm->gate_http, request).status == 200;
            });
        if (!served)
        {
            return false;
        }
    }
    return true;
}

json::value
fleet::call_proxy(const std::string& target, const json::object& request)
{
    return parse_body(post(this->proxy_http, target, json::serialize(request)));
}

std::int64_t fleet::count_hits(std::int64_t rule_id)
{
    const json::value rules = parse_body(get(this->proxy_http, "/rules"));
    return rules.as_array()
        .at(static_cast<std::size_t>(rule_id))
        .at("hits")
        .as_int64();
}

void fleet::set_platform_fault(const json::object& request)
{
    post(this->platform_http, "/control/faults", json::serialize(request));
}

json::value fleet::read_platform_log()
{
    return parse_body(get(this->platform_http, "/control/log"));
}

std::vector<logged_run> fleet::read_runs() const
{
    std::vector<logged_run> runs;
    for (const std::unique_ptr<runner_vm>& vm : this->runners)
    {
        append_runs(*vm, runs);
    }
    return runs;
}

entry_vm& fleet::entry(std::size_t index)
{
    return *this->entries.at(index);
}

runner_vm& fleet::runner(std::size_t index)
{
    return *this->runners.at(index);
}

std::size_t fleet::entry_count() const
{
    return this->entries.size();
}

std::size_t fleet::runner_count() const
{
    return this->runners.size();
}

std::uint16_t fleet::platform_port() const
{
    return this->platform_http;
}

const std::string& fleet::folder() const
{
    return this->work_folder;
}

std::string key_digest(const std::string& key)
{
    return "key_digests=[\"" + sha256_hex(key) + "\"]";
}

} // namespace chicory::process
