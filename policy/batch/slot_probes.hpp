#ifndef CHICORY_POLICY_BATCH_SLOT_PROBES_HPP
#define CHICORY_POLICY_BATCH_SLOT_PROBES_HPP

#include "core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace chicory::batch
{

/// Frequency at which a process probes owners for idle slots.
struct probe_settings
{
    /// Interval between two rounds.
    duration interval = std::chrono::milliseconds(50);
    /// Maximum number of probes that a process sends in a round, regardless of
    /// the size of the fleet.
    std::size_t max_probes = 10;
    /// A target whose reply does not arrive within this time becomes due again.
    duration reply_timeout = std::chrono::milliseconds(500);
    /// Owners without idle slots are probed less often than `max_probes` would
    /// allow, by the number of owners divided by this, at least 1 and at most
    /// `max_stretch`.
    std::size_t owners_per_stretch = 16;
    /// Upper limit of that factor.
    std::size_t max_stretch = 4;
};

/// An owner that can be probed for idle slots of a pool.
struct probe_target
{
    std::string owner;
    std::string pool;
    /// True when the owner is in the availability zone of the process.
    bool is_near = false;
};

/// Chooses the owners that a process probes in a round. The number of probes
/// that an owner receives does not grow with the fleet, because each process
/// sends a bounded number of probes that rotates over all owners, with near
/// owners first. Owners that had idle slots are probed in each round, others
/// with increasing pauses.
class slot_probes
{
public:
    /// Creates a schedule. Processes with different seeds start with different
    /// owners.
    slot_probes(probe_settings settings, std::uint64_t seed);

    /// Returns the positions in `targets` of the targets to probe now.
    std::vector<std::size_t>
    choose(const std::vector<probe_target>& targets, time_point now);

    /// Records the reply of an owner.
    void on_reply(
        const std::string& owner,
        const std::string& pool,
        bool has_slots,
        time_point now);

private:
    using target_name = std::pair<std::string, std::string>;
    struct state
    {
        time_point due;
        duration pause{};
        std::uint64_t tie_breaker = 0;
    };
    struct candidate
    {
        std::size_t position = 0;
        bool is_overdue = false;
        bool is_near = false;
        state* target_state = nullptr;
    };

    state& find_or_add_state(const probe_target& target, time_point now);
    void remove_other_targets(const std::vector<probe_target>& targets);
    duration max_pause() const;
    static bool has_priority(const candidate& left, const candidate& right);

    probe_settings settings;
    std::uint64_t seed;
    std::mt19937_64 generator;
    std::map<target_name, state> states;
};

} // namespace chicory::batch

#endif
