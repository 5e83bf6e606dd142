#include "policy/serving/crash_guard.hpp"

#include <algorithm>
#include <cstddef>
#include <string>

namespace chicory::serving
{

namespace
{

constexpr std::ptrdiff_t max_first_copies = 2;
/// Number of crashed runs that are sent to other coordinators. They must fit
/// into one datagram.
constexpr std::size_t max_recent_crashes = 16;

} // namespace

crash_guard::crash_guard(crash_guard_settings initial)
    : settings(initial), crashes(initial.crash_lifetime)
{
}

void crash_guard::on_begin(
    time_point now, std::uint64_t request_digest, const slot_id& run)
{
    if (request_digest != 0)
    {
        this->running[request_digest][run] = now;
    }
}

void crash_guard::on_end(std::uint64_t request_digest, const slot_id& run)
{
    const auto found = this->running.find(request_digest);
    if (found == this->running.end())
    {
        return;
    }
    found->second.erase(run);
    if (found->second.empty())
    {
        this->running.erase(found);
    }
}

void crash_guard::on_completed(time_point now, std::uint64_t request_digest)
{
    if (request_digest != 0)
    {
        this->crashes.lone_run_completed(request_digest, now);
        this->known_good[request_digest] =
            now + this->settings.known_good_lifetime;
    }
}

void crash_guard::on_crash(time_point now, const crashed_run& run)
{
    if (run.request_digest == 0)
    {
        return;
    }
    online::crash_notice notice;
    notice.fingerprint = run.request_digest;
    notice.runner = run.id.node + "/" + std::to_string(run.id.incarnation);
    notice.incarnation = run.id.number;
    notice.time_to_live = this->settings.crash_lifetime;
    this->crashes.merge(notice, now);
    if (std::find(this->recent.begin(), this->recent.end(), run) !=
        this->recent.end())
    {
        return;
    }
    this->recent.push_back(run);
    if (this->recent.size() > max_recent_crashes)
    {
        this->recent.pop_front();
    }
}

void crash_guard::on_tick(time_point now)
{
    std::erase_if(
        this->known_good,
        [now](const auto& item)
        {
            return item.second < now;
        });
}

bool crash_guard::is_quarantined(
    time_point now, std::uint64_t request_digest) const
{
    return this->crashes.judge(request_digest, now) ==
           online::quarantine_decision::quarantined;
}

bool crash_guard::is_suspect(time_point now, std::uint64_t request_digest) const
{
    return this->crashes.judge(request_digest, now) !=
           online::quarantine_decision::clear;
}

bool crash_guard::is_awaiting_first_copies(
    time_point now, std::uint64_t request_digest) const
{
    const auto found = this->running.find(request_digest);
    if (found == this->running.end() ||
        this->known_good.contains(request_digest))
    {
        return false;
    }
    const auto recently_begun = std::count_if(
        found->second.begin(),
        found->second.end(),
        [this, now](const auto& run)
        {
            return now - run.second < this->settings.observation_time;
        });
    return recently_begun >= max_first_copies;
}

bool crash_guard::may_begin(time_point now, std::uint64_t request_digest) const
{
    const bool must_wait = this->running.contains(request_digest) &&
                           this->is_suspect(now, request_digest);
    return !must_wait && !this->is_awaiting_first_copies(now, request_digest);
}

std::vector<crashed_run> crash_guard::recent_crashes() const
{
    return {this->recent.begin(), this->recent.end()};
}

} // namespace chicory::serving
