#include "policy/serving/item_progress.hpp"

#include <charconv>
#include <optional>

namespace chicory::serving
{

namespace
{

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

/// Ids are numbers; each event's is one above that of the event before.
bool follows(const std::string& previous, const std::string& next)
{
    const std::optional<std::int64_t> number = read_number(next);
    if (!number)
    {
        return false;
    }
    const std::optional<std::int64_t> before = read_number(previous);
    return !before || *number == *before + 1;
}

} // namespace

void item_progress::begin_run()
{
    this->splitter.drop_unfinished();
}

void item_progress::restart()
{
    *this = item_progress();
}

bool item_progress::take(std::string_view bytes)
{
    for (const stream_event& event : read_events(this->splitter.cut(bytes)))
    {
        if (!follows(this->last_id, event.id))
        {
            this->splitter.drop_unfinished();
            return false;
        }
        this->joined += this->count == 0 ? "" : "\n";
        this->joined += event.data;
        this->last_id = event.id;
        ++this->count;
    }
    return true;
}

bool item_progress::is_whole() const
{
    return this->splitter.unfinished_bytes() == 0 && this->count > 0;
}

std::size_t item_progress::unfinished_bytes() const
{
    return this->splitter.unfinished_bytes();
}

const std::string& item_progress::last_event_id() const
{
    return this->last_id;
}

const std::string& item_progress::text() const
{
    return this->joined;
}

std::int64_t item_progress::events() const
{
    return this->count;
}

failure_verdict
judge_failures(const item_failures& failures, std::int64_t max_attempts)
{
    return failures.impossible > 0 || failures.failed >= max_attempts
               ? failure_verdict::give_up
               : failure_verdict::run_again;
}

} // namespace chicory::serving
