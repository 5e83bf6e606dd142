#include "policy/batch/chunk_record.hpp"

#include "policy/batch/record_fields.hpp"

#include <algorithm>
#include <utility>

namespace chicory::batch
{

namespace
{

constexpr std::size_t chunk_name_digits = 8;
constexpr std::string_view straggler_suffix = ".s";

boost::json::array to_array(const std::vector<std::uint64_t>& numbers)
{
    boost::json::array array;
    for (const std::uint64_t number : numbers)
    {
        array.emplace_back(static_cast<std::int64_t>(number));
    }
    return array;
}

} // namespace

bool chunk_record::is_straggler() const
{
    return std::string_view(this->name).ends_with(straggler_suffix);
}

chunk_record
chunk_record::leased_by(std::string process, std::string operation) const
{
    chunk_record next = *this;
    next.state = chunk_state::leased;
    next.holder = std::move(process);
    next.operation_id = std::move(operation);
    ++next.generation;
    return next;
}

chunk_record chunk_record::released(
    std::vector<std::uint64_t> sent, std::string operation) const
{
    chunk_record next = *this;
    next.state = chunk_state::waiting;
    next.holder.clear();
    next.started = std::move(sent);
    next.operation_id = std::move(operation);
    return next;
}

chunk_record chunk_record::marked(
    const std::vector<std::uint64_t>& positions, std::string operation) const
{
    chunk_record next = *this;
    for (const std::uint64_t position : positions)
    {
        if (std::find(next.started.begin(), next.started.end(), position) ==
            next.started.end())
        {
            next.started.push_back(position);
        }
    }
    next.operation_id = std::move(operation);
    return next;
}

chunk_record chunk_record::split(
    std::vector<std::uint64_t> positions,
    std::vector<std::uint64_t> failed_attempts,
    std::string operation) const
{
    chunk_record part;
    part.job = this->job;
    part.name = this->name + std::string(straggler_suffix);
    part.source = this->source;
    part.first = this->first;
    part.items = positions.size();
    part.members = std::move(positions);
    part.attempts = std::move(failed_attempts);
    part.operation_id = std::move(operation);
    return part;
}

std::string encode(const chunk_record& record)
{
    boost::json::object fields;
    fields["job"] = record.job;
    fields["name"] = record.name;
    fields["source"] = record.source;
    fields["first"] = static_cast<std::int64_t>(record.first);
    fields["items"] = static_cast<std::int64_t>(record.items);
    fields["members"] = to_array(record.members);
    fields["attempts"] = to_array(record.attempts);
    fields["state"] = find_name(chunk_state_names, record.state);
    fields["holder"] = record.holder;
    fields["generation"] = static_cast<std::int64_t>(record.generation);
    fields["started"] = to_array(record.started);
    fields["results"] = record.results;
    fields["completed"] = static_cast<std::int64_t>(record.completed);
    fields["failed"] = static_cast<std::int64_t>(record.failed);
    fields["outcome_unknown"] =
        static_cast<std::int64_t>(record.outcome_unknown);
    fields["operation_id"] = record.operation_id;
    return boost::json::serialize(fields);
}

result<chunk_record> decode_chunk(std::string_view value)
{
    chunk_record record;
    BOOST_OUTCOME_TRY(const auto fields, parse_record("chunk", value));
    BOOST_OUTCOME_TRY(record.job, read_text(fields, "job"));
    BOOST_OUTCOME_TRY(record.name, read_text(fields, "name"));
    BOOST_OUTCOME_TRY(record.source, read_text(fields, "source"));
    BOOST_OUTCOME_TRY(record.first, read_count(fields, "first"));
    BOOST_OUTCOME_TRY(record.items, read_count(fields, "items"));
    BOOST_OUTCOME_TRY(record.members, read_counts(fields, "members"));
    BOOST_OUTCOME_TRY(record.attempts, read_counts(fields, "attempts"));
    BOOST_OUTCOME_TRY(
        record.state, read_enum(fields, "state", chunk_state_names));
    BOOST_OUTCOME_TRY(record.holder, read_text(fields, "holder"));
    BOOST_OUTCOME_TRY(record.generation, read_count(fields, "generation"));
    BOOST_OUTCOME_TRY(record.started, read_counts(fields, "started"));
    BOOST_OUTCOME_TRY(record.results, read_text(fields, "results"));
    BOOST_OUTCOME_TRY(record.completed, read_count(fields, "completed"));
    BOOST_OUTCOME_TRY(record.failed, read_count(fields, "failed"));
    BOOST_OUTCOME_TRY(
        record.outcome_unknown, read_count(fields, "outcome_unknown"));
    BOOST_OUTCOME_TRY(record.operation_id, read_text(fields, "operation_id"));
    if (record.attempts.size() != record.members.size())
    {
        return make_error(
            error_kind::internal,
            "expected as many attempts as members in chunk " + record.name);
    }
    return record;
}

std::string chunk_name(std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    const std::size_t pad =
        chunk_name_digits - std::min(chunk_name_digits, digits.size());
    return std::string(pad, '0') + digits;
}

std::string chunk_row_prefix(std::string_view job)
{
    return "batch/chunks/" + std::string(job) + "/";
}

std::string chunk_row_key(std::string_view job, std::string_view name)
{
    return chunk_row_prefix(job) + std::string(name);
}

std::string items_name(std::string_view job, std::string_view name)
{
    return "batch/items/" + std::string(job) + "/" + std::string(name);
}

std::string
results_name(std::string_view job, std::string_view name, std::int64_t token)
{
    return "batch/results/" + std::string(job) + "/" + std::string(name) + "/" +
           std::to_string(token);
}

} // namespace chicory::batch
