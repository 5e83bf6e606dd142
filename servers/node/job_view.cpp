#include "servers/node/job_view.hpp"

#include "servers/node/job_records.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace chicory::node
{

job_view::job_view(std::function<void(const std::string&)> hook)
    : on_job_changed(std::move(hook))
{
}

void job_view::adopt(const std::string& partition, serving::job_record record)
{
    const std::string id = record.id;
    const known_job* known = this->find(id);
    if (known != nullptr && known->record.version >= record.version)
    {
        return;
    }
    this->jobs[id] = {std::move(record), partition};
    this->on_job_changed(id);
}

void job_view::apply(const ports::record& changed)
{
    if (changed.key == limit_key)
    {
        this->record_limit_version(changed.partition, changed.version);
        return;
    }
    if (changed.deleted)
    {
        const known_job* known = this->find(changed.key);
        if (known != nullptr && known->record.version < changed.version)
        {
            this->jobs.erase(changed.key);
        }
        return;
    }
    result<serving::job_record> record =
        serving::decode_job(changed.key, changed.value, changed.version);
    if (!record)
    {
        log_event(
            event::job_record_rejected,
            {{"job", changed.key}, {"error", record.error().text}});
        return;
    }
    this->adopt(changed.partition, std::move(record.value()));
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

std::int64_t job_view::limit_version(const std::string& partition) const
{
    const auto found = this->limit_versions.find(partition);
    return found == this->limit_versions.end() ? 0 : found->second;
}

void job_view::record_limit_version(
    const std::string& partition, std::int64_t version)
{
    std::int64_t& known = this->limit_versions[partition];
    known = std::max(known, version);
}

} // namespace chicory::node
