#ifndef CHICORY_POLICY_CONFIGURATION_ADOPTION_HPP
#define CHICORY_POLICY_CONFIGURATION_ADOPTION_HPP

#include "core/core.hpp"
#include "policy/configuration/history.hpp"
#include "policy/configuration/table_set.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace chicory::configuration
{

/// Outcome of an offered configuration.
enum class offer_outcome
{
    adopted,
    not_newer,
};

/// The configuration that is in force on one node. Accepts only complete, valid
/// configurations of a higher revision, so that the revision never decreases.
class adoption
{
public:
    /// Number of recent changes retained for peers that request them.
    static constexpr std::size_t max_retained_changes = 64;

    /// Returns the configuration in force. Its revision is zero while none is
    /// known.
    const table_set& current() const;

    /// Records a revision that another node was seen to have.
    void on_revision_seen(std::int64_t revision);

    /// Returns the highest revision seen on any node.
    std::int64_t highest_seen() const;

    /// Returns whether a higher revision than the current one was seen.
    bool is_behind() const;

    /// Replaces the current configuration with a complete one if its revision
    /// is higher. Error: invalid_input when the configuration breaks a rule;
    /// the current one then stays in force.
    result<offer_outcome> offer(table_set tables);

    /// Applies changes, which must be in the order of their revisions. Changes
    /// up to the current revision are skipped; the others are adopted all
    /// together or not at all. Errors: conflict when no configuration is known
    /// yet, or when a change is missing or does not fit; invalid_input when a
    /// change breaks a rule.
    result<offer_outcome> offer(const std::vector<history_entry>& changes);

    /// Returns the changes after a revision, or no value when they are no
    /// longer all retained and the caller needs the complete configuration.
    std::optional<std::vector<history_entry>>
    changes_after(std::int64_t revision) const;

private:
    void retain(const history_entry& entry);

    table_set tables;
    std::int64_t highest_revision = 0;
    std::deque<history_entry> retained;
};

/// Limits of a cold start.
struct cold_start_settings
{
    /// Number of peer responses to wait for.
    std::size_t required_responses = 3;
    /// Maximum time to wait for a newer response than the best one so far.
    duration limit = std::chrono::seconds(3);
};

/// Chooses the first configuration of a node that has just started while the
/// table service is unavailable: the one with the highest revision among the
/// responses of several peers.
class cold_start
{
public:
    cold_start(cold_start_settings initial, time_point started);

    /// Records the response of a peer. Its revision is zero when the peer knows
    /// no configuration. Invalid configurations count as responses but are
    /// never chosen.
    void on_response(table_set tables);

    /// Returns the best configuration once it may be adopted: after enough
    /// responses and with a revision that is at least the highest one seen
    /// through gossip, or after the time limit. `peers` is the number of live
    /// peers that can be queried.
    std::optional<table_set>
    choose(time_point now, std::size_t peers, std::int64_t highest_seen) const;

private:
    cold_start_settings settings;
    time_point start;
    std::size_t responses = 0;
    table_set best;
};

} // namespace chicory::configuration

#endif
