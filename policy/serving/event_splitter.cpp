#include "policy/serving/event_splitter.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <utility>

namespace chicory::serving
{

namespace
{

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id:";
constexpr std::string_view data_field = "data:";

/// Returns the text after the colon, without a single leading space.
std::string_view value_of(std::string_view line, std::string_view field)
{
    std::string_view value = line.substr(field.size());
    if (value.starts_with(' '))
    {
        value.remove_prefix(1);
    }
    return value;
}

std::optional<std::int64_t> read_number(const std::string& text)
{
    std::int64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, number);
    if (code != std::errc() || rest != end)
    {
        return std::nullopt;
    }
    return number;
}

/// Returns whether an id may be sent in a header.
bool is_valid_id(std::string_view id)
{
    return std::none_of(
        id.begin(),
        id.end(),
        [](unsigned char letter)
        {
            return std::iscntrl(letter) != 0 && letter != '\t';
        });
}

} // namespace

bool may_follow(const std::string& previous_id, const std::string& next_id)
{
    const std::optional<std::int64_t> next = read_number(next_id);
    if (!next)
    {
        return false;
    }
    const std::optional<std::int64_t> previous = read_number(previous_id);
    // Unsigned, because the difference of two ids may exceed the signed range.
    return !previous || (*next > *previous &&
                         static_cast<std::uint64_t>(*next) -
                                 static_cast<std::uint64_t>(*previous) ==
                             1);
}

std::vector<stream_event> read_events(std::string_view whole)
{
    std::vector<stream_event> events;
    while (!whole.empty())
    {
        const std::size_t end = whole.find(event_end);
        std::string_view block = whole.substr(0, end);
        whole.remove_prefix(
            end == std::string_view::npos ? whole.size()
                                          : end + event_end.size());
        stream_event event;
        bool has_data = false;
        while (!block.empty())
        {
            const std::size_t break_at = block.find('\n');
            std::string_view line = block.substr(0, break_at);
            block.remove_prefix(
                break_at == std::string_view::npos ? block.size()
                                                   : break_at + 1);
            if (line.ends_with('\r'))
            {
                line.remove_suffix(1);
            }
            if (line.starts_with(id_field))
            {
                event.id = value_of(line, id_field);
            }
            else if (line.starts_with(data_field))
            {
                event.data += has_data ? "\n" : "";
                event.data += value_of(line, data_field);
                has_data = true;
            }
        }
        if (has_data || !event.id.empty())
        {
            events.push_back(std::move(event));
        }
    }
    return events;
}

std::string event_splitter::cut(std::string_view bytes)
{
    // The bytes buffered before contain no event end, so each byte is searched
    // only once.
    const std::size_t search_from =
        this->buffer.empty() ? 0 : this->buffer.size() - 1;
    this->buffer += bytes;
    const std::size_t end =
        std::string_view(this->buffer).substr(search_from).rfind(event_end);
    if (end == std::string_view::npos)
    {
        return std::string();
    }
    std::string whole =
        this->buffer.substr(0, search_from + end + event_end.size());
    this->buffer.erase(0, whole.size());
    return whole;
}

void event_splitter::begin_run()
{
    this->drop_unfinished();
    this->is_run_start = true;
}

std::optional<std::string>
event_splitter::cut_and_track_id(std::string_view bytes)
{
    std::string whole = this->cut(bytes);
    for (const stream_event& event : read_events(whole))
    {
        const bool continues = std::exchange(this->is_run_start, false) &&
                               !this->tracked_id.empty();
        if (!is_valid_id(event.id) ||
            (continues && !may_follow(this->tracked_id, event.id)))
        {
            return std::nullopt;
        }
        if (!event.id.empty())
        {
            this->tracked_id = event.id;
        }
    }
    return whole;
}

const std::string& event_splitter::last_id() const
{
    return this->tracked_id;
}

bool event_splitter::run_has_event() const
{
    return !this->is_run_start;
}

std::size_t event_splitter::unfinished_bytes() const
{
    return this->buffer.size();
}

void event_splitter::drop_unfinished()
{
    this->buffer.clear();
}

} // namespace chicory::serving
