#include "policy/batch/job_feeder.hpp"

#include <algorithm>
#include <tuple>

namespace chicory::batch
{

namespace
{

constexpr std::size_t initial_window = 64;
constexpr std::size_t max_window = 1024;

} // namespace

job_feeder::job_feeder(
    std::int64_t deadline_window_ms, std::size_t fair_share_interval)
    : deadline_window_ms(deadline_window_ms),
      fair_share_interval(fair_share_interval)
{
}

std::vector<feed_grant> job_feeder::share(
    const std::vector<feed_source>& sources,
    const std::vector<idle_runner>& runners)
{
    std::vector<std::size_t> unassigned;
    std::map<std::string, std::size_t> in_progress;
    for (const feed_source& source : sources)
    {
        unassigned.push_back(source.ready);
        in_progress[source.member] += source.running;
    }
    std::map<std::string, std::size_t> pool_slots;
    for (const idle_runner& runner : runners)
    {
        pool_slots[runner.pool] += runner.slots;
    }
    std::map<std::string, std::map<std::size_t, std::size_t>> granted;
    for (const auto& [pool, slots] : pool_slots)
    {
        for (std::size_t slot = 0; slot < slots; ++slot)
        {
            const std::size_t source =
                this->choose(sources, unassigned, pool, in_progress);
            if (source == sources.size())
            {
                break;
            }
            ++this->slots_granted;
            --unassigned[source];
            ++in_progress[sources[source].member];
            ++granted[pool][source];
        }
    }
    std::vector<feed_grant> grants;
    for (const idle_runner& runner : runners)
    {
        std::size_t free_slots = runner.slots;
        for (auto& [source, items] : granted[runner.pool])
        {
            const std::size_t granted_items = std::min(free_slots, items);
            if (granted_items > 0)
            {
                grants.push_back({source, runner.runner, granted_items});
            }
            items -= granted_items;
            free_slots -= granted_items;
        }
    }
    return grants;
}

std::size_t job_feeder::choose(
    const std::vector<feed_source>& sources,
    const std::vector<std::size_t>& unassigned,
    const std::string& pool,
    const std::map<std::string, std::size_t>& in_progress)
{
    const bool by_fair_share =
        this->slots_granted % this->fair_share_interval ==
        this->fair_share_interval - 1;
    std::size_t best = sources.size();
    std::tuple<std::int64_t, std::size_t, std::int64_t> best_rank;
    for (std::size_t index = 0; index < sources.size(); ++index)
    {
        const feed_source& source = sources[index];
        if (unassigned[index] == 0 || source.pool != pool)
        {
            continue;
        }
        const std::int64_t window =
            by_fair_share ? 0 : source.deadline_ms / this->deadline_window_ms;
        const std::tuple<std::int64_t, std::size_t, std::int64_t> rank = {
            window, in_progress.at(source.member), source.deadline_ms};
        if (best == sources.size() || rank < best_rank)
        {
            best = index;
            best_rank = rank;
        }
    }
    return best;
}

std::size_t offer_window::limit(
    const std::string& runner, std::size_t offered, std::size_t running)
{
    const std::size_t window =
        this->windows.try_emplace(runner, initial_window).first->second;
    return window > running ? std::min(offered, window - running) : 0;
}

void offer_window::on_refused(const std::string& runner)
{
    std::size_t& window =
        this->windows.try_emplace(runner, initial_window).first->second;
    window = std::max<std::size_t>(1, window / 2);
}

void offer_window::on_ran(const std::string& runner)
{
    std::size_t& window =
        this->windows.try_emplace(runner, initial_window).first->second;
    window = std::min(max_window, window + 1);
}

} // namespace chicory::batch
