#include "servers/control_client/job_commands.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

namespace chicory::control
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::int64_t page_rows = 500;
constexpr int max_attempts = 5;

std::string name_of(batch::job_state state)
{
    return std::string(find_name(batch::job_state_names, state));
}

std::vector<std::string> make_columns(const batch::job_record& job)
{
    return {
        job.id,
        name_of(job.state),
        job.member,
        job.route,
        std::to_string(job.items),
        std::to_string(job.completed),
        std::to_string(job.failed),
        std::to_string(job.outcome_unknown)};
}

json::object describe_job(const batch::job_record& job)
{
    return json::parse(batch::encode(job)).as_object();
}

command_report report_job(const batch::job_record& job)
{
    command_report report;
    report.content = describe_job(job);
    report.text = format_fields(report.content);
    return report;
}

/// Returns the report of a job that has ended: an error unless the job was
/// cancelled.
command_report report_ended(const batch::job_record& job)
{
    if (job.state == batch::job_state::cancelled)
    {
        return report_job(job);
    }
    return report_error(make_error(
        error_kind::conflict,
        "expected a running job, found the state " + name_of(job.state)));
}

ports::transaction make_transaction(const batch::write_plan& plan)
{
    ports::transaction request;
    for (const batch::planned_condition& condition : plan.conditions)
    {
        request.conditions.push_back({condition.key, condition.version});
    }
    for (const batch::planned_write& write : plan.writes)
    {
        request.writes.push_back({write.key, write.value});
    }
    return request;
}

} // namespace

job_commands::job_commands(
    ports::table_service& service,
    std::string charts,
    operation_hook operation,
    clock_hook clock)
    : table(service), charts_folder(std::move(charts)),
      next_operation(std::move(operation)), read_clock(std::move(clock))
{
}

asio::awaitable<command_report> job_commands::list(bool all)
{
    const std::string prefix =
        all ? batch::job_row_key("") : std::string(batch::open_row_prefix);
    const result<std::vector<std::string>> ids =
        co_await this->list_ids(prefix);
    if (!ids)
    {
        co_return report_error(ids.error());
    }
    std::vector<std::vector<std::string>> lines = {
        {"id",
         "state",
         "member",
         "route",
         "items",
         "completed",
         "failed",
         "outcome_unknown"}};
    json::array rows;
    for (const std::string& id : ids.value())
    {
        const result<batch::stored_job> job = co_await this->read(id);
        if (!job)
        {
            co_return report_error(job.error());
        }
        lines.push_back(make_columns(job.value().record));
        rows.emplace_back(describe_job(job.value().record));
    }
    command_report report;
    report.text = format_columns(lines);
    report.content["jobs"] = std::move(rows);
    co_return report;
}

asio::awaitable<command_report> job_commands::show(std::string id)
{
    const result<batch::stored_job> job = co_await this->read(std::move(id));
    co_return job ? report_job(job.value().record) : report_error(job.error());
}

asio::awaitable<command_report> job_commands::cancel(std::string id)
{
    const result<batch::lifecycles> charts =
        batch::load_lifecycles(this->charts_folder);
    if (!charts)
    {
        co_return report_error(charts.error());
    }
    const std::string operation = this->next_operation();
    for (int number = 0; number < max_attempts; ++number)
    {
        result<batch::stored_job> stored = co_await this->read(id);
        if (!stored)
        {
            co_return report_error(stored.error());
        }
        batch::stored_job& job = stored.value();
        const std::optional<batch::write_plan> plan = batch::plan_cancel(
            charts.value(), job, operation, this->read_clock());
        if (!plan)
        {
            co_return report_ended(job.record);
        }
        ports::transaction request = make_transaction(*plan);
        const result<ports::transaction_outcome> outcome =
            co_await this->table.transact(std::move(request));
        // After a conflict, or when the response was lost, the next attempt
        // reads the outcome from the row.
        if (!outcome && outcome.error().kind == error_kind::unavailable)
        {
            co_return report_error(outcome.error());
        }
    }
    co_return report_error(make_error(
        error_kind::outcome_unknown,
        "the answer of the table service was lost; run: chicoryctl job show " +
            id));
}

asio::awaitable<result<batch::stored_job>> job_commands::read(std::string id)
{
    BOOST_OUTCOME_CO_TRY(
        const std::optional<ports::row> found,
        co_await this->table.read(batch::job_row_key(id)));
    if (!found)
    {
        co_return make_error(
            error_kind::not_found,
            "expected the id of a job, found \"" + id + "\"");
    }
    BOOST_OUTCOME_CO_TRY(
        const std::optional<ports::row> open,
        co_await this->table.read(batch::open_row_key(id)));
    batch::stored_job job;
    BOOST_OUTCOME_CO_TRY(job.record, batch::decode_job(found->value));
    job.version = found->version;
    job.open_version = open ? open->version : 0;
    co_return job;
}

asio::awaitable<result<std::vector<std::string>>>
job_commands::list_ids(std::string prefix)
{
    std::vector<std::string> ids;
    std::string after;
    bool complete = false;
    while (!complete)
    {
        BOOST_OUTCOME_CO_TRY(
            const std::vector<ports::row> rows,
            co_await this->table.scan(prefix, after, page_rows));
        for (const ports::row& found : rows)
        {
            ids.push_back(found.key.substr(prefix.size()));
            after = found.key;
        }
        complete = rows.size() < static_cast<std::size_t>(page_rows);
    }
    co_return ids;
}

} // namespace chicory::control
