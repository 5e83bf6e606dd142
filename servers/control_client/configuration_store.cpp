#include "servers/control_client/configuration_store.hpp"

#include <algorithm>

namespace chicory::control
{

namespace asio = boost::asio;
using configuration::edit_outcome;

namespace
{

/// Maximum number of attempts of a read or an edit that conflicts with other
/// edits.
constexpr int max_attempts = 8;

/// Number of times that the history is read after the response to an edit was
/// lost, and the delay between two reads.
constexpr int max_look_ups = 5;
constexpr duration look_up_pause = std::chrono::milliseconds(300);

ports::transaction make_transaction(const configuration::edit_plan& plan)
{
    ports::transaction request;
    for (const configuration::planned_condition& condition : plan.conditions)
    {
        request.conditions.push_back({condition.key, condition.version});
    }
    for (const configuration::planned_write& write : plan.writes)
    {
        request.writes.push_back({write.key, write.value});
    }
    return request;
}

} // namespace

configuration_store::configuration_store(
    ports::table_service& service, pause_hook hook)
    : table(service), pause(std::move(hook))
{
}

asio::awaitable<result<stored_configuration>> configuration_store::read()
{
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        result<stored_configuration> stored =
            co_await read_configuration(this->table);
        if (stored || stored.error().kind != error_kind::conflict)
        {
            co_return stored;
        }
    }
    co_return make_error(
        error_kind::conflict,
        "expected to read all rows between two edits, found an edit during "
        "each of " +
            std::to_string(max_attempts) + " attempts");
}

asio::awaitable<result<std::optional<configuration::history_entry>>>
configuration_store::read_history(std::int64_t revision)
{
    BOOST_OUTCOME_CO_TRY(
        const std::optional<ports::row> found,
        co_await this->table.read(configuration::history_key(revision)));
    if (!found)
    {
        co_return std::nullopt;
    }
    BOOST_OUTCOME_CO_TRY(
        configuration::history_entry entry,
        configuration::decode_history(found->value));
    co_return std::optional(std::move(entry));
}

asio::awaitable<result<std::vector<configuration::history_entry>>>
configuration_store::read_newest_history(std::int64_t count)
{
    BOOST_OUTCOME_CO_TRY(
        const configuration::revision_row newest,
        co_await read_revision(this->table));
    const std::int64_t skipped =
        std::max<std::int64_t>(0, newest.revision - count);
    std::string prefix(configuration::history_prefix);
    std::string after = configuration::history_key(skipped);
    BOOST_OUTCOME_CO_TRY(
        const std::vector<ports::row> rows,
        co_await this->table.scan(std::move(prefix), std::move(after), count));
    std::vector<configuration::history_entry> entries;
    for (const ports::row& found : rows)
    {
        BOOST_OUTCOME_CO_TRY(
            configuration::history_entry entry,
            configuration::decode_history(found.value));
        entries.push_back(std::move(entry));
    }
    co_return entries;
}

asio::awaitable<result<edit_report>>
configuration_store::apply(configuration::edit edit)
{
    for (int number = 0; number < max_attempts; ++number)
    {
        BOOST_OUTCOME_CO_TRY(
            const stored_configuration stored, co_await this->read());
        BOOST_OUTCOME_CO_TRY(
            configuration::edit_plan plan,
            configuration::plan_edit(edit, stored.tables, stored.revision));
        const result<attempt> current = co_await this->run(std::move(plan));
        if (!current)
        {
            co_return make_error(
                current.error().kind, "not committed: " + current.error().text);
        }
        if (!current.value().revision_taken)
        {
            co_return current.value().report;
        }
    }
    co_return make_error(
        error_kind::conflict,
        "expected a revision that no other edit takes, found another edit in "
        "each of " +
            std::to_string(max_attempts) + " attempts; not committed");
}

asio::awaitable<result<edit_report>> configuration_store::resolve(
    std::string operation_id,
    std::int64_t revision,
    configuration::edit barrier)
{
    for (int number = 0; number < max_attempts; ++number)
    {
        BOOST_OUTCOME_CO_TRY(
            const std::optional<configuration::history_entry> found,
            co_await this->read_history(revision));
        const edit_outcome outcome =
            configuration::resolve_edit(operation_id, found);
        if (outcome != edit_outcome::unknown)
        {
            co_return edit_report{outcome, revision, operation_id};
        }
        BOOST_OUTCOME_CO_TRY(
            const stored_configuration stored, co_await this->read());
        if (stored.revision.revision >= revision)
        {
            // Another edit was committed as this revision after the history
            // was read.
            continue;
        }
        if (stored.revision.revision + 1 != revision)
        {
            co_return make_error(
                error_kind::invalid_input,
                "expected a revision up to " +
                    std::to_string(stored.revision.revision + 1) +
                    ", found revision " + std::to_string(revision));
        }
        BOOST_OUTCOME_CO_TRY(
            configuration::edit_plan plan,
            configuration::plan_edit(barrier, stored.tables, stored.revision));
        BOOST_OUTCOME_CO_TRY(co_await this->run(std::move(plan)));
    }
    co_return edit_report{edit_outcome::unknown, revision, operation_id};
}

asio::awaitable<result<configuration_store::attempt>>
configuration_store::run(configuration::edit_plan plan)
{
    ports::transaction request = make_transaction(plan);
    const result<ports::transaction_outcome> outcome =
        co_await this->table.transact(std::move(request));
    if (!outcome)
    {
        if (outcome.error().kind == error_kind::unavailable)
        {
            co_return outcome.error();
        }
        co_return co_await this->look_up_outcome(std::move(plan));
    }
    attempt current;
    current.report.revision = plan.revision;
    current.report.operation_id = plan.operation_id;
    current.revision_taken = !outcome.value().committed;
    current.report.outcome = current.revision_taken
                                 ? edit_outcome::not_committed
                                 : edit_outcome::committed;
    co_return current;
}

asio::awaitable<result<configuration_store::attempt>>
configuration_store::look_up_outcome(configuration::edit_plan plan)
{
    attempt current;
    current.report.revision = plan.revision;
    current.report.operation_id = plan.operation_id;
    current.report.outcome = edit_outcome::unknown;
    for (int number = 0; number < max_look_ups; ++number)
    {
        const result<std::optional<configuration::history_entry>> found =
            co_await this->read_history(plan.revision);
        if (found && found.value())
        {
            current.report.outcome =
                configuration::resolve_edit(plan.operation_id, found.value());
            // Another edit was committed as this revision, so that this edit
            // can no longer be committed and may be planned again.
            current.revision_taken =
                current.report.outcome == edit_outcome::not_committed;
            co_return current;
        }
        co_await this->pause(look_up_pause);
    }
    co_return current;
}

} // namespace chicory::control
