#ifndef CHICORY_POLICY_SERVING_CRASH_GUARD_HPP
#define CHICORY_POLICY_SERVING_CRASH_GUARD_HPP

#include "policy/serving/part_digests.hpp"
#include "policy/serving/slot_messages.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicory::serving
{

/// What a request consists of for the crash guard: the digest of its whole
/// content, unless it is zero, and the digests of the shared parts of its
/// prompt. Each of them may be the cause of a crash.
using request_traits = std::vector<std::uint64_t>;

request_traits
make_traits(std::uint64_t request_digest, const part_digests& parts);

/// Time limits and sizes of the crash guard.
struct crash_guard_settings
{
    /// Time for which a crash counts against the traits of the run.
    duration crash_lifetime = std::chrono::minutes(10);
    /// A request that crashes its runner does so before its first event, within
    /// this time of the start of a run. Until then, at most two runs with a
    /// trait that was not seen to be good may be in progress.
    duration observation_time = std::chrono::milliseconds(150);
    /// Time for which a run with a suspect trait keeps other runs with that
    /// trait waiting. A runner that is silent for longer gives no evidence.
    duration trial_time = std::chrono::milliseconds(500);
    /// Time for which a trait is known to be good after an event of a run.
    duration known_good_lifetime = std::chrono::seconds(10);
    /// Time until a quarantined trait is tried again with one run. Multiplied
    /// by `quarantine_factor` with each crash of such a run.
    duration first_quarantine = std::chrono::seconds(3);
    std::int64_t quarantine_factor = 8;
    duration max_quarantine = std::chrono::hours(6);
    /// Time after the end of a quarantine in which no run was tried, after
    /// which it is forgotten.
    duration unused_quarantine_lifetime = std::chrono::hours(1);
    /// Time for which crashes of other runners weaken the evidence of a crash.
    duration other_crash_time = std::chrono::seconds(10);
    /// Time within which runs that crash on the same runner are one crash.
    duration same_crash_time = std::chrono::seconds(1);
    /// Age of a reported crash up to which it may begin a quarantine of a part.
    /// It covers a lost packet and the next report of the node. The outcome of
    /// runs since an older crash may be known elsewhere only.
    duration fresh_crash_age = std::chrono::milliseconds(300);
    /// Age up to which a reported crash is evidence against parts of prompts.
    /// Without an event of a run in the meantime, a quarantine would have
    /// followed within this time.
    duration max_part_crash_age = std::chrono::seconds(1);
    /// The same for the digest of a whole request, which other requests do not
    /// share.
    duration max_request_crash_age = std::chrono::seconds(10);
    /// Time over which the share of a trait in the good runs is averaged.
    duration share_time = std::chrono::seconds(5);
    /// Inaccuracy of the times of progress and crash that nodes report.
    duration progress_tolerance = std::chrono::milliseconds(150);
    /// Maximum number of crashes, known good traits and quarantines that are
    /// remembered; the oldest are dropped first.
    std::size_t max_crashes = 256;
    std::size_t max_known_good = 16384;
    std::size_t max_quarantines = 256;
    /// Maximum number of crashed runs whose repeated reports are recognized.
    std::size_t max_reported_runs = 4096;
};

/// Returns crashed runs for logs, separated by commas: node, number and runner
/// of the run, how far it had come, its duration and the age of the crash, both
/// in milliseconds.
std::string format_crashes(const std::vector<crashed_run>& crashes);

/// Evidence on which a quarantine is based, for operators.
struct quarantine_grounds
{
    /// Crashed runs with the trait, the latest last.
    std::vector<crashed_run> crashes;
    /// Number of runs, with any traits, that were good since the first of these
    /// crashes.
    std::int64_t good_runs = 0;
    /// Share of the good runs that had the trait before, in thousandths.
    std::int64_t share_permille = 0;
    /// Number of runners that crashed lately without a run with the trait.
    std::int64_t other_runners = 0;

    bool operator==(const quarantine_grounds&) const = default;
};

/// Quarantine of a trait. Times are relative to the time of the message or the
/// call.
struct trait_quarantine
{
    std::uint64_t trait = 0;
    /// Traits that every crash of the trait had in common, the trait included.
    /// Only requests that have all of them are refused, because any of them may
    /// be the cause.
    request_traits companions;
    /// Number of quarantines of this trait in a row.
    std::int64_t count = 1;
    /// Time until the trait is tried again.
    duration time_left = duration::zero();
    /// Number of runners that crashed under the trait.
    std::int64_t crashes = 0;
    quarantine_grounds grounds = {};

    bool operator==(const trait_quarantine&) const = default;
};

/// A quarantine that began, was extended or ended.
struct quarantine_change
{
    std::uint64_t trait = 0;
    /// Nothing if the quarantine ended.
    std::optional<trait_quarantine> quarantine;
};

/// Decides which requests may begin, from the traits that they share with runs
/// that crashed their runners. A crash is evidence against the traits of the
/// runs that had no event yet; an event is evidence for all traits of its run.
/// Designed for these fault patterns:
///
/// - A request, or a part of a prompt in many different requests, that crashes
///   every runner on which it begins. At most two runs with an unproven trait
///   are in progress. After the first crash runs with the trait are tried one
///   at a time, and after the second one it is quarantined.
/// - Runners that crash for other reasons, many at the same moment, while they
///   run requests with popular parts: an event of any run withdraws the
///   evidence, and runs of a trait that was good lately count only if they
///   began after the crash before.
/// - Many runners that crash by themselves, or that close connections but live:
///   while other crashes have nothing in common with a trait, a third crash is
///   needed to quarantine it, or a fourth if the trait is so popular that it
///   occurs in as many crashes by chance. A runner that goes on with its other
///   runs did not crash. All runs that crash on one runner are one crash.
/// - A coordinator that takes over, or that gets a new group, and knows none of
///   the good runs before: reported crashes are evidence up to an age, and an
///   older one than `fresh_crash_age` begins no quarantine of a part.
/// - A wrong quarantine: the trait is tried again after seconds, with one run.
///   The time until the next try grows with each crash; after
///   `max_crashes_of_part` crashes there are no tries for hours.
/// - Parts that always come together: only requests with all parts that the
///   crashes have in common are refused, and others are tried one at a time.
class crash_guard
{
public:
    explicit crash_guard(crash_guard_settings initial = {});

    /// Records that a run begins.
    void
    on_begin(time_point now, const slot_id& run, const request_traits& traits);
    /// Records that a run ended.
    void on_end(const slot_id& run);
    /// Records that a run returned an event or a whole response, which shows
    /// that none of its traits crashes runners.
    void on_good_run(time_point now, const slot_id& run);
    void on_good_traits(time_point now, const request_traits& traits);

    /// Records that a runner sent bytes for a run that began at `begun`. If the
    /// run began before a crash of that runner and progressed after it, only
    /// connections were closed, and the crash is withdrawn.
    void on_progress(
        const std::string& runner, time_point begun, time_point progress);

    /// Records that a run crashed its runner before its first event. Repeated
    /// reports of the same run have no effect. Returns whether the crash counts
    /// against a trait.
    bool on_crash(time_point now, const crashed_run& run);

    /// Records that a runner announced that it is leaving. Its crashes are
    /// withdrawn, because it ended by itself.
    void on_leaving(const std::string& runner);

    /// Applies a quarantine that another node decided.
    void on_quarantine(time_point now, const trait_quarantine& quarantine);
    /// Ends a quarantine and withdraws the evidence against the trait.
    void lift(std::uint64_t trait);

    /// Removes expired entries.
    void on_tick(time_point now);

    /// Returns the time until a request with these traits may run again, or
    /// nothing if it is not quarantined.
    std::optional<duration>
    quarantine_left(time_point now, const request_traits& traits) const;

    /// Returns whether a trait is the possible cause of a crash.
    bool is_suspect(const request_traits& traits) const;

    /// Returns a trait because of which a request runs only if no other run
    /// with it is tried, or nothing.
    std::optional<std::uint64_t>
    find_trial_trait(time_point now, const request_traits& traits) const;

    /// Returns whether a request with these traits may begin now. If not, it
    /// waits for the outcome of other runs, not for a slot.
    bool may_begin(time_point now, const request_traits& traits) const;

    /// Returns whether the first event of a run is needed as evidence: a trait
    /// is suspect, or another run with it is in progress and it is not known to
    /// be good.
    bool needs_first_event(time_point now, const request_traits& traits) const;

    /// Returns the number of traits that are remembered, runs in progress not
    /// counted.
    std::size_t remembered_traits() const;

    /// Returns the most recent crashed runs with the traits against which they
    /// are evidence, for other coordinators.
    std::vector<crashed_run> recent_crashes(time_point now) const;

    /// Returns the runners whose crashes are remembered.
    std::set<std::string> crashed_runners() const;

    /// Returns the quarantines that this guard began, extended or ended since
    /// the last call.
    std::vector<quarantine_change> take_changes(time_point now);

private:
    struct run_state
    {
        time_point begun;
        request_traits traits;
    };
    struct crash_state
    {
        crashed_run run;
        time_point begun;
        time_point at;
        /// Traits against which the crash counts.
        request_traits traits;
        /// Traits whose earlier crash came after the begin of this run.
        request_traits concurrent;
        /// Number of good runs before the crash.
        std::int64_t good_runs = 0;
    };
    struct quarantine_state
    {
        std::set<std::uint64_t> companions;
        std::int64_t count = 0;
        std::int64_t crashes = 0;
        time_point until;
        quarantine_grounds grounds;
    };
    /// Runners that crashed lately, as seen from a trait.
    struct crash_summary
    {
        /// Runners with and without a crash that counts against the trait.
        std::size_t with_trait = 0;
        std::size_t others = 0;
        /// Crashed runs per runner.
        double runs_per_runner = 0.0;
    };
    /// A trait that was seen to be good.
    struct good_trait
    {
        time_point entered;
        time_point last;
        /// Number of good runs, which decays over `share_time`.
        double weight = 0.0;
    };

    bool is_known_good(time_point now, std::uint64_t trait) const;
    /// Returns whether a trait was seen to be good lately, and crashes since
    /// then are too few to doubt it.
    bool is_cleared(time_point now, std::uint64_t trait) const;
    std::size_t crash_count(std::uint64_t trait) const;
    /// Returns the number of runners that crashed under a trait since it was
    /// last good, at the same moment or not.
    std::size_t crashed_under(std::uint64_t trait) const;
    crash_summary summarize_crashes(time_point now, std::uint64_t trait) const;
    /// Returns the share of the good runs that had the trait.
    double share_of_good_runs(time_point now, std::uint64_t trait) const;
    double decay(duration passed) const;
    /// Returns whether a trait is the digest of a whole request.
    bool is_request_digest(std::uint64_t trait) const;
    bool should_quarantine(
        time_point now, const crashed_run& run, std::uint64_t trait) const;
    quarantine_grounds make_grounds(time_point now, std::uint64_t trait) const;
    /// Returns the number of crashes after which a trait is quarantined.
    std::size_t
    crashes_to_quarantine(time_point now, std::uint64_t trait) const;
    std::size_t runs_begun_since(time_point since, std::uint64_t trait) const;
    /// Sets the traits of a crashed run that the crash counts against.
    void choose_suspects(time_point now, crash_state& crash) const;
    void drop_crash(std::size_t index);
    void withdraw_crashes(std::uint64_t trait);
    /// Begins or extends a quarantine after a crash.
    void quarantine(time_point now, time_point crashed_at, std::uint64_t trait);
    void end_quarantine(std::uint64_t trait);

    crash_guard_settings settings;
    /// Runs in progress without an event.
    std::map<slot_id, run_state> runs;
    std::unordered_map<std::uint64_t, std::set<slot_id>> runs_by_trait;
    /// Traits that were seen to be good, and the times at which they were
    /// entered. An entry of the order may be outdated.
    std::unordered_map<std::uint64_t, good_trait> known_good;
    std::deque<std::pair<time_point, std::uint64_t>> known_good_order;
    /// Number of good runs, all and with decay as for the traits.
    std::int64_t good_runs = 0;
    double good_weight = 0.0;
    time_point good_weight_at;
    std::deque<crash_state> crashes;
    /// Number of crashes that count against each trait.
    std::unordered_map<std::uint64_t, std::size_t> crash_counts;
    std::set<slot_id> reported_runs;
    std::deque<slot_id> reported_order;
    std::unordered_map<std::uint64_t, quarantine_state> quarantines;
    std::set<std::uint64_t> changed;
};

} // namespace chicory::serving

#endif
