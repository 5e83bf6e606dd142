#include "servers/batch/result_reader.hpp"

#include <boost/json.hpp>

#include <map>
#include <optional>
#include <utility>

namespace chicory::batch
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr int read_attempts = 3;

std::string find_base(const std::string& name)
{
    return name.substr(0, name.find('.'));
}

json::value parse_response_body(const std::string& body)
{
    boost::system::error_code code;
    json::value parsed = json::parse(body, code);
    return code ? json::value(body) : parsed;
}

} // namespace

job_progress count_progress(const std::vector<stored_chunk>& chunks)
{
    job_progress progress;
    for (const stored_chunk& chunk : chunks)
    {
        progress.completed += chunk.record.completed;
        progress.failed += chunk.record.failed;
        progress.outcome_unknown += chunk.record.outcome_unknown;
    }
    return progress;
}

std::string to_result_line(const item_record& item)
{
    json::object line;
    line["custom_id"] = item.custom_id;
    line["index"] = item.index;
    line["state"] = find_name(item_state_names, item.state);
    line["attempts"] = item.attempts;
    if (item.status != 0)
    {
        json::object response;
        response["status_code"] = item.status;
        response["body"] = parse_response_body(item.body);
        line["response"] = std::move(response);
    }
    if (item.state != item_state::completed)
    {
        json::object failure;
        failure["code"] = find_name(item_state_names, item.state);
        failure["message"] = item.reason;
        line["error"] = std::move(failure);
    }
    return json::serialize(line) + "\n";
}

result<std::string> merge_results(const std::vector<std::string>& objects)
{
    std::map<std::uint64_t, std::string> lines;
    for (const std::string& object : objects)
    {
        for (std::size_t begin = 0; begin < object.size();)
        {
            const std::size_t end = object.find('\n', begin);
            const std::string_view text =
                std::string_view(object).substr(begin, end - begin);
            BOOST_OUTCOME_TRY(const item_record item, decode_item_record(text));
            lines[item.index] = to_result_line(item);
            begin = end == std::string::npos ? object.size() : end + 1;
        }
    }
    std::string merged;
    for (const auto& [index, line] : lines)
    {
        merged += line;
    }
    return merged;
}

result_reader::result_reader(
    job_table& initial_table, ports::object_store& initial_objects)
    : table(initial_table), objects(initial_objects)
{
}

asio::awaitable<result<void>>
result_reader::stream(net::http_exchange& exchange, stored_job job)
{
    const result<std::vector<stored_chunk>> chunks =
        co_await this->table.list_chunks(job.record.id);
    if (!chunks)
    {
        co_return chunks.error();
    }
    std::map<std::string, std::vector<stored_chunk>> groups;
    for (const stored_chunk& chunk : chunks.value())
    {
        if (chunk.record.state == chunk_state::committed)
        {
            groups[find_base(chunk.record.name)].push_back(chunk);
        }
    }
    bool started = false;
    for (const auto& [base, group] : groups)
    {
        const result<std::string> lines = co_await this->read_group(group);
        if (!lines && !started)
        {
            co_return lines.error();
        }
        if (!lines)
        {
            co_return boost::outcome_v2::success();
        }
        if (!started)
        {
            net::http_response head;
            head.headers["content-type"] = "application/jsonl";
            head.headers["x-job-state"] =
                std::string(find_name(job_state_names, job.record.state));
            started = true;
            const result<void> opened =
                co_await exchange.start_stream(std::move(head));
            if (!opened)
            {
                co_return boost::outcome_v2::success();
            }
        }
        const result<void> sent = co_await exchange.write_chunk(lines.value());
        if (!sent)
        {
            co_return boost::outcome_v2::success();
        }
    }
    if (started)
    {
        const result<void> ended = co_await exchange.end_stream();
        static_cast<void>(ended);
        co_return boost::outcome_v2::success();
    }
    net::http_response empty;
    empty.headers["content-type"] = "application/jsonl";
    empty.headers["x-job-state"] =
        std::string(find_name(job_state_names, job.record.state));
    const result<void> sent = co_await exchange.respond(std::move(empty));
    static_cast<void>(sent);
    co_return boost::outcome_v2::success();
}

asio::awaitable<result<std::string>>
result_reader::read_group(std::vector<stored_chunk> group)
{
    std::vector<std::string> found;
    for (const stored_chunk& chunk : group)
    {
        result<std::string> bytes = make_error(error_kind::internal, "");
        for (int attempt = 0; attempt < read_attempts && !bytes; ++attempt)
        {
            bytes = co_await this->objects.get(chunk.record.results);
        }
        if (!bytes)
        {
            co_return bytes.error();
        }
        found.push_back(std::move(bytes.value()));
    }
    co_return merge_results(found);
}

} // namespace chicory::batch
