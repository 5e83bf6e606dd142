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
    const std::size_t failures = found->second.failures.size();
    if (failures >= max_failures)
    {
        return quarantine_decision::quarantined;
    }
    return failures > 0 ? quarantine_decision::suspect
                        : quarantine_decision::clear;
}

std::vector<crash_notice> quarantine::runner_died(
    const std::string& runner,
    std::uint64_t incarnation,
    const std::vector<std::uint64_t>& in_progress,
    time_point now)
{
    std::vector<crash_notice> notices;
    for (const std::uint64_t fingerprint : in_progress)
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
    const std::set<runner_failure> failures =
        this->records[fingerprint].failures;
    for (const auto& [runner, incarnation] : failures)
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
    record& stored = this->records[notice.fingerprint];
    // The time to live of a peer's notice must not exceed the local one.
    const duration lifetime = std::min(notice.time_to_live, this->time_to_live);
    stored.expires = std::max(stored.expires, now + lifetime);
    const runner_failure reported = {notice.runner, notice.incarnation};
    if (notice.cleared)
    {
        stored.cleared.insert(reported);
        stored.failures.erase(reported);
        return;
    }
    if (!stored.cleared.contains(reported))
    {
        stored.failures.insert(reported);
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
