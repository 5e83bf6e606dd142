#include "policy/serving/runner_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace chicory::serving
{

runner_directory::runner_directory(runner_directory_settings initial)
    : settings(initial)
{
}

void runner_directory::on_entry(time_point now, const runner_entry& entry)
{
    if (const auto removal = this->removed.find(entry.id);
        removal != this->removed.end() && removal->second >= entry.version)
    {
        return;
    }
    const auto found = this->runners.find(entry.id);
    if (found != this->runners.end() &&
        found->second.entry.version > entry.version)
    {
        return;
    }
    this->removed.erase(entry.id);
    known_runner known;
    if (found != this->runners.end())
    {
        known = found->second;
        const bool restarted = known.entry.started_ms != entry.started_ms ||
                               known.entry.address != entry.address ||
                               known.entry.port != entry.port;
        // An expired entry that is written again, or a restart, shows that the
        // runner is usable, so it is no longer avoided.
        if (restarted || known.retained_until)
        {
            known.avoided_until = now;
            known.avoidance = duration::zero();
        }
        known.wrong_instance = known.wrong_instance && !restarted &&
                               known.entry.version == entry.version;
    }
    known.entry = entry;
    known.retained_until.reset();
    this->runners[entry.id] = std::move(known);
    ++this->changes;
}

bool runner_directory::may_have_expired(time_point now) const
{
    return this->store_unreachable ||
           (this->was_unreachable &&
            now - this->store_reachable_at < this->settings.registration_time);
}

void runner_directory::remove(time_point now, const std::string& id)
{
    const auto found = this->runners.find(id);
    if (found == this->runners.end())
    {
        return;
    }
    known_runner& known = found->second;
    const bool serving = known.entry.state == runner_state::ready;
    if (serving && this->may_have_expired(now))
    {
        if (!known.retained_until)
        {
            const time_point from =
                this->store_unreachable ? now : this->store_reachable_at;
            known.retained_until = from + this->settings.registration_time;
        }
        return;
    }
    this->runners.erase(found);
    ++this->changes;
}

void runner_directory::on_removed(
    time_point now, const std::string& id, std::int64_t version)
{
    const auto found = this->runners.find(id);
    if (found != this->runners.end() && found->second.entry.version > version)
    {
        return;
    }
    this->removed[id] = version;
    this->limit_removed();
    this->remove(now, id);
}

std::size_t runner_directory::removals() const
{
    return this->removed.size();
}

void runner_directory::limit_removed()
{
    if (this->removed.size() <= this->settings.max_removed)
    {
        return;
    }
    // Half of them at once, so that the cost of a removal stays flat.
    std::vector<std::int64_t> versions;
    versions.reserve(this->removed.size());
    for (const auto& [id, version] : this->removed)
    {
        versions.push_back(version);
    }
    const auto middle =
        versions.begin() + static_cast<std::ptrdiff_t>(versions.size() / 2);
    std::nth_element(versions.begin(), middle, versions.end());
    std::erase_if(
        this->removed,
        [oldest = *middle](const auto& item)
        {
            return item.second <= oldest;
        });
}

void runner_directory::on_snapshot(
    time_point now,
    const std::vector<runner_entry>& entries,
    std::int64_t version)
{
    std::set<std::string> present;
    for (const runner_entry& entry : entries)
    {
        present.insert(entry.id);
        this->on_entry(now, entry);
    }
    std::vector<std::string> missing;
    for (const auto& [id, known] : this->runners)
    {
        if (!present.contains(id) && known.entry.version <= version)
        {
            missing.push_back(id);
        }
    }
    for (const std::string& id : missing)
    {
        this->on_removed(now, id, version);
    }
}

void runner_directory::on_store_unreachable()
{
    this->store_unreachable = true;
}

void runner_directory::on_store_reachable(time_point now)
{
    if (this->store_unreachable)
    {
        this->store_unreachable = false;
        this->was_unreachable = true;
        this->store_reachable_at = now;
    }
}

void runner_directory::on_wrong_instance(const std::string& id)
{
    if (const auto found = this->runners.find(id); found != this->runners.end())
    {
        found->second.wrong_instance = true;
        ++this->changes;
    }
}

bool runner_directory::on_leaving(
    const std::string& id, std::int64_t started_ms)
{
    std::int64_t& known =
        this->leaving_starts.try_emplace(id, started_ms - 1).first->second;
    if (known >= started_ms)
    {
        return false;
    }
    known = started_ms;
    ++this->changes;
    return true;
}

bool runner_directory::has_announced_leaving(const runner_entry& entry) const
{
    const auto found = this->leaving_starts.find(entry.id);
    return found != this->leaving_starts.end() &&
           entry.started_ms <= found->second;
}

std::vector<leaving_runner>
runner_directory::leaving(const std::string& service) const
{
    std::vector<leaving_runner> found;
    for (const auto& [id, started_ms] : this->leaving_starts)
    {
        const runner_entry* entry = this->find(id);
        if (entry != nullptr && entry->service == service &&
            entry->state == runner_state::ready &&
            entry->started_ms <= started_ms)
        {
            found.push_back({id, started_ms});
        }
    }
    return found;
}

void runner_directory::on_unreachable(time_point now, const std::string& id)
{
    const auto found = this->runners.find(id);
    if (found == this->runners.end())
    {
        return;
    }
    known_runner& known = found->second;
    known.avoidance = std::clamp(
        known.avoidance * 2,
        this->settings.initial_avoidance,
        this->settings.max_avoidance);
    known.avoided_until = now + known.avoidance;
}

void runner_directory::on_reached(const std::string& id)
{
    if (const auto found = this->runners.find(id); found != this->runners.end())
    {
        found->second.avoidance = duration::zero();
        found->second.avoided_until = time_point();
    }
}

void runner_directory::on_tick(time_point now)
{
    std::erase_if(
        this->runners,
        [this, now](const auto& item)
        {
            const known_runner& known = item.second;
            const bool over =
                !this->store_unreachable && known.retained_until &&
                now >= *known.retained_until && !this->may_have_expired(now);
            this->changes += over ? 1 : 0;
            return over;
        });
}

bool runner_directory::is_usable(time_point now, const std::string& id) const
{
    const auto found = this->runners.find(id);
    if (found == this->runners.end())
    {
        return false;
    }
    const known_runner& known = found->second;
    return known.entry.state == runner_state::ready && !known.wrong_instance &&
           !this->has_announced_leaving(known.entry) &&
           now >= known.avoided_until;
}

bool runner_directory::may_send(const std::string& id) const
{
    const auto found = this->runners.find(id);
    return found != this->runners.end() &&
           found->second.entry.state == runner_state::ready &&
           !found->second.wrong_instance &&
           !this->has_announced_leaving(found->second.entry);
}

const runner_entry* runner_directory::find(const std::string& id) const
{
    const auto found = this->runners.find(id);
    return found == this->runners.end() ? nullptr : &found->second.entry;
}

std::vector<const runner_entry*>
runner_directory::usable(time_point now, const std::string& service) const
{
    std::vector<const runner_entry*> found;
    for (const auto& [id, known] : this->runners)
    {
        if (known.entry.service == service && this->is_usable(now, id))
        {
            found.push_back(&known.entry);
        }
    }
    return found;
}

std::set<std::string> runner_directory::services() const
{
    std::set<std::string> found;
    for (const auto& [id, known] : this->runners)
    {
        found.insert(known.entry.service);
    }
    return found;
}

std::map<std::string, std::size_t>
runner_directory::count_by_zone(const std::string& service) const
{
    std::map<std::string, std::size_t> counts;
    for (const auto& [id, known] : this->runners)
    {
        if (known.entry.service == service)
        {
            ++counts[known.entry.zone];
        }
    }
    return counts;
}

std::map<std::string, std::uint64_t> runner_directory::digests() const
{
    std::map<std::string, std::uint64_t> found;
    for (const auto& [id, known] : this->runners)
    {
        if (this->may_send(id))
        {
            std::uint64_t& digest = found[known.entry.service];
            digest = hash_bytes(
                id,
                digest + known.entry.models_digest +
                    static_cast<std::uint64_t>(known.entry.started_ms));
        }
    }
    return found;
}

std::uint64_t runner_directory::version() const
{
    return this->changes;
}

} // namespace chicory::serving
