#ifndef CHICORY_POLICY_SERVING_ITEM_HOLDS_HPP
#define CHICORY_POLICY_SERVING_ITEM_HOLDS_HPP

#include "core/core.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace chicory::serving
{

/// Why no runner can run an item at present.
enum class hold_reason
{
    /// The item has more tokens than the configured memory of a runner.
    exceeds_memory,
    /// The runners that were tried have other weights than the item names.
    other_weights,
    /// The runners that were tried refused the item and stated no reason, as
    /// they do with an item that is larger than their memory.
    refused,
};

inline constexpr enum_table<hold_reason, 3> hold_reason_names = {{
    {hold_reason::exceeds_memory, "exceeds_memory"},
    {hold_reason::other_weights, "other_weights"},
    {hold_reason::refused, "refused"},
}};

/// What an item needs of a runner.
struct item_requirement
{
    std::string service;
    /// Version of the weights; empty if any will do.
    std::string weights;
    /// Tokens of the prompt plus the maximum number of output tokens; zero if
    /// unknown.
    std::int64_t tokens = 0;

    bool operator==(const item_requirement&) const = default;
};

/// Identifies an item of a node.
struct item_key
{
    std::string job;
    std::int64_t item = 0;

    bool operator==(const item_key&) const = default;

    bool operator<(const item_key& other) const
    {
        return std::tie(this->job, this->item) <
               std::tie(other.job, other.item);
    }
};

/// Limits and intervals of `item_holds`.
struct item_holds_settings
{
    /// Number of consecutive refusals after which an item is held.
    int refusals_to_hold = 3;
    /// Time between two trials of a held item, of held items for the same
    /// weights, and at one service, initially and at most. Each of them doubles
    /// with each refusal.
    duration initial_trial_interval = std::chrono::milliseconds(250);
    duration max_trial_interval = std::chrono::seconds(2);
    /// Maximum number of versions of weights that are remembered as served.
    std::size_t max_served_weights = 1024;
};

/// Number of held items of a service by reason.
struct hold_counts
{
    std::size_t exceeds_memory = 0;
    std::size_t other_weights = 0;
    std::size_t refused = 0;

    bool operator==(const hold_counts&) const = default;
};

/// Holds the items of a node that no runner can run at present, so that they
/// use no place of those that wait, no slot request and no run. Designed for
/// jobs with many items that are larger than the memory of every runner, that
/// name weights that no runner has, or that every runner refuses, beside sound
/// items of the same service:
///
/// - Items larger than the configured memory are held until the configuration
///   changes.
/// - When runners have refused an item for its weights several times, it and
///   all other items for these weights are held.
/// - An item that was refused several times for no stated reason is held alone:
///   the reason may be a property that no other item has.
///
/// Of the items held for one of the last two reasons, one at a time is tried at
/// each service, at growing intervals and at once after the runners of the
/// service have changed. A trial that succeeds releases the other items for
/// these weights, or those up to twice its size.
///
/// A held item costs memory only. The cost of a call depends on the number of
/// items that it releases, not on the number of those held; only
/// `on_runners_changed` looks at all trials of a service.
class item_holds
{
public:
    explicit item_holds(item_holds_settings initial = {});

    /// Sets the tokens that a runner's memory holds, by service. Services that
    /// are missing or have zero tokens have no known limit.
    void set_capacities(std::map<std::string, std::int64_t> tokens_by_service);

    /// Returns why an item cannot run at present, or nothing if it may run. A
    /// trial may run in spite of earlier refusals.
    std::optional<hold_reason>
    find_reason(const item_requirement& needed, bool is_trial = false) const;

    /// Holds an item.
    void hold(
        time_point now,
        const item_requirement& needed,
        const item_key& key,
        hold_reason reason);

    /// Forgets an item, held or on trial.
    void
    remove(time_point now, const item_requirement& needed, const item_key& key);

    /// Records that a runner refused an item although the runner was not full,
    /// for the `refusals`th time in a row. Returns whether the item has to be
    /// held.
    bool on_refused(
        const item_requirement& needed,
        const item_key& key,
        hold_reason reason,
        int refusals);

    /// Records that a run of an item began.
    void on_accepted(const item_requirement& needed, const item_key& key);

    /// Records that runners of a service were added or changed.
    void on_runners_changed(time_point now, const std::string& service);

    /// Returns whether an item may prove to be impossible for the runners,
    /// because it names weights with which no run began, or because an item of
    /// at most its size was refused.
    bool is_uncertain(const item_requirement& needed) const;

    /// An item that is not held any more.
    struct released_item
    {
        item_key key;
        /// True if the item is tried in spite of earlier refusals.
        bool is_trial = false;
    };

    /// Releases the items that may run, and those to be tried now.
    std::vector<released_item> release(time_point now);

    /// Returns whether no item is held or on trial and no refusal is
    /// remembered.
    bool empty() const;

    /// Returns the number of held items by service. Items on trial count.
    std::map<std::string, hold_counts> count() const;

private:
    static constexpr std::int64_t no_limit =
        std::numeric_limits<std::int64_t>::max();

    /// Times of the trials of one held item, or of the items for one version of
    /// the weights.
    struct trial_times
    {
        time_point next;
        duration interval = duration::zero();
    };
    /// What is tried: one item that was refused alone, or one of the items for
    /// the same weights.
    struct trial_target
    {
        std::string weights;
        std::optional<item_key> refused;

        bool operator<(const trial_target& other) const
        {
            return std::tie(this->weights, this->refused) <
                   std::tie(other.weights, other.refused);
        }
    };
    struct weights_group
    {
        std::set<item_key> items;
        item_key last_tried;
        trial_times times;
    };
    struct refused_item
    {
        std::int64_t tokens = 0;
        trial_times times;
    };
    struct current_trial
    {
        trial_target target;
        item_key key;
        std::int64_t tokens = 0;
        trial_times times;
    };
    struct service_state
    {
        /// Items larger than the configured memory, by size.
        std::set<std::pair<std::int64_t, item_key>> exceeding;
        std::map<std::string, weights_group> missing_weights;
        std::map<item_key, refused_item> refused;
        std::set<std::pair<std::int64_t, item_key>> refused_by_size;
        std::set<std::pair<time_point, trial_target>> trials;
        std::optional<current_trial> trial;
        time_point next_trial;
        /// Time between two trials; zero before the first one.
        duration trial_interval = duration::zero();
        /// True if the last trial of an item that was refused alone was that of
        /// the smallest one.
        bool tried_smallest = false;
        std::size_t held_for_weights = 0;
        /// An item of this size was refused for no stated reason.
        std::int64_t refused_from = no_limit;
    };

    std::int64_t capacity_of(const std::string& service) const;
    /// Ends the trial of an item and returns it, or nothing if the item is not
    /// on trial.
    static std::optional<current_trial>
    end_trial(service_state& state, const item_key& key);
    static void erase_refused(service_state& state, const item_key& key);
    static void schedule(
        service_state& state,
        const trial_target& target,
        trial_times& times,
        time_point when);
    /// Schedules the next trial of the items for the same weights, or forgets
    /// them if none is left.
    static void update_group(
        time_point now, service_state& state, const std::string& weights);
    trial_times
    next_times(time_point now, const std::optional<current_trial>& ended) const;
    void release_weights(service_state& state, const std::string& weights);
    void release_refused(service_state& state, std::int64_t largest);
    void start_trial(
        std::vector<released_item>& out, time_point now, service_state& state);
    /// Returns what is to be tried next, or nothing if it is not due.
    static std::optional<trial_target>
    choose_trial(time_point now, service_state& state);
    static bool is_unused(const service_state& state);

    item_holds_settings settings;
    std::map<std::string, std::int64_t> capacities;
    std::map<std::string, service_state> services;
    /// Weights, by service, with which a run began.
    std::set<std::pair<std::string, std::string>> served_weights;
    std::vector<released_item> released;
};

} // namespace chicory::serving

#endif
