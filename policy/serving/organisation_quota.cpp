#include "policy/serving/organisation_quota.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace chicory::serving
{

namespace
{

/// Number of causes of overshoot; see `reserve_part`.
constexpr double reserve_causes = 4.0;
/// Number of names in counters; the remaining organisations are one.
constexpr std::size_t max_counted_names = 64;
constexpr std::string_view other_name = "other";
/// Every status in this number repeats an organisation without new requests.
constexpr std::uint64_t repeat_statuses = 16;
/// Maximum number of organisations and of counts in the report of a node.
constexpr std::size_t max_reported_entries = 128;
constexpr std::size_t max_reported_counts = 1000;
/// Time after which a request without contact is worth a new attempt.
constexpr std::chrono::milliseconds isolated_retry(1000);
constexpr std::chrono::milliseconds prune_interval(500);
/// Number of times that a request without a decision is decided in a tick.
constexpr double undecided_calls = 3.0;

double to_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

std::int64_t to_tick(time_point now, duration tick)
{
    return now.time_since_epoch() / tick;
}

std::uint16_t to_count(std::int64_t value)
{
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(
        value, 0, std::numeric_limits<std::uint16_t>::max()));
}

std::vector<quota_count>
to_counts(const quota_history& history, std::int64_t now_tick)
{
    std::vector<quota_count> counts;
    for (const quota_history::entry& entry : history.entries())
    {
        if (entry.count > 0)
        {
            counts.push_back(
                {to_count(now_tick - entry.tick), to_count(entry.count)});
        }
    }
    return counts;
}

/// Drops counts of ticks before `first`, and histories without counts.
template <class Histories>
void prune_all(Histories& histories, std::int64_t first)
{
    for (auto entry = histories.begin(); entry != histories.end();)
    {
        entry->second.prune(first);
        entry = entry->second.is_empty() ? histories.erase(entry)
                                         : std::next(entry);
    }
}

/// Reads counts that another node sent. Ages beyond the window are ignored, so
/// that the history stays bounded.
quota_history from_counts(
    const std::vector<quota_count>& counts,
    std::int64_t now_tick,
    std::int64_t first)
{
    quota_history history;
    for (const quota_count& count : counts)
    {
        if (now_tick - count.age >= first)
        {
            history.add(now_tick - count.age, count.count);
        }
    }
    return history;
}

} // namespace

organisation_limit make_organisation_limit(const organisation& source)
{
    return {source.rate_per_s, source.burst, source.priority.value_or(0)};
}

double reserve_part(
    const organisation_quota_settings& settings,
    const organisation_limit& limit)
{
    const double bound =
        limit.rate_per_s * to_seconds(settings.window) + limit.burst;
    return (bound * settings.overshoot + settings.tolerance) / reserve_causes;
}

void quota_history::add(std::int64_t tick, std::int64_t count)
{
    auto found = std::lower_bound(
        this->counts.begin(),
        this->counts.end(),
        tick,
        [](const entry& known, std::int64_t wanted)
        {
            return known.tick < wanted;
        });
    if (found == this->counts.end() || found->tick != tick)
    {
        found = this->counts.insert(found, {tick, 0});
    }
    found->count += count;
    if (found->count <= 0)
    {
        this->counts.erase(found);
    }
}

void quota_history::prune(std::int64_t first)
{
    const auto end = std::find_if(
        this->counts.begin(),
        this->counts.end(),
        [first](const entry& known)
        {
            return known.tick >= first;
        });
    this->counts.erase(this->counts.begin(), end);
}

void quota_history::clear()
{
    this->counts.clear();
}

bool quota_history::is_empty() const
{
    return this->counts.empty();
}

std::int64_t quota_history::total_since(std::int64_t first) const
{
    std::int64_t total = 0;
    for (const entry& known : this->counts)
    {
        total += known.tick >= first ? known.count : 0;
    }
    return total;
}

const std::vector<quota_history::entry>& quota_history::entries() const
{
    return this->counts;
}

organisation_quota::organisation_quota(
    organisation_quota_settings initial, limit_hook hook)
    : settings(initial), find_organisation(std::move(hook))
{
}

void organisation_quota::on_takeover(time_point now)
{
    this->takeover_at = now;
}

void organisation_quota::set_contact(
    time_point now, const quota_contact& current)
{
    if (this->contact.in_majority && !current.in_majority)
    {
        this->isolated_since = now;
    }
    if (!this->contact.in_majority && current.in_majority)
    {
        // The others may have charged requests that this node does not know
        // yet.
        this->takeover_at = now;
    }
    this->contact = current;
}

std::int64_t organisation_quota::tick_of(time_point now) const
{
    return to_tick(now, this->settings.tick);
}

std::int64_t organisation_quota::first_tick(time_point now) const
{
    return this->tick_of(now - this->settings.window);
}

double organisation_quota::slack(const organisation_limit& limit) const
{
    return reserve_part(this->settings, limit);
}

std::optional<organisation_limit>
organisation_quota::find_limit(const std::string& organisation) const
{
    if (organisation.empty() || !this->find_organisation)
    {
        return std::nullopt;
    }
    std::optional<organisation_limit> limit =
        this->find_organisation(organisation);
    return limit && limit->rate_per_s > 0.0 ? limit : std::nullopt;
}

std::int64_t
organisation_quota::priority_of(const std::string& organisation) const
{
    if (organisation.empty() || !this->find_organisation)
    {
        return 0;
    }
    const std::optional<organisation_limit> limit =
        this->find_organisation(organisation);
    return limit ? limit->priority : 0;
}

organisation_quota::organisation_state&
organisation_quota::find_or_add(time_point now, const std::string& organisation)
{
    organisation_state& state = this->organisations[organisation];
    if (state.last_request == time_point() ||
        now - state.last_request > this->settings.window)
    {
        state.first_request = now;
    }
    state.last_request = now;
    return state;
}

quota_counters& organisation_quota::counters_of(const std::string& organisation)
{
    const bool known = this->counted.contains(organisation);
    return this->counted
        [known || this->counted.size() < max_counted_names
             ? organisation
             : std::string(other_name)];
}

double organisation_quota::find_level(
    time_point now,
    const organisation_state& state,
    const organisation_limit& limit) const
{
    const std::int64_t first = this->first_tick(now);
    const auto size = static_cast<std::size_t>(this->tick_of(now) - first + 1);
    std::vector<std::int64_t> counts(size, 0);
    const auto add = [&counts, first, size](const quota_history& history)
    {
        for (const quota_history::entry& entry : history.entries())
        {
            if (entry.tick >= first)
            {
                counts[std::min(
                    size - 1, static_cast<std::size_t>(entry.tick - first))] +=
                    entry.count;
            }
        }
    };
    add(state.own);
    for (const auto& [peer, usage] : state.peers)
    {
        std::int64_t reported = 0;
        for (const auto& [source, history] : usage.from_nodes)
        {
            reported += history.total_since(first);
        }
        if (reported <= usage.from_status.total_since(first))
        {
            add(usage.from_status);
            continue;
        }
        for (const auto& [source, history] : usage.from_nodes)
        {
            add(history);
        }
    }
    // The bucket is full before the window. From the oldest tick on, it never
    // holds more than the depth, which equals the minimum over all suffixes.
    const double depth = limit.burst + this->slack(limit);
    double level = depth;
    std::int64_t sum = 0;
    std::int64_t sum_since_takeover = 0;
    const std::int64_t takeover =
        this->takeover_at ? this->tick_of(*this->takeover_at) : 0;
    for (std::size_t index = size; index-- > 0;)
    {
        sum += counts[index];
        const std::int64_t tick = first + static_cast<std::int64_t>(index);
        if (tick >= takeover)
        {
            sum_since_takeover = sum;
        }
        const time_point end = time_point((tick + 1) * this->settings.tick);
        const double age = std::max(0.0, to_seconds(now - end));
        level = std::min(
            level, depth + limit.rate_per_s * age - static_cast<double>(sum));
    }
    if (this->takeover_at && now - *this->takeover_at < this->settings.window)
    {
        level = std::min(
            level,
            this->slack(limit) +
                limit.rate_per_s * to_seconds(now - *this->takeover_at) -
                static_cast<double>(sum_since_takeover));
    }
    return level;
}

std::size_t organisation_quota::count_sharers(
    time_point now, const organisation_state& state) const
{
    // Before the others know that requests arrive here, or this node knows
    // their charges, each of them may expect the tokens for itself.
    const time_point known_since =
        std::max(state.first_request, this->takeover_at.value_or(time_point()));
    if (now - known_since < this->settings.share_delay)
    {
        return std::max<std::size_t>(1, this->contact.coordinators);
    }
    return 1 + static_cast<std::size_t>(std::count_if(
                   state.peers.begin(),
                   state.peers.end(),
                   [this, now](const auto& peer)
                   {
                       return peer.second.last_request != time_point() &&
                              now - peer.second.last_request <=
                                  this->settings.window;
                   }));
}

quota_decision_kind organisation_quota::decide(
    time_point now,
    const organisation_state& state,
    const organisation_limit& limit,
    double level) const
{
    if (this->contact.undecided)
    {
        return quota_decision_kind::undecided;
    }
    if (!this->contact.in_majority)
    {
        const std::int64_t first = std::max(
            this->first_tick(now), this->tick_of(this->isolated_since));
        const double part =
            this->slack(limit) / static_cast<double>(std::max<std::size_t>(
                                     1, this->contact.known_nodes));
        return static_cast<double>(state.own.total_since(first) + 1) <= part
                   ? quota_decision_kind::charged
                   : quota_decision_kind::refused;
    }
    if (level < 1.0)
    {
        return quota_decision_kind::refused;
    }
    const auto unknown = static_cast<double>(
        state.own.total_since(this->tick_of(now - this->settings.share_delay)));
    const double part = (level + unknown + this->slack(limit)) /
                        static_cast<double>(this->count_sharers(now, state));
    return unknown == 0.0 || unknown + 1.0 <= part
               ? quota_decision_kind::charged
               : quota_decision_kind::undecided;
}

duration organisation_quota::choose_retry_after(
    time_point now,
    organisation_state& state,
    const organisation_limit& limit,
    double level) const
{
    if (!this->contact.in_majority)
    {
        return isolated_retry;
    }
    const time_point token_at = now + from_seconds(std::clamp(
                                          (1.0 - level) / limit.rate_per_s,
                                          0.0,
                                          to_seconds(this->settings.window)));
    const time_point after_others =
        state.next_retry_at +
        from_seconds(std::min(
            to_seconds(this->settings.window), 1.0 / limit.rate_per_s));
    // One window without requests fills the bucket in any case.
    state.next_retry_at =
        std::min(std::max(token_at, after_others), now + this->settings.window);
    return state.next_retry_at - now;
}

quota_decision
organisation_quota::charge(time_point now, const std::string& organisation)
{
    const std::optional<organisation_limit> limit =
        this->find_limit(organisation);
    if (!limit)
    {
        return {};
    }
    organisation_state& state = this->find_or_add(now, organisation);
    const double level = this->find_level(now, state, *limit);
    quota_decision decision;
    decision.kind = this->decide(now, state, *limit, level);
    if (decision.kind == quota_decision_kind::undecided)
    {
        // No more requests wait than there may be tokens for. A request that
        // waits is decided again about twice in each tick.
        const std::int64_t tick = this->tick_of(now);
        state.undecided =
            state.undecided_tick == tick ? state.undecided + 1 : 1;
        state.undecided_tick = tick;
        if (static_cast<double>(state.undecided) >
            undecided_calls * std::max(1.0, level))
        {
            decision.kind = quota_decision_kind::refused;
        }
    }
    if (decision.kind == quota_decision_kind::refused)
    {
        ++this->counters_of(organisation).refused;
        decision.retry_after =
            this->choose_retry_after(now, state, *limit, level);
    }
    else if (decision.kind == quota_decision_kind::charged)
    {
        state.own.add(this->tick_of(now), 1);
        ++this->counters_of(organisation).charged;
    }
    return decision;
}

void organisation_quota::charge_admitted(
    time_point now, const std::string& organisation)
{
    if (this->find_limit(organisation))
    {
        this->find_or_add(now, organisation).own.add(this->tick_of(now), 1);
        ++this->counters_of(organisation).charged;
    }
}

void organisation_quota::refund(
    time_point now, const std::string& organisation, time_point charged_at)
{
    const auto found = this->organisations.find(organisation);
    if (found == this->organisations.end() ||
        this->tick_of(charged_at) < this->first_tick(now))
    {
        return;
    }
    const std::int64_t tick = this->tick_of(charged_at);
    quota_history& own = found->second.own;
    if (own.total_since(tick) > own.total_since(tick + 1))
    {
        own.add(tick, -1);
        ++this->counters_of(organisation).refunded;
    }
}

void organisation_quota::on_run(
    time_point now, const std::string& organisation, time_point charged_at)
{
    const std::int64_t before = this->tick_of(charged_at);
    const std::int64_t tick = this->tick_of(now);
    const auto found = this->organisations.find(organisation);
    if (found == this->organisations.end())
    {
        // The charge has left the window while the request waited.
        if (this->find_limit(organisation))
        {
            this->organisations[organisation].own.add(tick, 1);
        }
        return;
    }
    if (before == tick)
    {
        return;
    }
    quota_history& own = found->second.own;
    if (own.total_since(before) > own.total_since(before + 1))
    {
        own.add(before, -1);
    }
    own.add(tick, 1);
}

quota_status organisation_quota::make_status(time_point now, bool all)
{
    quota_status status;
    const std::uint64_t number = this->status_number++;
    const std::int64_t now_tick = this->tick_of(now);
    std::size_t counts = 0;
    const auto add = [&](const std::string& name, organisation_state& state)
    {
        state.own.prune(this->first_tick(now));
        organisation_usage usage;
        usage.organisation = name;
        usage.last_request_age =
            to_count((now - state.last_request) / this->settings.tick);
        usage.charged = to_counts(state.own, now_tick);
        counts += usage.charged.size();
        status.organisations.push_back(std::move(usage));
    };
    const auto has_space = [&]
    {
        return status.organisations.size() <
                   this->settings.max_status_organisations &&
               counts < this->settings.max_status_counts;
    };
    // Repeated organisations come last, so that they never displace new
    // charges.
    for (const bool repeated : {false, true})
    {
        for (auto& [name, state] : this->organisations)
        {
            const bool is_new =
                state.last_request != time_point() &&
                now - state.last_request <= this->settings.resend_time;
            const bool is_turn =
                state.last_request != time_point() && !state.own.is_empty() &&
                (all || (hash_bytes(name) + number) % repeat_statuses == 0);
            if ((repeated ? !is_new && is_turn : is_new) && has_space())
            {
                add(name, state);
            }
        }
    }
    return status;
}

void organisation_quota::on_status(
    time_point now, const std::string& sender, const quota_status& status)
{
    for (const organisation_usage& usage : status.organisations)
    {
        if (!this->find_limit(usage.organisation))
        {
            continue;
        }
        peer_usage& peer =
            this->organisations[usage.organisation].peers[sender];
        peer.from_status = from_counts(
            usage.charged, this->tick_of(now), this->first_tick(now));
        peer.last_request = now - usage.last_request_age * this->settings.tick;
    }
}

void organisation_quota::on_report(
    time_point now,
    const std::string& source,
    const std::vector<sent_requests>& sent)
{
    const auto known = this->reported_by.find(source);
    if (known != this->reported_by.end())
    {
        for (const std::string& name : known->second)
        {
            const auto found = this->organisations.find(name);
            if (found == this->organisations.end())
            {
                continue;
            }
            for (auto& [coordinator, usage] : found->second.peers)
            {
                usage.from_nodes.erase(source);
            }
        }
        this->reported_by.erase(known);
    }
    for (const sent_requests& entry : sent)
    {
        if (!this->find_limit(entry.organisation))
        {
            continue;
        }
        this->organisations[entry.organisation]
            .peers[entry.coordinator]
            .from_nodes[source] =
            from_counts(entry.sent, this->tick_of(now), this->first_tick(now));
        this->reported_by[source].push_back(entry.organisation);
    }
}

void organisation_quota::on_tick(time_point now)
{
    if (now < this->next_prune)
    {
        return;
    }
    this->next_prune = now + duration(prune_interval);
    const std::int64_t first = this->first_tick(now);
    for (auto entry = this->organisations.begin();
         entry != this->organisations.end();)
    {
        organisation_state& state = entry->second;
        state.own.prune(first);
        for (auto peer = state.peers.begin(); peer != state.peers.end();)
        {
            peer_usage& usage = peer->second;
            usage.from_status.prune(first);
            prune_all(usage.from_nodes, first);
            const bool is_idle =
                usage.from_status.is_empty() && usage.from_nodes.empty() &&
                now - usage.last_request > this->settings.window;
            peer = is_idle ? state.peers.erase(peer) : std::next(peer);
        }
        const bool is_idle = state.own.is_empty() && state.peers.empty() &&
                             now - state.last_request > this->settings.window;
        entry = is_idle ? this->organisations.erase(entry) : std::next(entry);
    }
    std::erase_if(
        this->reported_by,
        [this](const auto& item)
        {
            return std::none_of(
                item.second.begin(),
                item.second.end(),
                [this](const std::string& name)
                {
                    return this->organisations.contains(name);
                });
        });
}

std::int64_t organisation_quota::count_in_window(
    time_point now, const std::string& organisation) const
{
    const auto found = this->organisations.find(organisation);
    if (found == this->organisations.end())
    {
        return 0;
    }
    const std::int64_t first = this->first_tick(now);
    std::int64_t total = found->second.own.total_since(first);
    for (const auto& [peer, usage] : found->second.peers)
    {
        std::int64_t reported = 0;
        for (const auto& [source, history] : usage.from_nodes)
        {
            reported += history.total_since(first);
        }
        total += std::max(reported, usage.from_status.total_since(first));
    }
    return total;
}

const std::map<std::string, quota_counters>&
organisation_quota::counters() const
{
    return this->counted;
}

std::size_t organisation_quota::tracked_organisations() const
{
    return this->organisations.size();
}

sent_history::sent_history(organisation_quota_settings initial)
    : settings(initial)
{
}

void sent_history::prune(time_point now)
{
    if (now < this->next_prune)
    {
        return;
    }
    this->next_prune = now + duration(prune_interval);
    const std::int64_t first =
        to_tick(now - this->settings.window, this->settings.tick);
    prune_all(this->histories, first);
    prune_all(this->direct, first);
}

void sent_history::on_sent(
    time_point now,
    const std::string& group,
    const std::string& organisation,
    const std::string& coordinator)
{
    this->prune(now);
    this->histories[{group, organisation, coordinator}].add(
        to_tick(now, this->settings.tick), 1);
}

std::vector<sent_requests> sent_history::make_report(
    time_point now, const std::string& group, const std::string& receiver)
{
    this->prune(now);
    std::vector<sent_requests> report;
    std::size_t counts = 0;
    const std::int64_t now_tick = to_tick(now, this->settings.tick);
    for (auto entry = this->histories.lower_bound({group, "", ""});
         entry != this->histories.end() && entry->first.group == group;
         ++entry)
    {
        if (entry->first.coordinator == receiver)
        {
            continue;
        }
        if (report.size() >= max_reported_entries ||
            counts >= max_reported_counts)
        {
            break;
        }
        report.push_back(
            {entry->first.organisation,
             entry->first.coordinator,
             to_counts(entry->second, now_tick)});
        counts += report.back().sent.size();
    }
    return report;
}

bool sent_history::charge_direct(
    time_point now,
    const std::string& organisation,
    const organisation_limit& limit,
    std::size_t known_nodes)
{
    this->prune(now);
    if (limit.rate_per_s <= 0.0)
    {
        return true;
    }
    const double part =
        reserve_part(this->settings, limit) /
        static_cast<double>(std::max<std::size_t>(1, known_nodes));
    quota_history& history = this->direct[organisation];
    const std::int64_t first =
        to_tick(now - this->settings.window, this->settings.tick);
    if (static_cast<double>(history.total_since(first) + 1) > part)
    {
        return false;
    }
    history.add(to_tick(now, this->settings.tick), 1);
    return true;
}

} // namespace chicory::serving
