#ifndef CHICORY_TESTS_PROCESS_FLEET_HPP
#define CHICORY_TESTS_PROCESS_FLEET_HPP

#include "tests/process/child_process.hpp"
#include "tests/process/http_call.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chicory::process
{

/// How a stand-in runner of a fleet behaves.
struct runner_options
{
    std::int64_t slots = 4;
    std::int64_t first_token_ms = 10;
    std::int64_t token_ms = 5;
    std::int64_t load_lag_ms = 0;
    bool plain = false;
    bool ignore_fencing = false;
    std::string crash_mark;
};

/// One of the three daemons of an entry VM.
enum class daemon
{
    control,
    gate,
    batch,
};

/// An entry VM with its daemons.
struct entry_vm
{
    std::string id;
    std::string zone;
    std::uint64_t incarnation = 1;
    std::string listed_state = "live";
    std::uint16_t gate_http = 0;
    std::uint16_t gate_link = 0;
    std::uint16_t batch_http = 0;
    std::uint16_t control_link = 0;
    std::uint16_t control_gossip = 0;
    /// Ports that the VM list shows in place of the daemons' own, so that a
    /// proxy stands between; zero where there is none.
    std::uint16_t listed_link = 0;
    std::uint16_t listed_gossip = 0;
    /// Port of the platform that the daemons use.
    std::uint16_t platform = 0;
    std::map<daemon, std::unique_ptr<child_process>> daemons;
};

/// A runner of the fleet.
struct runner_vm
{
    std::string id;
    std::string zone;
    std::string service;
    std::uint64_t incarnation = 1;
    std::string listed_state = "live";
    runner_options options;
    std::uint16_t http = 0;
    /// Port that the VM list shows.
    std::uint16_t listed = 0;
    std::string log_file;
    std::unique_ptr<child_process> server;
};

/// One run as a runner's own log shows it. A request that the runner refused
/// has the outcome "refused" and did not run.
struct logged_run
{
    std::string runner;
    std::string run_id;
    std::string custom_id;
    std::string outcome;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0;
};

/// A whole fleet on loopback: the platform, a fault proxy, entry VMs and
/// runners, all real processes. Everything is stopped when the object goes.
class fleet
{
public:
    /// Starts the platform and the proxy; `seed` fixes their draws.
    fleet(std::string name, std::uint64_t seed);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts a runner and adds it to the VM list. With `proxied` all traffic
    /// to it goes through a leg named after it.
    runner_vm& add_runner(
        const std::string& service,
        const std::string& zone,
        const runner_options& options,
        bool proxied = false);

    /// Adds lines to the [gate] table of entry VMs that are added later.
    void set_gate_lines(std::string lines);

    /// Starts the daemons of an entry VM and adds it to the VM list. With
    /// `proxied` its links, its gossip and its way to the platform go through
    /// legs named ID-link, ID-gossip and ID-platform.
    entry_vm& add_entry_vm(const std::string& zone, bool proxied = false);

    /// Starts a runner or a daemon again on the same ports, as a VM that was
    /// replaced: with a new incarnation in the VM list.
    void restart(runner_vm& replaced);
    void restart(entry_vm& replaced);

    /// Starts one daemon again in place.
    void start_daemon(entry_vm& owner, daemon which);

    /// Ends everything of a VM with SIGKILL.
    void kill(entry_vm& lost);

    /// Lists runners of a service that have no process, from the next
    /// `publish_vms` on.
    void list_absent_runners(std::string service, std::size_t count);

    /// Puts the true VM list.
    void publish_vms(std::int64_t lag_ms = 0);

    /// Sets a row with chicoryctl; returns its exit code.
    int set_pool(const std::string& name, std::vector<std::string> fields);
    int set_route(const std::string& name, std::vector<std::string> fields);

    /// Runs chicoryctl; returns its exit code and fills its output.
    int run_client(std::vector<std::string> arguments, std::string& output);

    /// Waits until every gate answers a request on a route.
    bool wait_until_serving(const std::string& route, const std::string& key);

    /// Calls of the proxy's and the platform's control interfaces.
    boost::json::value
    call_proxy(const std::string& target, const boost::json::object& request);
    std::int64_t count_hits(std::int64_t rule_id);
    void set_platform_fault(const boost::json::object& request);
    boost::json::value read_platform_log();

    /// Returns every run and refusal of every runner, from the log files, which
    /// outlive the processes.
    std::vector<logged_run> read_runs() const;

    entry_vm& entry(std::size_t place);
    runner_vm& runner(std::size_t place);
    std::size_t entry_count() const;
    std::size_t runner_count() const;
    std::uint16_t platform_port() const;
    const std::string& folder() const;

    /// Opens a leg of the proxy to a port and returns the leg's port.
    std::uint16_t
    open_leg(const std::string& name, std::uint16_t target, bool udp = false);

private:
    void write_settings(const entry_vm& vm) const;
    void start_server(runner_vm& vm);
    int set_row(
        const std::string& table,
        const std::string& name,
        std::vector<std::string> fields);
    static std::string platform_lines(std::uint16_t port);

    std::string work_folder;
    std::string gate_lines;
    std::string absent_service;
    std::size_t absent_runners = 0;
    std::unique_ptr<child_process> platform;
    std::unique_ptr<child_process> proxy;
    std::uint16_t platform_http = 0;
    std::uint16_t proxy_http = 0;
    /// The way of chicoryctl to the platform, leg operator-platform.
    std::uint16_t operator_platform = 0;
    std::vector<std::unique_ptr<entry_vm>> entries;
    std::vector<std::unique_ptr<runner_vm>> runners;
    int client_runs = 0;
};

/// Returns the assignment of a route's key digests for one key.
std::string key_digest(const std::string& key);

} // namespace chicory::process

#endif
