#include "policy/batch/write_plan.hpp"

#include "policy/batch/record_fields.hpp"

#include <algorithm>
#include <utility>

namespace chicory::batch
{

write_effect check_write_effect(
    const found_row& row, std::int64_t expected, std::string_view operation)
{
    if (row.version == expected)
    {
        return write_effect::no_effect;
    }
    const auto record = parse_record("row", row.value);
    if (!record)
    {
        return write_effect::superseded;
    }
    const auto found = read_text(record.value(), "operation_id");
    return found && found.value() == operation ? write_effect::took_effect
                                               : write_effect::superseded;
}

void write_plan::replace(
    std::string key, std::int64_t version, std::optional<std::string> value)
{
    this->conditions.push_back({key, version});
    this->writes.push_back({std::move(key), std::move(value)});
}

void write_plan::require(std::string key, std::int64_t version)
{
    const bool has_condition = std::any_of(
        this->conditions.begin(),
        this->conditions.end(),
        [&key](const planned_condition& condition)
        {
            return condition.key == key;
        });
    if (!has_condition)
    {
        this->conditions.push_back({std::move(key), version});
    }
}

write_plan plan_acceptance(const lifecycles& charts, job_record& record)
{
    record.state = charts.job.next(record.state, job_event::row_stored);
    const std::string value = encode(record);
    write_plan plan;
    plan.replace(job_row_key(record.id), 0, value);
    plan.replace(open_row_key(record.id), 0, value);
    if (!record.key_digest.empty())
    {
        plan.replace(
            submission_row_key(record.member, record.key_digest), 0, record.id);
    }
    return plan;
}

std::optional<write_plan> plan_cancel(
    const lifecycles& charts,
    stored_job& job,
    std::string operation,
    std::int64_t now_ms)
{
    const job_state next = charts.job.next(job.record.state, job_event::cancel);
    if (next == job.record.state)
    {
        return std::nullopt;
    }
    job.record.state = next;
    job.record.operation_id = std::move(operation);
    job.record.ended_ms = now_ms;
    write_plan plan;
    plan.replace(job_row_key(job.record.id), job.version, encode(job.record));
    plan.replace(open_row_key(job.record.id), job.open_version, std::nullopt);
    return plan;
}

std::optional<write_plan> plan_finish(
    const lifecycles& charts,
    stored_job& job,
    const std::vector<stored_chunk>& chunks,
    std::string operation,
    std::int64_t now_ms)
{
    job_record finished_job = job.record;
    std::uint64_t committed = 0;
    for (const stored_chunk& chunk : chunks)
    {
        if (chunk.record.state != chunk_state::committed)
        {
            return std::nullopt;
        }
        committed += chunk.record.is_straggler() ? 0 : 1;
        finished_job.completed += chunk.record.completed;
        finished_job.failed += chunk.record.failed;
        finished_job.outcome_unknown += chunk.record.outcome_unknown;
    }
    finished_job.state =
        charts.job.next(finished_job.state, job_event::all_committed);
    if (committed != finished_job.chunks ||
        finished_job.state == job.record.state)
    {
        return std::nullopt;
    }
    finished_job.operation_id = std::move(operation);
    finished_job.ended_ms = now_ms;
    job.record = finished_job;
    write_plan plan;
    plan.replace(
        job_row_key(finished_job.id), job.version, encode(finished_job));
    plan.replace(open_row_key(finished_job.id), job.open_version, std::nullopt);
    return plan;
}

write_plan plan_lease(
    const lifecycles& charts,
    stored_chunk& chunk,
    const stored_job& job,
    std::string process,
    std::string operation)
{
    const chunk_event event = chunk.record.state == chunk_state::leased
                                  ? chunk_event::take_over
                                  : chunk_event::lease;
    const chunk_state next = charts.chunk.next(chunk.record.state, event);
    chunk.record =
        chunk.record.leased_by(std::move(process), std::move(operation));
    chunk.record.state = next;
    write_plan plan;
    plan.replace(
        chunk_row_key(chunk.record.job, chunk.record.name),
        chunk.version,
        encode(chunk.record));
    plan.require(open_row_key(chunk.record.job), job.open_version);
    return plan;
}

write_plan plan_mark(
    const lifecycles& charts,
    const stored_chunk& chunk,
    const stored_job& job,
    const chunk_record& marked)
{
    chunk_record next = marked;
    next.state = charts.chunk.next(chunk.record.state, chunk_event::mark);
    write_plan plan;
    plan.replace(
        chunk_row_key(next.job, next.name), chunk.version, encode(next));
    plan.require(open_row_key(next.job), job.open_version);
    return plan;
}

write_plan plan_release(
    const lifecycles& charts,
    const stored_chunk& chunk,
    const chunk_record& released)
{
    chunk_record next = released;
    next.state = charts.chunk.next(chunk.record.state, chunk_event::release);
    write_plan plan;
    plan.replace(
        chunk_row_key(next.job, next.name), chunk.version, encode(next));
    return plan;
}

void plan_commit(write_plan& plan, const commit_request& request)
{
    plan.require(request.open_key, request.open_version);
    plan.replace(request.chunk_key, request.token, encode(request.committed));
    if (request.stragglers)
    {
        plan.replace(
            chunk_row_key(request.stragglers->job, request.stragglers->name),
            0,
            encode(*request.stragglers));
    }
}

} // namespace chicory::batch
