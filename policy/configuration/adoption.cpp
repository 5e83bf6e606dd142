#include "policy/configuration/adoption.hpp"

#include "policy/configuration/validation.hpp"

#include <algorithm>
#include <utility>

namespace chicory::configuration
{

const table_set& adoption::current() const
{
    return this->tables;
}

void adoption::on_revision_seen(std::int64_t revision)
{
    this->highest_revision = std::max(this->highest_revision, revision);
}

std::int64_t adoption::highest_seen() const
{
    return this->highest_revision;
}

bool adoption::is_behind() const
{
    return this->highest_revision > this->tables.revision;
}

result<offer_outcome> adoption::offer(table_set offered)
{
    if (offered.revision <= this->tables.revision)
    {
        return offer_outcome::not_newer;
    }
    BOOST_OUTCOME_TRY(validate(offered));
    this->tables = std::move(offered);
    // The retained changes belong to the previous configuration and do not lead
    // to the new one.
    this->retained.clear();
    this->on_revision_seen(this->tables.revision);
    return offer_outcome::adopted;
}

result<offer_outcome> adoption::offer(const std::vector<history_entry>& changes)
{
    if (this->tables.revision == 0)
    {
        return make_error(
            error_kind::conflict,
            "changes: expected a known configuration to apply them to, found "
            "none");
    }
    table_set next = this->tables;
    std::vector<history_entry> applied;
    for (const history_entry& entry : changes)
    {
        if (entry.revision <= next.revision)
        {
            continue;
        }
        BOOST_OUTCOME_TRY(next, apply_history(std::move(next), entry));
        applied.push_back(entry);
    }
    if (applied.empty())
    {
        return offer_outcome::not_newer;
    }
    this->tables = std::move(next);
    for (const history_entry& entry : applied)
    {
        this->retain(entry);
    }
    this->on_revision_seen(this->tables.revision);
    return offer_outcome::adopted;
}

void adoption::retain(const history_entry& entry)
{
    this->retained.push_back(entry);
    if (this->retained.size() > max_retained_changes)
    {
        this->retained.pop_front();
    }
}

std::optional<std::vector<history_entry>>
adoption::changes_after(std::int64_t revision) const
{
    if (revision >= this->tables.revision)
    {
        return std::vector<history_entry>();
    }
    const auto first = std::find_if(
        this->retained.begin(),
        this->retained.end(),
        [&](const history_entry& entry)
        {
            return entry.revision == revision + 1;
        });
    if (first == this->retained.end())
    {
        return std::nullopt;
    }
    return std::vector<history_entry>(first, this->retained.end());
}

cold_start::cold_start(cold_start_settings initial, time_point started)
    : settings(initial), start(started)
{
}

void cold_start::on_response(table_set tables)
{
    ++this->responses;
    if (tables.revision > this->best.revision && validate(tables).has_value())
    {
        this->best = std::move(tables);
    }
}

std::optional<table_set> cold_start::choose(
    time_point now, std::size_t peers, std::int64_t highest_seen) const
{
    if (this->best.revision == 0)
    {
        return std::nullopt;
    }
    const std::size_t required = std::max<std::size_t>(
        1, std::min(this->settings.required_responses, peers));
    const bool enough =
        this->responses >= required && this->best.revision >= highest_seen;
    const bool waited = now - this->start >= this->settings.limit;
    if (!enough && !waited)
    {
        return std::nullopt;
    }
    return this->best;
}

} // namespace chicory::configuration
