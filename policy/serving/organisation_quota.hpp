#ifndef CHICORY_POLICY_SERVING_ORGANISATION_QUOTA_HPP
#define CHICORY_POLICY_SERVING_ORGANISATION_QUOTA_HPP

#include "core/core.hpp"
#include "policy/serving/organisations.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace chicory::serving
{

/// Quota of an organisation and its rank among organisations.
struct organisation_limit
{
    /// Zero: no limit.
    double rate_per_s = 0.0;
    double burst = 0.0;
    /// Zero is the highest.
    std::int64_t priority = 0;

    bool operator==(const organisation_limit&) const = default;
};

/// Returns the limit of an organisation of the configuration.
organisation_limit make_organisation_limit(const organisation& source);

/// Number of requests of one age. Ages are relative to the time of sending,
/// because the clocks of nodes differ.
struct quota_count
{
    /// Age in ticks of `organisation_quota_settings::tick`.
    std::uint16_t age = 0;
    std::uint16_t count = 0;

    bool operator==(const quota_count&) const = default;
};

/// Requests of one organisation that a coordinator charged in the last window.
struct organisation_usage
{
    std::string organisation;
    /// Ticks since the last request, including requests that were refused.
    std::uint16_t last_request_age = 0;
    std::vector<quota_count> charged;

    bool operator==(const organisation_usage&) const = default;
};

/// Usage that a coordinator sends to the other coordinators.
struct quota_status
{
    std::vector<organisation_usage> organisations;

    bool operator==(const quota_status&) const = default;
};

/// Requests of one organisation that a node sent to runners in the last window,
/// in slots that another coordinator granted.
struct sent_requests
{
    std::string organisation;
    /// Node that granted the slots; empty if the node chose the runners itself.
    std::string coordinator;
    std::vector<quota_count> sent;

    bool operator==(const sent_requests&) const = default;
};

/// Parameters of the quotas.
struct organisation_quota_settings
{
    /// Length of the sliding window in which the requests that run are bounded.
    duration window = std::chrono::seconds(5);
    /// The bound on a window is (rate x window + burst) x (1 + overshoot) +
    /// tolerance.
    double overshoot = 0.1;
    double tolerance = 20.0;
    /// Resolution of the history.
    duration tick = std::chrono::milliseconds(50);
    /// Time after which the other coordinators know of a charge: two statuses,
    /// of which one may be lost, and the delay of a packet.
    duration share_delay = std::chrono::milliseconds(400);
    /// An organisation is part of each status for this time after a request,
    /// and of every sixteenth status until its history ends.
    duration resend_time = std::chrono::milliseconds(600);
    /// Maximum number of organisations in a status; bounded because a status is
    /// one datagram.
    std::size_t max_status_organisations = 400;
    /// Maximum number of counts in a status.
    std::size_t max_status_counts = 6000;
};

/// Counts of requests by tick, ascending.
class quota_history
{
public:
    void add(std::int64_t tick, std::int64_t count);
    /// Removes counts of ticks before `first`.
    void prune(std::int64_t first);
    void clear();
    bool is_empty() const;
    /// Returns the number of requests at or after a tick.
    std::int64_t total_since(std::int64_t first) const;

    struct entry
    {
        std::int64_t tick = 0;
        std::int64_t count = 0;
    };
    const std::vector<entry>& entries() const;

private:
    std::vector<entry> counts;
};

/// Number of requests of an organisation that this coordinator admitted and
/// refused.
struct quota_counters
{
    std::int64_t charged = 0;
    std::int64_t refunded = 0;
    std::int64_t refused = 0;
};

/// Decision about the charge of a request.
enum class quota_decision_kind : std::uint8_t
{
    /// The request is charged, or its organisation has no limit.
    charged,
    /// The organisation has no token.
    refused,
    /// Tokens remain, but other coordinators may spend them now. The request
    /// has to wait for their next statuses.
    undecided,
};

struct quota_decision
{
    quota_decision_kind kind = quota_decision_kind::charged;
    /// Refused: time after which the organisation is expected to have a token
    /// for this request.
    duration retry_after = duration::zero();
};

/// Contact of this node with the rest of the fleet.
struct quota_contact
{
    /// Coordinators that may charge quotas, this one included.
    std::size_t coordinators = 1;
    /// False while this node reaches only a minority of the fleet.
    bool in_majority = true;
    /// True for a short time after a takeover until the other coordinators
    /// have responded. Nothing is charged meanwhile.
    bool undecided = false;
    /// Nodes that may be in use, this one included.
    std::size_t known_nodes = 1;
};

/// Decides whether a request is within the quota of its organisation over the
/// whole fleet. Each coordinator of slots has one, which serves all its groups.
/// Designed for these load and fault patterns:
///
/// - An organisation sends many times its usual load at many nodes at once:
///   the charges of all coordinators in the last window are added up in ticks.
///   A request is admitted if a token bucket over that history has a token.
/// - Requests of one organisation arrive at several coordinators between two
///   statuses: each spends only its part of the tokens that remain.
/// - A coordinator dies: its successor knows its charges from its statuses and
///   from the nodes that sent the requests. The larger of both counts.
/// - All nodes restart, so that no history remains: a coordinator that takes
///   over starts with a small number of tokens.
/// - A node is cut off with a minority of the fleet: it spends only its part of
///   a reserve, as others may spend the quota at the same time.
/// - An admitted request waits: it is charged when it arrives, and counts at
///   the time at which it runs as soon as it runs.
///
/// docs/design/allowances.md derives the bound.
class organisation_quota
{
public:
    /// Returns the limit of an organisation, or nothing if it is unknown.
    using limit_hook =
        std::function<std::optional<organisation_limit>(const std::string&)>;

    explicit organisation_quota(
        organisation_quota_settings initial = {}, limit_hook hook = {});

    /// Records that this node begins to coordinate, or takes over a group whose
    /// charges it may not know.
    void on_takeover(time_point now);

    void set_contact(time_point now, const quota_contact& current);

    /// Charges one request if it is within the quota.
    quota_decision charge(time_point now, const std::string& organisation);

    /// Charges a request that another coordinator admitted and redirected.
    void charge_admitted(time_point now, const std::string& organisation);

    /// Takes back the charge of a request that does not run.
    void refund(
        time_point now, const std::string& organisation, time_point charged_at);

    /// Records that a request charged at `charged_at` runs now.
    void on_run(
        time_point now, const std::string& organisation, time_point charged_at);

    /// Returns the usage to send to the other coordinators. `all` includes
    /// every organisation with a history, for a coordinator that knows nothing.
    quota_status make_status(time_point now, bool all = false);

    /// Records the usage of another coordinator.
    void on_status(
        time_point now, const std::string& sender, const quota_status& status);

    /// Records what a node sent in slots of other coordinators. `source`
    /// identifies the node and the group; a later report replaces an earlier
    /// one.
    void on_report(
        time_point now,
        const std::string& source,
        const std::vector<sent_requests>& sent);

    /// Drops what is older than a window.
    void on_tick(time_point now);

    /// Returns the priority of an organisation; zero if it is unknown.
    std::int64_t priority_of(const std::string& organisation) const;

    /// Returns the number of requests within the last window that this
    /// coordinator knows of.
    std::int64_t
    count_in_window(time_point now, const std::string& organisation) const;

    /// Returns counters by organisation, for at most 64 names; the others are
    /// counted as "other".
    const std::map<std::string, quota_counters>& counters() const;

    /// Returns the number of organisations with a history.
    std::size_t tracked_organisations() const;

private:
    /// Charges of another coordinator, from its statuses and from nodes.
    struct peer_usage
    {
        quota_history from_status;
        std::map<std::string, quota_history> from_nodes;
        time_point last_request;
    };
    struct organisation_state
    {
        quota_history own;
        std::map<std::string, peer_usage> peers;
        time_point first_request;
        time_point last_request;
        /// Time that was given to the last refused request.
        time_point next_retry_at;
        /// Number of undecided requests in a tick.
        std::int64_t undecided_tick = 0;
        std::int64_t undecided = 0;
    };

    std::int64_t tick_of(time_point now) const;
    /// Returns the first tick that may overlap the window that ends now.
    std::int64_t first_tick(time_point now) const;
    double slack(const organisation_limit& limit) const;
    /// Returns the number of tokens of the organisation.
    double find_level(
        time_point now,
        const organisation_state& state,
        const organisation_limit& limit) const;
    quota_decision_kind decide(
        time_point now,
        const organisation_state& state,
        const organisation_limit& limit,
        double level) const;
    /// Returns the number of coordinators that share the tokens.
    std::size_t
    count_sharers(time_point now, const organisation_state& state) const;
    organisation_state&
    find_or_add(time_point now, const std::string& organisation);
    std::optional<organisation_limit>
    find_limit(const std::string& organisation) const;
    quota_counters& counters_of(const std::string& organisation);
    duration choose_retry_after(
        time_point now,
        organisation_state& state,
        const organisation_limit& limit,
        double level) const;

    organisation_quota_settings settings;
    limit_hook find_organisation;
    quota_contact contact;
    /// Time at which this node lost contact with the majority.
    time_point isolated_since;
    std::optional<time_point> takeover_at;
    std::map<std::string, organisation_state> organisations;
    /// Organisations by the source of the report that named them.
    std::map<std::string, std::vector<std::string>> reported_by;
    std::map<std::string, quota_counters> counted;
    std::uint64_t status_number = 0;
    time_point next_prune;
};

/// Records what a node sent to runners for each organisation, for coordinators
/// that take over a group.
class sent_history
{
public:
    explicit sent_history(organisation_quota_settings initial = {});

    void on_sent(
        time_point now,
        const std::string& group,
        const std::string& organisation,
        const std::string& coordinator);

    /// Returns what was sent in the last window in slots of a group that were
    /// not granted by `receiver`.
    std::vector<sent_requests> make_report(
        time_point now, const std::string& group, const std::string& receiver);

    /// Returns whether a request may be sent without a coordinator, and records
    /// it if so: each node may spend its part of the reserve.
    bool charge_direct(
        time_point now,
        const std::string& organisation,
        const organisation_limit& limit,
        std::size_t known_nodes);

private:
    struct key
    {
        std::string group;
        std::string organisation;
        std::string coordinator;

        bool operator<(const key& other) const
        {
            return std::tie(
                       this->group, this->organisation, this->coordinator) <
                   std::tie(other.group, other.organisation, other.coordinator);
        }
    };

    void prune(time_point now);

    organisation_quota_settings settings;
    std::map<key, quota_history> histories;
    std::map<std::string, quota_history> direct;
    time_point next_prune;
};

/// Returns the part of the overshoot that is reserved for each of four causes:
/// delayed knowledge, a start without history, concurrent coordinators, and
/// nodes without contact.
double reserve_part(
    const organisation_quota_settings& settings,
    const organisation_limit& limit);

} // namespace chicory::serving

#endif
