#ifndef CHICORY_POLICY_SERVING_RUNNER_DIRECTORY_HPP
#define CHICORY_POLICY_SERVING_RUNNER_DIRECTORY_HPP

#include "core/core.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicory::serving
{

/// State that a runner reports of itself.
enum class runner_state
{
    ready,
    draining,
};

/// A runner as described by its entry in the platform's store.
struct runner_entry
{
    std::string id;
    std::string service;
    std::string address;
    std::uint16_t port = 0;
    std::string zone;
    std::int64_t slots = 1;
    runner_state state = runner_state::ready;
    /// Digest of the models that the runner has; zero if it states none.
    std::uint64_t models_digest = 0;
    /// Start of this process of the runner, in milliseconds since 1970.
    std::int64_t started_ms = 0;
    /// Version of the entry in the store.
    std::int64_t version = 0;

    bool operator==(const runner_entry&) const = default;
};

/// A process of a runner that announced that it is leaving, identified by its
/// start time.
struct leaving_runner
{
    std::string id;
    std::int64_t started_ms = 0;

    bool operator==(const leaving_runner&) const = default;
};

/// Time limits of the runner directory.
struct runner_directory_settings
{
    /// Time after the store becomes reachable again in which runners whose
    /// entries expired while it was unreachable register again.
    duration registration_time = std::chrono::milliseconds(2200);
    /// Time for which an unreachable runner gets no new work, initially and at
    /// most. It doubles with each failed connection.
    duration initial_avoidance = std::chrono::milliseconds(300);
    duration max_avoidance = std::chrono::seconds(3);
    /// Maximum number of removals that are remembered.
    std::size_t max_removed = 4096;
};

/// Tracks which runners may get new work. A runner gets no more work as soon as
/// its entry is draining or removed. Designed for two load patterns. While the
/// store is unreachable, runners continue to serve and their entries expire;
/// these entries are retained until the runners had time to register again.
/// During a release, runners leave before their entries say so; a runner that
/// announces in a response that it is leaving gets no more work from that
/// response on.
class runner_directory
{
public:
    explicit runner_directory(runner_directory_settings initial = {});

    /// Records a changed entry. Versions older than the recorded one are
    /// ignored.
    void on_entry(time_point now, const runner_entry& entry);

    /// Records the removal of an entry at a version.
    void
    on_removed(time_point now, const std::string& id, std::int64_t version);

    /// Returns the number of removals that are remembered.
    std::size_t removals() const;

    /// Records all entries as of a version. Entries that are missing from the
    /// snapshot are removed.
    void on_snapshot(
        time_point now,
        const std::vector<runner_entry>& entries,
        std::int64_t version);

    /// Records that the store became unreachable.
    void on_store_unreachable();
    /// Records that the store is reachable again.
    void on_store_reachable(time_point now);

    /// Records that a runner refused a request because it is not the instance
    /// named in the request. It gets no new work until its entry changes.
    void on_wrong_instance(const std::string& id);

    /// Records that a runner announced in a response that it is leaving. This
    /// process of the runner, identified by its start time, gets no new work
    /// again, regardless of its entry; a later process does. Returns whether
    /// the announcement was not known yet.
    bool on_leaving(const std::string& id, std::int64_t started_ms);

    /// Returns the runners of a service that announced that they are leaving
    /// while their entries still say ready. Other nodes may not know of these.
    std::vector<leaving_runner> leaving(const std::string& service) const;

    /// Records that a runner was unreachable.
    void on_unreachable(time_point now, const std::string& id);
    /// Records that a runner was reached.
    void on_reached(const std::string& id);

    /// Removes expired entries that were not registered again in time.
    void on_tick(time_point now);

    /// Returns, by service, a digest of the processes of the runners that may
    /// get work and of their models. It changes when one of these does.
    std::map<std::string, std::uint64_t> digests() const;

    /// Returns whether a runner may get new work.
    bool is_usable(time_point now, const std::string& id) const;

    /// Returns whether work that was assigned to a runner may still be sent to
    /// it. Unlike `is_usable`, ignores that a runner is avoided because it was
    /// unreachable.
    bool may_send(const std::string& id) const;

    /// Returns the runner's entry, or null if the runner is not known.
    const runner_entry* find(const std::string& id) const;

    /// Returns the runners of a service that may get new work.
    std::vector<const runner_entry*>
    usable(time_point now, const std::string& service) const;

    /// Returns the services that have runners.
    std::set<std::string> services() const;

    /// Returns the number of runners of a service in each zone, usable or not.
    std::map<std::string, std::size_t>
    count_by_zone(const std::string& service) const;

    /// Returns a counter that increases whenever a change of an entry or of a
    /// runner's announced state may change which runners are usable.
    std::uint64_t version() const;

private:
    struct known_runner
    {
        runner_entry entry;
        /// Time until which an entry that was removed while the store was
        /// unreachable is retained. Not set for other entries.
        std::optional<time_point> retained_until;
        /// True after `on_wrong_instance`, until the entry changes.
        bool wrong_instance = false;
        time_point avoided_until;
        duration avoidance = duration::zero();
    };

    bool may_have_expired(time_point now) const;
    bool has_announced_leaving(const runner_entry& entry) const;
    void remove(time_point now, const std::string& id);
    /// Forgets the oldest removals when there are too many.
    void limit_removed();

    runner_directory_settings settings;
    std::map<std::string, known_runner> runners;
    /// Start times of the runners that announced that they are leaving. They
    /// are retained longer than the entry, which may expire and be registered
    /// again.
    std::map<std::string, std::int64_t> leaving_starts;
    /// Versions of removals, so that an older entry is not recorded again.
    std::map<std::string, std::int64_t> removed;
    bool store_unreachable = false;
    time_point store_reachable_at;
    bool was_unreachable = false;
    std::uint64_t changes = 0;
};

} // namespace chicory::serving

#endif
