#ifndef CHICORY_POLICY_SERVING_RUNNER_DIRECTORY_HPP
#define CHICORY_POLICY_SERVING_RUNNER_DIRECTORY_HPP

#include "core/core.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicory::serving
{

/// What a runner says of itself.
enum class runner_state
{
    ready,
    draining,
};

/// A runner as its entry in the platform's store describes it.
struct runner_entry
{
    std::string id;
    std::string service;
    std::string address;
    std::uint16_t port = 0;
    std::string zone;
    std::int64_t slots = 1;
    runner_state state = runner_state::ready;
    /// Milliseconds since 1970 at which this process of the runner started.
    std::int64_t started_ms = 0;
    /// Store version of the entry.
    std::int64_t version = 0;

    bool operator==(const runner_entry&) const = default;
};

/// One start of a runner that said that it is leaving.
struct leaving_runner
{
    std::string id;
    std::int64_t started_ms = 0;

    bool operator==(const leaving_runner&) const = default;
};

/// Times by which the directory judges.
struct runner_directory_settings
{
    /// Time after the store's return in which runners whose entries lapsed
    /// while it was away register again.
    duration registration_time = std::chrono::milliseconds(2200);
    /// Time for which a runner that could not be reached gets no new work.
    duration initial_avoidance = std::chrono::milliseconds(300);
    duration max_avoidance = std::chrono::seconds(3);
};

/// Knows which runners may get new work. An entry that is draining or removed
/// gets none at once. Answers load patterns in which the store is away while
/// runners serve on: entries that lapse then are kept until their owners had
/// time to return; and releases in which runners leave before their entries
/// say so: the runner's own word holds from its first answer that gives it.
class runner_directory
{
public:
    explicit runner_directory(runner_directory_settings initial = {});

    /// Takes a changed entry. Older versions than known are ignored.
    void on_entry(time_point now, const runner_entry& entry);

    /// Takes the removal of an entry at a version.
    void
    on_removed(time_point now, const std::string& id, std::int64_t version);

    /// Takes all entries as of a version; those that are missing are removed.
    void on_snapshot(
        time_point now,
        const std::vector<runner_entry>& entries,
        std::int64_t version);

    /// Takes that the store stopped and began to answer.
    void on_store_unreachable();
    void on_store_reachable(time_point now);

    /// Takes that a runner refused because it is not the one named. It gets
    /// no new work until its entry changes.
    void on_wrong_instance(const std::string& id);

    /// Takes that a runner said in an answer that it is leaving. This start
    /// of it, known by its time of birth, gets no new work again, whatever its
    /// entry says; a later start does. Returns whether that is news.
    bool on_leaving(const std::string& id, std::int64_t started_ms);

    /// Returns the runners of a service that said so while their entries
    /// still call them ready: what other nodes may not know.
    std::vector<leaving_runner> leaving(const std::string& service) const;

    /// Takes that a runner could not be reached, or answered.
    void on_unreachable(time_point now, const std::string& id);
    void on_reached(const std::string& id);

    /// Forgets entries whose time to return is over.
    void on_tick(time_point now);

    /// Returns whether a runner may get new work.
    bool is_usable(time_point now, const std::string& id) const;

    /// Returns whether work that was placed at a runner may still be sent:
    /// one that is merely avoided for a time may get it.
    bool may_send(const std::string& id) const;

    /// Returns the runner's entry, or null.
    const runner_entry* find(const std::string& id) const;

    /// Returns the runners of a service that may get new work.
    std::vector<const runner_entry*>
    usable(time_point now, const std::string& service) const;

    /// Returns the services that have runners.
    std::set<std::string> services() const;

    /// Returns how many runners of a service each zone has, usable or not.
    std::map<std::string, std::size_t>
    count_by_zone(const std::string& service) const;

    /// Grows with each change of what is usable by entry.
    std::uint64_t version() const;

private:
    struct known_runner
    {
        runner_entry entry;
        /// Set for an entry that was removed while the store was away.
        std::optional<time_point> retained_until;
        /// True after `on_wrong_instance`, until the entry changes.
        bool wrong_instance = false;
        time_point avoided_until;
        duration avoidance = duration::zero();
    };

    bool may_have_expired(time_point now) const;
    bool has_announced_leaving(const runner_entry& entry) const;
    void remove(time_point now, const std::string& id);

    runner_directory_settings settings;
    std::map<std::string, known_runner> runners;
    /// Times of birth of the runners that said that they are leaving; kept
    /// beyond the entry, which may lapse and return.
    std::map<std::string, std::int64_t> leaving_starts;
    /// Versions of removals, so that an older entry does not come back.
    std::map<std::string, std::int64_t> removed;
    bool store_unreachable = false;
    time_point store_reachable_at;
    bool was_unreachable = false;
    std::uint64_t changes = 0;
};

} // namespace chicory::serving

#endif
