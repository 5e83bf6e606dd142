#include "policy/online/quarantine.hpp"

#include <algorithm>

namespace chicory::online
{

quarantine::quarantine(duration time_to_live) : time_to_live(time_to_live)
{
}

quarantine_decision
quarantine::judge(std::uint64_t fingerprint, time_point now) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || found->second.expires <= now)
    {
        return quarantine_decision::clear;
    }
    const std::size_t deaths = found->second.deaths.size();
    if (deaths >= max_deaths)
    {
        return quarantine_decision::quarantined;
    }
    return deaths > 0 ? quarantine_decision::suspect
                      : quarantine_decision::clear;
}

std::vector<crash_notice> quarantine::runner_died(
    const std::string& runner,
    std::uint64_t incarnation,
    const std::vector<std::uint64_t>& on_board,
    time_point now)
{
    std::vector<crash_notice> notices;
    for (const std::uint64_t fingerprint : on_board)
    {
        const crash_notice notice = {
            fingerprint, runner, incarnation, false, this->time_to_live};
        this->merge(notice, now);
        notices.push_back(notice);
    }
    return notices;
}

std::vector<crash_notice>
quarantine::lone_run_completed(std::uint64_t fingerprint, time_point now)
{
    std::vector<crash_notice> notices;
    if (this->judge(fingerprint, now) != quarantine_decision::suspect)
    {
        return notices;
    }
    const std::set<death> deaths = this->records[fingerprint].deaths;
    for (const auto& [runner, incarnation] : deaths)
    {
        const crash_notice notice = {
            fingerprint, runner, incarnation, true, this->time_to_live};
        this->merge(notice, now);
        notices.push_back(notice);
    }
    return notices;
}

void quarantine::merge(const crash_notice& notice, time_point now)
{
    if (notice.time_to_live <= duration::zero())
    {
        return;
    }
    this->expire(now);
    record& held = this->records[notice.fingerprint];
    // A peer's time to live is a hint and must not outlast the local rule.
    const duration lifetime = std::min(notice.time_to_live, this->time_to_live);
    held.expires = std::max(held.expires, now + lifetime);
    const death told = {notice.runner, notice.incarnation};
    if (notice.cleared)
    {
        held.cleared.insert(told);
        held.deaths.erase(told);
        return;
    }
    if (!held.cleared.contains(told))
    {
        held.deaths.insert(told);
    }
}

void quarantine::expire(time_point now)
{
    std::erase_if(
        this->records,
        [now](const auto& entry)
        {
            return entry.second.expires <= now;
        });
}

std::size_t quarantine::size() const
{
    return this->records.size();
}

} // namespace chicory::online
