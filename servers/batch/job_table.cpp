#include "servers/batch/job_table.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace chicory::batch
{

namespace asio = boost::asio;

namespace
{

constexpr std::int64_t scan_page = 500;
constexpr std::chrono::milliseconds retry_pause(100);
constexpr int max_read_retries = 3;

ports::transaction to_transaction(const write_plan& plan)
{
    ports::transaction request;
    for (const planned_condition& condition : plan.conditions)
    {
        request.conditions.push_back({condition.key, condition.version});
    }
    for (const planned_write& write : plan.writes)
    {
        request.writes.push_back({write.key, write.value});
    }
    return request;
}

std::int64_t find_expected(const write_plan& plan, const std::string& key)
{
    for (const planned_condition& condition : plan.conditions)
    {
        if (condition.key == key)
        {
            return condition.version;
        }
    }
    return 0;
}

std::int64_t find_written(
    const write_plan& plan,
    const std::string& key,
    const std::vector<std::int64_t>& versions)
{
    for (std::size_t index = 0; index < versions.size(); ++index)
    {
        if (plan.writes.at(index).key == key)
        {
            return versions[index];
        }
    }
    return 0;
}

} // namespace

job_table::job_table(
    asio::any_io_executor context,
    ports::table_service& initial_service,
    metrics& initial_counters)
    : executor(std::move(context)), service(initial_service),
      counters(initial_counters)
{
}

asio::awaitable<transaction_report> job_table::run(write_plan plan)
{
    this->counters.add("table_transactions_total");
    this->counters.add(
        "table_row_writes_total",
        static_cast<std::int64_t>(plan.writes.size()));
    ports::transaction request = to_transaction(plan);
    result<ports::transaction_outcome> outcome =
        co_await this->service.transact(std::move(request));
    transaction_report report;
    if (!outcome)
    {
        const bool is_certain = outcome.error().kind == error_kind::unavailable;
        this->counters.count_retry(
            is_certain ? reason::table_service_unavailable
                       : reason::write_outcome_unknown);
        report.outcome =
            is_certain ? write_outcome::no_effect : write_outcome::unknown;
        co_return report;
    }
    for (const ports::row& row : outcome.value().conflicts)
    {
        report.conflicts.push_back({row.key, row.value, row.version});
    }
    report.versions = std::move(outcome.value().versions);
    co_return report;
}

asio::awaitable<result<resolved_write>> job_table::write(
    write_plan plan, std::string row_key, std::string operation, duration limit)
{
    const time_point deadline = read_monotonic_clock() + limit;
    const std::int64_t expected = find_expected(plan, row_key);
    bool maybe_sent = false;
    while (true)
    {
        const transaction_report report = co_await this->run(plan);
        if (report.outcome == write_outcome::no_effect && !maybe_sent)
        {
            co_return make_error(
                error_kind::unavailable, "the table service is unavailable");
        }
        if (report.outcome == write_outcome::done && report.conflicts.empty())
        {
            co_return resolved_write{
                true, find_written(plan, row_key, report.versions)};
        }
        if (report.outcome == write_outcome::done && !maybe_sent)
        {
            co_return resolved_write{false, 0};
        }
        maybe_sent = true;
        const result<found_row> row = co_await this->read(row_key);
        if (row)
        {
            const write_effect effect =
                check_write_effect(row.value(), expected, operation);
            if (effect != write_effect::no_effect)
            {
                co_return resolved_write{
                    effect == write_effect::took_effect, row.value().version};
            }
            if (report.outcome == write_outcome::done)
            {
                co_return resolved_write{false, row.value().version};
            }
        }
        if (read_monotonic_clock() >= deadline)
        {
            co_return make_error(
                error_kind::outcome_unknown,
                "the answer of a write was lost and the row cannot be read");
        }
        co_await this->pause(retry_pause);
    }
}

asio::awaitable<result<found_row>> job_table::read(std::string key)
{
    result<std::optional<ports::row>> row = co_await this->service.read(key);
    for (int retry = 0; retry < max_read_retries && !row; ++retry)
    {
        this->counters.count_retry(reason::table_service_unavailable);
        co_await this->pause(retry_pause);
        row = co_await this->service.read(key);
    }
    if (!row)
    {
        co_return row.error();
    }
    if (!row.value())
    {
        co_return found_row{key, "", 0};
    }
    co_return found_row{key, row.value()->value, row.value()->version};
}

asio::awaitable<result<stored_job>> job_table::read_job(std::string job)
{
    const result<found_row> open = co_await this->read(open_row_key(job));
    if (!open)
    {
        co_return open.error();
    }
    const result<found_row> row = co_await this->read(job_row_key(job));
    if (!row)
    {
        co_return row.error();
    }
    if (row.value().version == 0)
    {
        co_return make_error(error_kind::not_found, "no such job: " + job);
    }
    const result<job_record> record = decode_job(row.value().value);
    if (!record)
    {
        co_return record.error();
    }
    co_return stored_job{
        record.value(), row.value().version, open.value().version};
}

asio::awaitable<result<std::vector<stored_job>>> job_table::list_open_jobs()
{
    std::string prefix(open_row_prefix);
    const result<std::vector<ports::row>> rows =
        co_await this->scan_all(std::move(prefix));
    if (!rows)
    {
        co_return rows.error();
    }
    std::vector<stored_job> jobs;
    for (const ports::row& row : rows.value())
    {
        if (const result<job_record> record = decode_job(row.value))
        {
            jobs.push_back({record.value(), 0, row.version});
        }
    }
    co_return jobs;
}

asio::awaitable<result<std::vector<stored_chunk>>>
job_table::list_chunks(std::string job)
{
    std::string prefix = chunk_row_prefix(job);
    const result<std::vector<ports::row>> rows =
        co_await this->scan_all(std::move(prefix));
    if (!rows)
    {
        co_return rows.error();
    }
    std::vector<stored_chunk> chunks;
    for (const ports::row& row : rows.value())
    {
        const result<chunk_record> record = decode_chunk(row.value);
        if (!record)
        {
            co_return record.error();
        }
        chunks.push_back({record.value(), row.version});
    }
    co_return chunks;
}

asio::awaitable<result<std::vector<ports::row>>>
job_table::scan_all(std::string prefix)
{
    std::vector<ports::row> rows;
    std::string after;
    while (true)
    {
        result<std::vector<ports::row>> page =
            co_await this->service.scan(prefix, after, scan_page);
        if (!page)
        {
            co_return page.error();
        }
        const std::size_t size = page.value().size();
        for (ports::row& row : page.value())
        {
            rows.push_back(std::move(row));
        }
        if (size < static_cast<std::size_t>(scan_page))
        {
            co_return rows;
        }
        after = rows.back().key;
    }
}

asio::awaitable<void> job_table::pause(duration length)
{
    asio::steady_timer timer(this->executor);
    timer.expires_after(length);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace chicory::batch
