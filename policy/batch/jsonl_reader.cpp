#include "policy/batch/jsonl_reader.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace chicory::batch
{

std::uint64_t
find_chunk_items(const reader_settings& settings, std::uint64_t items_read)
{
    return std::clamp(
        items_read / settings.growth_divisor,
        settings.min_chunk_items,
        settings.max_chunk_items);
}

jsonl_reader::jsonl_reader(reader_settings settings) : settings(settings)
{
}

result<void> jsonl_reader::feed(std::string_view bytes)
{
    while (!bytes.empty())
    {
        const std::size_t end = bytes.find('\n');
        const std::string_view piece = bytes.substr(0, end);
        if (this->partial_line.size() + piece.size() >
            this->settings.max_line_bytes)
        {
            ++this->line_number;
            return this->make_line_error(
                "the line is longer than " +
                std::to_string(this->settings.max_line_bytes) + " bytes");
        }
        this->partial_line.append(piece);
        if (end == std::string_view::npos)
        {
            return boost::outcome_v2::success();
        }
        bytes.remove_prefix(end + 1);
        const std::string line = std::exchange(this->partial_line, {});
        BOOST_OUTCOME_TRY(this->process_line(line));
    }
    return boost::outcome_v2::success();
}

result<void> jsonl_reader::finish()
{
    if (!this->partial_line.empty())
    {
        const std::string line = std::exchange(this->partial_line, {});
        BOOST_OUTCOME_TRY(this->process_line(line));
    }
    if (this->item_count == 0)
    {
        return make_error(
            error_kind::invalid_input,
            "expected at least one item, found none");
    }
    this->finish_chunk();
    return boost::outcome_v2::success();
}

std::vector<item_chunk> jsonl_reader::take_chunks()
{
    return std::exchange(this->finished_chunks, {});
}

std::uint64_t jsonl_reader::items() const
{
    return this->item_count;
}

std::uint64_t jsonl_reader::content_digest() const
{
    return this->digest;
}

std::size_t jsonl_reader::held_bytes() const
{
    std::size_t held =
        this->partial_line.size() + this->current_chunk.lines.size();
    for (const item_chunk& chunk : this->finished_chunks)
    {
        held += chunk.lines.size();
    }
    return held;
}

result<void> jsonl_reader::process_line(std::string_view line)
{
    ++this->line_number;
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    if (line.find_first_not_of(" \t") == std::string_view::npos)
    {
        return boost::outcome_v2::success();
    }
    BOOST_OUTCOME_TRY(const std::string custom_id, this->read_custom_id(line));
    if (!this->custom_ids.insert(hash_bytes(custom_id)).second)
    {
        return this->make_line_error(
            "custom_id \"" + custom_id + "\" is doubled");
    }
    if (this->item_count == this->settings.max_items)
    {
        return this->make_line_error(
            "a job holds at most " + std::to_string(this->settings.max_items) +
            " items");
    }
    this->digest = hash_bytes(line, this->digest);
    this->current_chunk.lines.append(line);
    this->current_chunk.lines.push_back('\n');
    ++this->current_chunk.items;
    ++this->item_count;
    if (this->current_chunk.items >=
            find_chunk_items(this->settings, this->current_chunk.first) ||
        this->current_chunk.lines.size() >= this->settings.max_chunk_bytes)
    {
        this->finish_chunk();
    }
    return boost::outcome_v2::success();
}

result<std::string> jsonl_reader::read_custom_id(std::string_view line) const
{
    boost::system::error_code code;
    const boost::json::value value = boost::json::parse(line, code);
    if (code)
    {
        return this->make_line_error("bad JSON: " + code.message());
    }
    const boost::json::object* object = value.if_object();
    if (object == nullptr)
    {
        return this->make_line_error("expected a JSON object");
    }
    const boost::json::value* id = object->if_contains("custom_id");
    if (id == nullptr || !id->is_string() || id->get_string().empty())
    {
        return this->make_line_error("custom_id is missing or no string");
    }
    const boost::json::value* body = object->if_contains("body");
    if (body == nullptr || !body->is_object())
    {
        return this->make_line_error("body is missing or no object");
    }
    const boost::json::value* url = object->if_contains("url");
    if (url == nullptr || !url->is_string() ||
        !url->get_string().starts_with('/'))
    {
        return this->make_line_error(
            "url is missing or does not begin with \"/\"");
    }
    return std::string(id->get_string());
}

error jsonl_reader::make_line_error(const std::string& reason) const
{
    return make_error(
        error_kind::invalid_input,
        "line " + std::to_string(this->line_number) + ": " + reason);
}

void jsonl_reader::finish_chunk()
{
    if (this->current_chunk.items == 0)
    {
        return;
    }
    this->finished_chunks.push_back(std::move(this->current_chunk));
    this->current_chunk = item_chunk{};
    this->current_chunk.first = this->item_count;
}

} // namespace chicory::batch
