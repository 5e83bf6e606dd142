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

/// Requirements on the choice of a runner.
struct runner_requirements
{
    /// Digest of the prompt's prefix, salted by member; zero for none.
    std::uint64_t prefix_key = 0;
    /// Fingerprint of a suspect request; zero for none. All gates send it to
    /// the same runner, so that it runs on only one runner at a time.
    std::uint64_t suspect = 0;
    std::set<std::string> avoid;
};

/// Returns a digest of a prompt's prefix that differs between members, so that
/// no member can learn from timing what another member has requested.
std::uint64_t make_prefix_key(std::string_view member, std::string_view body);

/// Chooses a runner for each request from probes of the runners' owners, first
/// by the number of requests in progress, then by the time to the first byte. A
/// few runners are probed for each request, and runners with a very recent
/// response are preferred to the others, since an older response is of little
/// use for runs that last no longer than its age. Runners in the own zone are
/// preferred while one has free capacity. Among those with free capacity,
/// requests with the same prompt prefix are sent to the same runner unless it
/// is busier than the others.
class runner_chooser
{
public:
    /// Time for which the response to a probe is used.
    static constexpr duration probe_lifetime = std::chrono::seconds(1);
    /// Age up to which the response to a probe is preferred to older ones.
    static constexpr duration fresh_age = std::chrono::milliseconds(50);
    /// Age of the last response up to which a runner is not probed again.
    static constexpr duration min_probe_interval =
        std::chrono::milliseconds(10);
    /// Time for which a failed runner is chosen only as a last resort.
    static constexpr duration failure_memory = std::chrono::seconds(5);
    /// Number of runners probed for each request in the own zone and in other
    /// zones.
    static constexpr std::size_t near_probes = 2;
    static constexpr std::size_t far_probes = 1;

    runner_chooser(std::string region, std::string zone, std::uint64_t seed);

    /// Records the response to a probe.
    void probed(
        const std::string& runner,
        const runner_summary& summary,
        time_point now);

    /// Records that an attempt on a runner failed through a fault of the
    /// runner.
    void failed(const std::string& runner, time_point now);

    /// Returns the runners whose owners are to be probed before the next
    /// choice, including the runner that the prompt's prefix prefers.
    std::vector<std::string> probes_due(
        const runner_requirements& requirements,
        const std::vector<placed_vm>& candidates,
        time_point now);

    /// Returns the runner to use, and counts the request as sent to it until
    /// its next probe. Returns an empty string when there is no candidate left.
    std::string choose(
        const runner_requirements& requirements,
        const std::vector<placed_vm>& candidates,
        time_point now);

    /// Removes the records of runners that are not candidates of any pool.
    void retain_only(const std::set<std::string>& runners);

private:
    struct sample
    {
        runner_summary summary;
        time_point at;
        /// Number of requests that this gate sent to the runner since the
        /// probe.
        std::int64_t sent_since = 0;
    };

    struct option
    {
        std::string runner;
        bool near = false;
        bool failed = false;
        bool has_sample = false;
        bool is_fresh = false;
        std::int64_t load = 0;
        std::int64_t limit = 0;
        duration latency = duration::zero();

        bool has_capacity() const;
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
