#include "policy/online/runner_chooser.hpp"

#include <algorithm>
#include <functional>

namespace chicory::online
{

namespace
{

/// Number of bytes of a body that are used as the prefix of its prompt.
constexpr std::size_t prefix_bytes = 1024;
/// Maximum ratio of a runner's load to the mean load up to which it is still
/// preferred for a prefix.
constexpr double max_affinity_ratio = 1.25;
/// Fraction of the runners that count as lightly loaded.
constexpr double low_load_fraction = 0.75;

std::string
choose_by_rendezvous(std::uint64_t key, const std::vector<std::string>& names)
{
    std::string best;
    std::uint64_t best_weight = 0;
    for (const std::string& name : names)
    {
        const std::uint64_t weight = hash_bytes(name, key);
        if (best.empty() || weight > best_weight)
        {
            best = name;
            best_weight = weight;
        }
    }
    return best;
}

template <class Option>
std::vector<Option> filter_unless_empty(
    std::vector<Option> options,
    const std::function<bool(const Option&)>& predicate)
{
    std::vector<Option> filtered;
    std::ranges::copy_if(options, std::back_inserter(filtered), predicate);
    return filtered.empty() ? options : filtered;
}

} // namespace

std::uint64_t make_prefix_key(std::string_view member, std::string_view body)
{
    const std::uint64_t salt = hash_bytes(member);
    const std::uint64_t key = hash_bytes(body.substr(0, prefix_bytes), salt);
    return key == 0 ? 1 : key;
}

bool runner_chooser::option::has_capacity() const
{
    return !this->has_sample || this->load < this->limit;
}

runner_chooser::runner_chooser(
    std::string region, std::string zone, std::uint64_t seed)
    : region(std::move(region)), zone(std::move(zone)), generator(seed)
{
}

void runner_chooser::probed(
    const std::string& runner, const runner_summary& summary, time_point now)
{
    this->samples[runner] = sample{summary, now, 0};
}

void runner_chooser::failed(const std::string& runner, time_point now)
{
    this->failures[runner] = now;
    this->samples.erase(runner);
}

std::vector<std::string> runner_chooser::probes_due(
    const runner_requirements& requirements,
    const std::vector<placed_vm>& candidates,
    time_point now)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    std::vector<std::string> all;
    std::vector<std::string> all_near;
    for (const placed_vm& candidate : candidates)
    {
        const bool is_near = this->is_near(candidate);
        all.push_back(candidate.id);
        if (is_near)
        {
            all_near.push_back(candidate.id);
        }
        const auto found = this->samples.find(candidate.id);
        const bool recent = found != this->samples.end() &&
                            now - found->second.at < min_probe_interval;
        if (!recent)
        {
            (is_near ? near : far).push_back(candidate.id);
        }
    }
    std::vector<std::string> due;
    if (requirements.prefix_key != 0 && !all.empty())
    {
        due.push_back(choose_by_rendezvous(
            requirements.prefix_key, all_near.empty() ? all : all_near));
    }
    std::ranges::sample(
        near, std::back_inserter(due), near_probes, this->generator);
    std::ranges::sample(
        far, std::back_inserter(due), far_probes, this->generator);
    return due;
}

std::string runner_chooser::choose(
    const runner_requirements& requirements,
    const std::vector<placed_vm>& candidates,
    time_point now)
{
    std::vector<option> options =
        this->list_options(requirements.avoid, candidates, now);
    if (options.empty())
    {
        return {};
    }
    options = filter_unless_empty<option>(
        std::move(options),
        [](const option& o)
        {
            return !o.failed;
        });
    if (requirements.suspect != 0)
    {
        std::vector<std::string> names;
        std::ranges::transform(
            options, std::back_inserter(names), &option::runner);
        return choose_by_rendezvous(requirements.suspect, names);
    }
    options = filter_unless_empty<option>(
        std::move(options),
        [](const option& o)
        {
            return o.has_capacity();
        });
    const bool has_capacity = options.front().has_capacity();
    options = filter_unless_empty<option>(
        std::move(options),
        [](const option& o)
        {
            return o.is_fresh;
        });
    if (has_capacity)
    {
        options = filter_unless_empty<option>(
            std::move(options),
            [](const option& o)
            {
                return o.near;
            });
    }
    std::string chosen;
    if (requirements.prefix_key != 0 && has_capacity)
    {
        chosen = this->choose_by_prefix(requirements.prefix_key, options);
    }
    if (chosen.empty())
    {
        chosen = this->choose_by_load(options);
    }
    if (const auto found = this->samples.find(chosen);
        found != this->samples.end())
    {
        found->second.sent_since += 1;
    }
    return chosen;
}

bool runner_chooser::is_near(const placed_vm& candidate) const
{
    return candidate.region == this->region && candidate.zone == this->zone;
}

std::vector<runner_chooser::option> runner_chooser::list_options(
    const std::set<std::string>& avoid,
    const std::vector<placed_vm>& candidates,
    time_point now) const
{
    std::vector<option> options;
    for (const placed_vm& candidate : candidates)
    {
        if (avoid.contains(candidate.id))
        {
            continue;
        }
        option listed;
        listed.runner = candidate.id;
        listed.near = this->is_near(candidate);
        const auto failure = this->failures.find(candidate.id);
        listed.failed = failure != this->failures.end() &&
                        now - failure->second < failure_memory;
        const auto found = this->samples.find(candidate.id);
        if (found != this->samples.end() &&
            now - found->second.at < probe_lifetime)
        {
            const sample& latest = found->second;
            listed.has_sample = true;
            listed.is_fresh = now - latest.at < fresh_age;
            listed.load = latest.summary.online_in_progress +
                          latest.summary.online_queued + latest.sent_since;
            listed.limit = latest.summary.limit;
            listed.latency = latest.summary.latency;
        }
        options.push_back(std::move(listed));
    }
    return options;
}

std::string runner_chooser::choose_by_prefix(
    std::uint64_t prefix_key, const std::vector<option>& options) const
{
    std::int64_t total = 0;
    for (const option& listed : options)
    {
        total += listed.load;
    }
    const double mean =
        static_cast<double>(total + 1) / static_cast<double>(options.size());
    const double bound = std::max(1.0, mean * max_affinity_ratio);
    std::vector<std::string> names;
    for (const option& listed : options)
    {
        if (static_cast<double>(listed.load + 1) <= bound + 1)
        {
            names.push_back(listed.runner);
        }
    }
    return choose_by_rendezvous(prefix_key, names);
}

std::string runner_chooser::choose_by_load(const std::vector<option>& options)
{
    // A random order breaks ties, so that gates do not all choose the same
    // runner.
    std::vector<option> order = filter_unless_empty<option>(
        options,
        [](const option& o)
        {
            return o.has_sample;
        });
    std::ranges::shuffle(order, this->generator);
    std::vector<std::int64_t> loads;
    std::ranges::transform(order, std::back_inserter(loads), &option::load);
    std::ranges::sort(loads);
    const double last_index = static_cast<double>(loads.size() - 1);
    const std::int64_t high_load =
        loads[static_cast<std::size_t>(last_index * low_load_fraction)];
    order = filter_unless_empty<option>(
        std::move(order),
        [high_load](const option& o)
        {
            return o.load < high_load || o.load == 0;
        });
    if (order.front().load >= high_load && high_load > 0)
    {
        return std::ranges::min_element(order, {}, &option::load)->runner;
    }
    return std::ranges::min_element(order, {}, &option::latency)->runner;
}

void runner_chooser::retain_only(const std::set<std::string>& runners)
{
    const auto unknown = [&runners](const auto& entry)
    {
        return !runners.contains(entry.first);
    };
    std::erase_if(this->samples, unknown);
    std::erase_if(this->failures, unknown);
}

} // namespace chicory::online
