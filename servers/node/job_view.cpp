#include "servers/node/job_view.hpp"

#include "servers/node/job_records.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace chicory::node
{

namespace
{

result<serving::job_record> read_job(const ports::record& source)
{
    result<serving::job_record> job =
        serving::decode_job(source.key, source.value, source.version);
    if (!job)
    {
        log_event(
            event::job_record_rejected,
            {{"job", source.key}, {"error", job.error().text}});
    }
    return job;
}

} // namespace

job_view::job_view(std::function<void(const std::string&)> hook)
    : on_job_changed(std::move(hook))
{
}

void job_view::adopt(
    const std::string& partition,
    serving::job_record record,
    const serving::version_range& versions)
{
    const std::string id = record.id;
    const known_job* known = this->find(id);
    if (known != nullptr)
    {
        this->is_overstated =
            this->is_overstated || known->versions.is_overstated_by(versions);
        if (!known->versions.is_replaced_by(versions))
        {
            return;
        }
    }
    this->jobs[id] = {std::move(record), partition, versions};
    this->on_job_changed(id);
}

std::int64_t
job_view::version_to_require(const serving::version_range& versions) const
{
    return this->is_overstated ? versions.lowest() : versions.highest();
}

void job_view::apply(const ports::record& changed)
{
    const serving::version_range versions =
        serving::version_range::of_read(changed.version);
    if (changed.key == limit_key)
    {
        this->adopt_limit(changed.partition, {changed.value, versions});
        return;
    }
    if (changed.deleted)
    {
        const known_job* known = this->find(changed.key);
        if (known != nullptr && known->versions.lowest() < changed.version)
        {
            this->jobs.erase(changed.key);
        }
        return;
    }
    if (result<serving::job_record> job = read_job(changed))
    {
        this->adopt(changed.partition, std::move(job.value()), versions);
    }
}

void job_view::apply_refusal(
    const std::string& id,
    const serving::version_range& when_sent,
    const std::vector<ports::record>& found)
{
    const auto returned = std::find_if(
        found.begin(),
        found.end(),
        [&](const ports::record& entry)
        {
            return entry.key == id && !entry.deleted;
        });
    if (returned == found.end())
    {
        return;
    }
    result<serving::job_record> job = read_job(*returned);
    if (!job)
    {
        return;
    }
    const serving::version_range versions =
        serving::version_range::of_read(returned->version);
    const auto known = this->jobs.find(id);
    if (known != this->jobs.end() &&
        known->second.versions.is_corrected_by(when_sent, versions))
    {
        // The returned record is adopted whatever its version.
        this->is_overstated = this->is_overstated ||
                              known->second.versions.is_overstated_by(versions);
        this->jobs.erase(known);
    }
    this->adopt(returned->partition, std::move(job.value()), versions);
}

void job_view::remove(
    const std::string& id, const serving::version_range& when_read)
{
    const auto known = this->jobs.find(id);
    if (known != this->jobs.end() && known->second.versions == when_read)
    {
        this->jobs.erase(known);
    }
}

void job_view::apply_snapshot(
    const std::vector<ports::record>& records, std::int64_t version)
{
    std::set<std::string> present;
    for (const ports::record& entry : records)
    {
        present.insert(entry.key);
        this->apply(entry);
    }
    std::erase_if(
        this->jobs,
        [&](const auto& item)
        {
            return !present.contains(item.first) &&
                   item.second.record.version <= version;
        });
}

void job_view::forget(
    const std::function<bool(const serving::job_record&)>& may_forget)
{
    std::erase_if(
        this->jobs,
        [&](const auto& item)
        {
            return may_forget(item.second.record);
        });
}

const known_job* job_view::find(const std::string& id) const
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : &found->second;
}

std::vector<const serving::job_record*> job_view::all() const
{
    std::vector<const serving::job_record*> listed;
    for (const auto& [id, known] : this->jobs)
    {
        listed.push_back(&known.record);
    }
    return listed;
}

std::int64_t job_view::waiting_tokens_in(
    const std::string& partition,
    const std::optional<std::string>& organisation) const
{
    std::int64_t sum = 0;
    for (const auto& [id, known] : this->jobs)
    {
        if (known.partition == partition &&
            (!organisation || known.record.organisation == *organisation))
        {
            sum += serving::waiting_tokens(known.record);
        }
    }
    return sum;
}

known_limit job_view::limit_in(const std::string& partition) const
{
    const auto found = this->limits.find(partition);
    return found == this->limits.end() ? known_limit() : found->second;
}

void job_view::adopt_limit(const std::string& partition, known_limit limit)
{
    known_limit& known = this->limits[partition];
    if (known.versions.is_replaced_by(limit.versions))
    {
        known = std::move(limit);
    }
}

void job_view::apply_limit_refusal(
    const std::string& partition,
    const serving::version_range& when_sent,
    const known_limit& found)
{
    known_limit& known = this->limits[partition];
    const bool adds_jobs = found.versions.lowest() > known.versions.lowest() &&
                           found.job != known.job;
    if (!adds_jobs && known.versions.is_corrected_by(when_sent, found.versions))
    {
        known = found;
    }
}

} // namespace chicory::node
