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

/// What became of a configuration that was offered.
enum class offer_outcome
{
    adopted,
    not_newer,
};

/// The configuration in force on one node. Takes only whole, valid
/// configurations of a higher revision, so that the revision never falls.
class adoption
{
public:
    /// Changes kept for peers that ask for them.
    static constexpr std::size_t max_retained_changes = 64;

    /// Returns the configuration in force; revision zero when none is known.
    const table_set& current() const;

    /// Notes a revision that somebody was seen to have.
    void on_revision_seen(std::int64_t revision);

    /// Returns the highest revision that was seen anywhere.
    std::int64_t highest_seen() const;

    /// Returns whether a higher revision than the current one was seen.
    bool is_behind() const;

    /// Offers a whole configuration. Error: invalid_input when it breaks a
    /// rule; the current one stays in force.
    result<offer_outcome> offer(table_set tables);

    /// Offers changes in the order of their revisions. Those up to the
    /// current revision are passed over; all others are adopted together or
    /// not at all. Errors: conflict when one is missing or does not fit;
    /// invalid_input when one breaks a rule.
    result<offer_outcome> offer(const std::vector<history_entry>& changes);

    /// Returns the changes after a revision, or nothing when they are no
    /// longer all kept and the whole configuration is needed.
    std::optional<std::vector<history_entry>>
    changes_after(std::int64_t revision) const;

private:
    void keep(const history_entry& entry);

    table_set tables;
    std::int64_t highest = 0;
    std::deque<history_entry> kept;
};

/// Times and numbers of a cold start.
struct cold_start_settings
{
    /// Peers whose answers are awaited.
    std::size_t required_responses = 3;
    /// Longest wait for a newer answer than the best one at hand.
    duration limit = std::chrono::seconds(3);
};

/// Chooses the first configuration of a node that has just started while the
/// table service gives no answer: the highest of several peers'.
class cold_start
{
public:
    cold_start(cold_start_settings initial, time_point started);

    /// Takes the answer of a peer; revision zero when the peer knows none.
    void on_response(table_set tables);

    /// Returns the best configuration once it may be adopted: after enough
    /// answers, none older than the highest revision seen on gossip, or after
    /// the limit. `peers` is the number of live peers that can be asked.
    std::optional<table_set>
    choose(time_point now, std::size_t peers, std::int64_t highest_seen) const;

private:
    cold_start_settings settings;
    time_point start;
    std::size_t answers = 0;
    table_set best;
};

} // namespace chicory::configuration

#endif
