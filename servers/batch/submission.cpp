#include "servers/batch/submission.hpp"

#include <boost/json.hpp>

#include <utility>

namespace chicory::batch
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds accept_limit(20);
constexpr int store_attempts = 4;

refusal make_refusal(int status, reason code, std::string text)
{
    refusal failure;
    failure.status = status;
    failure.code = code;
    failure.text = std::move(text);
    return failure;
}

refusal make_content_refusal(const error& failure)
{
    if (failure.kind == error_kind::invalid_input)
    {
        return make_refusal(400, reason::invalid_request, failure.text);
    }
    return make_refusal(400, reason::caller_gone, failure.text);
}

submission_outcome
match_content(const job_record& stored, const std::string& digest)
{
    if (match_submission(stored, digest) == key_match::same_job)
    {
        return accepted_job{stored, false};
    }
    return make_refusal(
        409,
        reason::key_in_use,
        "the key belongs to job " + stored.id + " with other content");
}

} // namespace

submission::submission(
    job_table& initial_table,
    ports::object_store& initial_objects,
    const lifecycles& initial_charts,
    identifier_source& initial_identifiers)
    : table(initial_table), objects(initial_objects), charts(initial_charts),
      identifiers(initial_identifiers)
{
}

asio::awaitable<submission_outcome>
submission::accept(net::http_exchange& exchange, submission_request request)
{
    job_record record;
    record.id = this->identifiers.next("job-");
    record.member = request.route.member;
    record.route = request.route.name;
    record.accepted_ms = read_wall_clock_ms();
    record.deadline_ms = record.accepted_ms + request.deadline_ms;
    record.operation_id = this->identifiers.next("op-");
    std::string lookup_key = job_row_key(record.id);
    if (!request.key.empty())
    {
        record.key_digest = sha256_hex(request.key);
        lookup_key = submission_row_key(record.member, record.key_digest);
    }
    const result<found_row> existing = co_await this->table.read(lookup_key);
    if (!existing)
    {
        co_return make_platform_refusal(
            existing.error(), reason::table_service_unavailable);
    }
    if (existing.value().version != 0)
    {
        co_return co_await this->match_existing_job(
            exchange, existing.value().value);
    }
    std::variant<content, refusal> read =
        co_await this->read_content(exchange, record.id, true);
    if (const refusal* failure = std::get_if<refusal>(&read))
    {
        co_return *failure;
    }
    co_return co_await this->commit(std::move(record), std::get<content>(read));
}

asio::awaitable<std::variant<submission::content, refusal>>
submission::read_content(
    net::http_exchange& exchange, std::string job, bool store)
{
    jsonl_reader reader({});
    content read;
    std::uint64_t bytes = 0;
    bool ended = false;
    while (!ended)
    {
        const result<std::string> piece = co_await exchange.read_some();
        if (!piece)
        {
            co_return make_content_refusal(piece.error());
        }
        ended = piece.value().empty();
        bytes += piece.value().size();
        const result<void> fed =
            ended ? reader.finish() : reader.feed(piece.value());
        if (!fed)
        {
            co_return make_content_refusal(fed.error());
        }
        std::vector<item_chunk> chunks = reader.take_chunks();
        if (!store || chunks.empty())
        {
            continue;
        }
        const result<void> stored =
            co_await this->store_chunks(read, std::move(chunks), job);
        if (!stored)
        {
            error failure = stored.error();
            failure.kind = error_kind::unavailable;
            co_return make_platform_refusal(
                failure, reason::object_store_unavailable);
        }
    }
    read.items = reader.items();
    read.digest =
        std::to_string(reader.content_digest()) + "-" + std::to_string(bytes);
    co_return read;
}

asio::awaitable<result<void>> submission::store_chunks(
    content& read, std::vector<item_chunk> chunks, std::string job)
{
    for (item_chunk& chunk : chunks)
    {
        const std::string name =
            items_name(job, chunk_name(read.chunks.size()));
        result<void> stored = make_error(error_kind::internal, "not tried");
        for (int attempt = 0; attempt < store_attempts && !stored; ++attempt)
        {
            // The name is used for this content only, so a write whose
            // response was dropped can safely be sent again.
            stored = co_await this->objects.put(name, chunk.lines);
        }
        if (!stored)
        {
            co_return stored.error();
        }
        chunk.lines.clear();
        read.chunks.push_back(std::move(chunk));
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<submission_outcome>
submission::match_existing_job(net::http_exchange& exchange, std::string job)
{
    const result<stored_job> stored = co_await this->table.read_job(job);
    if (!stored)
    {
        co_return make_platform_refusal(
            stored.error(), reason::table_service_unavailable);
    }
    const std::variant<content, refusal> read =
        co_await this->read_content(exchange, job, false);
    if (const refusal* failure = std::get_if<refusal>(&read))
    {
        co_return *failure;
    }
    co_return match_content(
        stored.value().record, std::get<content>(read).digest);
}

asio::awaitable<submission_outcome>
submission::commit(job_record record, const content& read)
{
    record.items = read.items;
    record.chunks = read.chunks.size();
    record.content_digest = read.digest;
    std::vector<manifest_entry> entries;
    for (const item_chunk& chunk : read.chunks)
    {
        entries.push_back({chunk.first, chunk.items});
    }
    const std::string manifest = encode_manifest(entries);
    result<void> stored = make_error(error_kind::internal, "not tried");
    for (int attempt = 0; attempt < store_attempts && !stored; ++attempt)
    {
        stored = co_await this->objects.put(manifest_name(record.id), manifest);
    }
    if (!stored)
    {
        error failure = stored.error();
        failure.kind = error_kind::unavailable;
        co_return make_platform_refusal(
            failure, reason::object_store_unavailable);
    }
    write_plan plan = plan_acceptance(this->charts, record);
    const result<resolved_write> written = co_await this->table.write(
        std::move(plan),
        job_row_key(record.id),
        record.operation_id,
        accept_limit);
    if (!written)
    {
        co_return make_platform_refusal(
            written.error(), reason::table_service_unavailable);
    }
    if (!written.value().took_effect)
    {
        co_return co_await this->resolve_concurrent_submission(
            std::move(record));
    }
    co_return accepted_job{std::move(record), true};
}

asio::awaitable<submission_outcome>
submission::resolve_concurrent_submission(job_record record)
{
    const result<found_row> existing = co_await this->table.read(
        submission_row_key(record.member, record.key_digest));
    if (!existing)
    {
        co_return make_platform_refusal(
            existing.error(), reason::table_service_unavailable);
    }
    const result<stored_job> winner =
        co_await this->table.read_job(existing.value().value);
    if (!winner)
    {
        co_return make_platform_refusal(
            winner.error(), reason::table_service_unavailable);
    }
    co_return match_content(winner.value().record, record.content_digest);
}

std::string encode_manifest(const std::vector<manifest_entry>& entries)
{
    json::array chunks;
    for (const manifest_entry& entry : entries)
    {
        chunks.push_back(json::array{entry.first, entry.items});
    }
    return json::serialize(json::object{{"chunks", std::move(chunks)}});
}

result<std::vector<manifest_entry>> decode_manifest(const std::string& bytes)
{
    boost::system::error_code code;
    const json::value parsed = json::parse(bytes, code);
    std::vector<manifest_entry> entries;
    if (!code && parsed.is_object() && parsed.as_object().contains("chunks"))
    {
        for (const json::value& chunk : parsed.at("chunks").as_array())
        {
            const json::array& pair = chunk.as_array();
            entries.push_back(
                {pair.at(0).to_number<std::uint64_t>(),
                 pair.at(1).to_number<std::uint64_t>()});
        }
        return entries;
    }
    return make_error(
        error_kind::internal,
        "manifest: expected an object with the array \"chunks\"");
}

} // namespace chicory::batch
