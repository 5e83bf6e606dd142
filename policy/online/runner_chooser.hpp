#ifndef CHICORY_POLICY_ONLINE_RUNNER_CHOOSER_HPP
#define CHICORY_POLICY_ONLINE_RUNNER_CHOOSER_HPP

#include "core/core.hpp"
#include "policy/online/owner_map.hpp"
#include "policy/online/runner_queue.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chicory::online
{

/// What a choice has to respect.
struct runner_requirements
{
    /// Digest of the prompt's prefix, salted by member; zero for none.
    std::uint64_t prefix_key = 0;
    /// Fingerprint of a request under suspicion; zero for none. All gates send
    /// it to the same runner, so that it is in one runner at a time.
    std::uint64_t suspect = 0;
    std::set<std::string> avoid;
};

/// Returns a digest of a prompt's prefix that differs for each member, so that
/// no member can learn from timing what another one has asked.
std::uint64_t make_prefix_key(std::string_view member, std::string_view body);

/// Chooses a runner for each request from probes of its owner: requests in
/// flight first, then time to the first byte. A few runners are probed for each
/// request and those that have just answered go before the others, since an
/// older answer says little of runs that last no longer than its age. Runners
/// in the own zone go first while one has room; among those with room a
/// prompt's prefix prefers the same runner unless that one is busier than the
/// others.
class runner_chooser
{
public:
    /// Time for which the answer of a probe is used.
    static constexpr duration probe_lifetime = std::chrono::seconds(1);
    /// Age up to which the answer of a probe goes before older ones.
    static constexpr duration fresh_age = std::chrono::milliseconds(50);
    /// Age up to which a runner is not probed again.
    static constexpr duration probe_again_age = std::chrono::milliseconds(10);
    /// Time for which a runner that failed is chosen only as a last resort.
    static constexpr duration failure_memory = std::chrono::seconds(5);
    /// Runners probed for each request in the own zone and in others.
    static constexpr std::size_t near_probes = 2;
    static constexpr std::size_t far_probes = 1;

    runner_chooser(std::string region, std::string zone, std::uint64_t seed);

    /// Takes the answer of a probe.
    void probed(
        const std::string& runner,
        const runner_summary& summary,
        time_point now);

    /// Takes that an attempt on a runner failed for a fault of the runner.
    void failed(const std::string& runner, time_point now);

    /// Returns runners whose owners are to be probed before the next choice,
    /// among them the one that the prompt's prefix prefers.
    std::vector<std::string> probes_due(
        const runner_requirements& wish,
        const std::vector<placed_vm>& candidates,
        time_point now);

    /// Returns the runner to use, and counts the request on it until the next
    /// probe. Returns an empty name when there is no candidate left.
    std::string choose(
        const runner_requirements& wish,
        const std::vector<placed_vm>& candidates,
        time_point now);

    /// Forgets runners that are not among the candidates of any pool.
    void retain_only(const std::set<std::string>& runners);

private:
    struct sample
    {
        runner_summary summary;
        time_point at;
        /// Requests sent there by this gate since the probe.
        std::int64_t sent_since = 0;
    };

    struct option
    {
        std::string runner;
        bool near = false;
        bool failed = false;
        bool known = false;
        bool fresh = false;
        std::int64_t load = 0;
        std::int64_t limit = 0;
        duration latency = duration::zero();

        bool has_room() const;
    };

    bool is_near(const placed_vm& candidate) const;
    std::vector<option> list_options(
        const std::set<std::string>& avoid,
        const std::vector<placed_vm>& candidates,
        time_point now) const;
    std::string choose_by_prefix(
        std::uint64_t prefix_key, const std::vector<option>& options) const;
    std::string choose_by_load(const std::vector<option>& options);

    std::string region;
    std::string zone;
    std::mt19937_64 generator;
    std::map<std::string, sample> samples;
    std::map<std::string, time_point> failures;
};

} // namespace chicory::online

#endif
