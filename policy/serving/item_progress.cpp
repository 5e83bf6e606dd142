#include "policy/serving/item_progress.hpp"

#include <utility>

namespace chicory::serving
{

void item_progress::begin_run()
{
    this->splitter.drop_unfinished();
    this->run_start = this->count;
}

void item_progress::restore(const std::vector<item_piece>& pieces)
{
    for (const item_piece& piece : pieces)
    {
        // An ignored piece remains in the store and is removed together with
        // the others.
        this->saved.push_back(piece.first);
        if (piece.first != this->count ||
            piece.digest_before != hash_bytes(this->joined))
        {
            continue;
        }
        this->joined += this->count == 0 ? "" : "\n";
        this->joined += piece.text;
        this->count += piece.events;
        this->last_id = piece.last_id;
    }
    this->saved_events = this->count;
    this->saved_bytes = this->joined.size();
}

void item_progress::restart()
{
    std::vector<std::int64_t> saved_before = std::move(this->saved);
    *this = item_progress();
    this->saved = std::move(saved_before);
    this->may_save = false;
}

std::optional<item_piece> item_progress::unsaved() const
{
    if (!this->may_save || this->count == this->saved_events)
    {
        return std::nullopt;
    }
    item_piece piece;
    piece.first = this->saved_events;
    piece.events = this->count - this->saved_events;
    piece.last_id = this->last_id;
    const std::string_view whole = this->joined;
    piece.digest_before = hash_bytes(whole.substr(0, this->saved_bytes));
    // A line feed separates the piece from the previous event.
    piece.text =
        whole.substr(this->saved_bytes + (this->saved_events == 0 ? 0 : 1));
    return piece;
}

void item_progress::on_saved(const item_piece& piece)
{
    this->saved.push_back(piece.first);
    if (piece.first != this->saved_events || !this->may_save)
    {
        return;
    }
    this->saved_bytes += piece.text.size() + (this->saved_events == 0 ? 0 : 1);
    this->saved_events += piece.events;
}

const std::vector<std::int64_t>& item_progress::saved_pieces() const
{
    return this->saved;
}

std::int64_t item_progress::next_piece() const
{
    return this->saved_events;
}

bool item_progress::append(std::string_view bytes)
{
    for (const stream_event& event : read_events(this->splitter.cut(bytes)))
    {
        if (!may_follow(this->last_id, event.id))
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
    return this->splitter.unfinished_bytes() == 0 &&
           this->count > this->run_start;
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

failure_decision
judge_failures(const item_failures& failures, std::int64_t max_attempts)
{
    return failures.impossible > 0 || failures.failed >= max_attempts
               ? failure_decision::give_up
               : failure_decision::run_again;
}

} // namespace chicory::serving
