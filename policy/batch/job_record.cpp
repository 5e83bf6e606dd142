#include "policy/batch/job_record.hpp"

#include "policy/batch/record_fields.hpp"

namespace chicory::batch
{

std::string encode(const job_record& record)
{
    boost::json::object fields;
    fields["id"] = record.id;
    fields["member"] = record.member;
    fields["route"] = record.route;
    fields["key_digest"] = record.key_digest;
    fields["content_digest"] = record.content_digest;
    fields["state"] = find_name(job_state_names, record.state);
    fields["items"] = static_cast<std::int64_t>(record.items);
    fields["chunks"] = static_cast<std::int64_t>(record.chunks);
    fields["accepted_ms"] = record.accepted_ms;
    fields["deadline_ms"] = record.deadline_ms;
    fields["ended_ms"] = record.ended_ms;
    fields["completed"] = static_cast<std::int64_t>(record.completed);
    fields["failed"] = static_cast<std::int64_t>(record.failed);
    fields["outcome_unknown"] =
        static_cast<std::int64_t>(record.outcome_unknown);
    fields["operation_id"] = record.operation_id;
    return boost::json::serialize(fields);
}

result<job_record> decode_job(std::string_view value)
{
    job_record record;
    BOOST_OUTCOME_TRY(const auto fields, parse_record("job", value));
    BOOST_OUTCOME_TRY(record.id, read_text(fields, "id"));
    BOOST_OUTCOME_TRY(record.member, read_text(fields, "member"));
    BOOST_OUTCOME_TRY(record.route, read_text(fields, "route"));
    BOOST_OUTCOME_TRY(record.key_digest, read_text(fields, "key_digest"));
    BOOST_OUTCOME_TRY(
        record.content_digest, read_text(fields, "content_digest"));
    BOOST_OUTCOME_TRY(
        record.state, read_enum(fields, "state", job_state_names));
    BOOST_OUTCOME_TRY(record.items, read_count(fields, "items"));
    BOOST_OUTCOME_TRY(record.chunks, read_count(fields, "chunks"));
    BOOST_OUTCOME_TRY(record.accepted_ms, read_integer(fields, "accepted_ms"));
    BOOST_OUTCOME_TRY(record.deadline_ms, read_integer(fields, "deadline_ms"));
    BOOST_OUTCOME_TRY(record.ended_ms, read_integer(fields, "ended_ms"));
    BOOST_OUTCOME_TRY(record.completed, read_count(fields, "completed"));
    BOOST_OUTCOME_TRY(record.failed, read_count(fields, "failed"));
    BOOST_OUTCOME_TRY(
        record.outcome_unknown, read_count(fields, "outcome_unknown"));
    BOOST_OUTCOME_TRY(record.operation_id, read_text(fields, "operation_id"));
    return record;
}

key_match
match_submission(const job_record& stored, std::string_view content_digest)
{
    return stored.content_digest == content_digest ? key_match::same_job
                                                   : key_match::other_content;
}

std::string job_row_key(std::string_view job)
{
    return "batch/jobs/" + std::string(job);
}

std::string open_row_key(std::string_view job)
{
    return std::string(open_row_prefix) + std::string(job);
}

std::string
submission_row_key(std::string_view member, std::string_view key_digest)
{
    return "batch/keys/" + std::string(member) + "/" + std::string(key_digest);
}

std::string manifest_name(std::string_view job)
{
    return "batch/manifests/" + std::string(job);
}

} // namespace chicory::batch
