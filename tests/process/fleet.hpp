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

/// Options of a stand-in runner of a fleet.
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

/// Kind of a daemon on an entry VM.
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
    /// Ports that the VM list shows instead of the daemons' own ports, so that
    /// the traffic passes through the proxy.
    std::uint16_t listed_link = 0;
    std::uint16_t listed_gossip = 0;
    /// Port through which the daemons reach the platform.
    std::uint16_t platform = 0;
    std::map<daemon, std::unique_ptr<child_process>> daemons;
};

/// A VM with one runner.
struct runner_vm
{
    std::string id;
    std::string zone;
    std::string service;
    std::uint64_t incarnation = 1;
    std::string listed_state = "live";
    runner_options options;
    std::uint16_t http = 0;
    /// Port that the VM list shows; the port of a proxy leg if the runner is
    /// proxied.
    std::uint16_t listed = 0;
    std::string log_file;
    std::unique_ptr<child_process> server;
};

/// One run in the log of a runner. A request that the runner refused has the
/// outcome "refused" and did not run.
struct logged_run
{
    std::string runner;
    std::string run_id;
    std::string custom_id;
    std::string outcome;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0;
};

/// A complete fleet on loopback: the platform, a fault proxy, entry VMs and
/// runners, each as real processes. The destructor stops all of them.
class fleet
{
public:
    /// Starts the platform and the proxy. `seed` seeds their random generators.
    fleet(std::string name, std::uint64_t seed);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts a runner and adds it to the VMs of the next `publish_vms`. If
    /// `proxied` is true, all traffic to the runner passes through a proxy leg
    /// named after it.
    runner_vm& add_runner(
        const std::string& service,
        const std::string& zone,
        const runner_options& options,
        bool proxied = false);

    /// Sets additional lines for the [gate] table in the settings of entry VMs
    /// that are added later.
    void set_gate_lines(std::string lines);

    /// Starts the daemons of an entry VM and adds it to the VMs of the next
    /// `publish_vms`. If `proxied` is true, its links, its gossip and its calls
    /// to the platform pass through legs named ID-link, ID-gossip and
    /// ID-platform.
    entry_vm& add_entry_vm(const std::string& zone, bool proxied = false);

    /// Restarts a runner or all daemons of an entry VM on the same ports with a
    /// new incarnation in the VM list, as for a replaced VM.
    void restart(runner_vm& vm);
    void restart(entry_vm& vm);

    /// Starts or restarts one daemon of an entry VM; the VM keeps its
    /// incarnation.
    void start_daemon(entry_vm& owner, daemon which);

    /// Kills all daemons of an entry VM with SIGKILL.
    void kill(entry_vm& vm);

    /// Adds runners without a process to the VM list, starting with the next
    /// `publish_vms`.
    void list_absent_runners(std::string service, std::size_t count);

    /// Publishes the VM list with all VMs of the fleet. Changes become visible
    /// after `lag_ms`.
    void publish_vms(std::int64_t lag_ms = 0);

    /// Sets a row with chicoryctl and returns its exit code.
    int set_pool(const std::string& name, std::vector<std::string> fields);
    int set_route(const std::string& name, std::vector<std::string> fields);

    /// Runs chicoryctl, stores its output in `output` and returns its exit
    /// code.
    int run_chicoryctl(std::vector<std::string> arguments, std::string& output);

    /// Waits until every gate has served a request on a route. Returns false if
    /// a gate does not do so within the time limit.
    bool wait_until_serving(const std::string& route, const std::string& key);

    /// Call the control interfaces of the proxy and the platform.
    boost::json::value
    call_proxy(const std::string& target, const boost::json::object& request);
    std::int64_t count_hits(std::int64_t rule_id);
    void set_platform_fault(const boost::json::object& request);
    boost::json::value read_platform_log();

    /// Returns all runs and refusals of all runners. They are read from the log
    /// files, which survive the processes.
    std::vector<logged_run> read_runs() const;

    entry_vm& entry(std::size_t index);
    runner_vm& runner(std::size_t index);
    std::size_t entry_count() const;
    std::size_t runner_count() const;
    std::uint16_t platform_port() const;
    const std::string& folder() const;

    /// Opens a proxy leg to a port and returns the port of the leg.
    std::uint16_t
    open_leg(const std::string& name, std::uint16_t target, bool udp = false);

private:
    void write_settings(const entry_vm& vm) const;
    void start_server(runner_vm& vm);
    int set_row(
        const std::string& table,
        const std::string& name,
        std::vector<std::string> fields);
    static std::string make_platform_settings(std::uint16_t port);

    std::string work_folder;
    std::string gate_lines;
    std::string absent_service;
    std::size_t absent_runners = 0;
    std::unique_ptr<child_process> platform;
    std::unique_ptr<child_process> proxy;
    std::uint16_t platform_http = 0;
    std::uint16_t proxy_http = 0;
    /// Port of the leg operator-platform, through which chicoryctl reaches the
    /// platform.
    std::uint16_t operator_platform = 0;
    std::vector<std::unique_ptr<entry_vm>> entries;
    std::vector<std::unique_ptr<runner_vm>> runners;
    int chicoryctl_runs = 0;
};

/// Returns the argument of chicoryctl that sets the key digests of a route to
/// the digest of one key.
std::string key_digest(const std::string& key);

} // namespace chicory::process

#endif
