#include "servers/batch/job_server.hpp"

#include "servers/batch/call_head.hpp"

#include <boost/json.hpp>

#include <optional>
#include <utility>

namespace chicory::batch
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds cancel_limit(10);
constexpr int max_cancel_attempts = 3;

refusal make_refusal(int status, reason code, std::string text)
{
    refusal failure;
    failure.status = status;
    failure.code = code;
    failure.text = std::move(text);
    return failure;
}

std::string_view find_status(job_state state)
{
    switch (state)
    {
    case job_state::finished:
        return "completed";
    case job_state::cancelled:
        return "cancelled";
    default:
        return "in_progress";
    }
}

std::string describe(const job_record& job, const job_progress& progress)
{
    json::object body;
    body["id"] = job.id;
    body["object"] = "batch";
    body["status"] = find_status(job.state);
    body["route"] = job.route;
    body["total"] = job.items;
    body["completed"] = progress.completed;
    body["failed"] = progress.failed;
    body["outcome_unknown"] = progress.outcome_unknown;
    body["accepted_ms"] = job.accepted_ms;
    body["deadline_ms"] = job.deadline_ms;
    if (job.ended_ms != 0)
    {
        body["ended_ms"] = job.ended_ms;
    }
    return json::serialize(body);
}

} // namespace

job_server::job_server(
    asio::any_io_executor context,
    dispatching::fleet_cache& initial_fleet,
    job_table& initial_table,
    ports::object_store& initial_objects,
    const lifecycles& initial_charts,
    identifier_source& initial_identifiers,
    metrics& initial_counters)
    : fleet(initial_fleet), table(initial_table), charts(initial_charts),
      identifiers(initial_identifiers), counters(initial_counters),
      submissions(
          initial_table, initial_objects, initial_charts, initial_identifiers),
      results(initial_table, initial_objects),
      server(
          context,
          [this](net::http_exchange& exchange)
          {
              return this->handle(exchange);
          })
{
}

void job_server::set_accepted_hook(accepted_hook hook)
{
    this->on_accepted = std::move(hook);
}

void job_server::set_cancelled_hook(cancelled_hook hook)
{
    this->on_cancelled = std::move(hook);
}

result<void> job_server::listen(const net::endpoint& local)
{
    return this->server.listen(local);
}

void job_server::stop_accepting()
{
    this->server.stop_accepting();
}

std::size_t job_server::in_progress() const
{
    return this->server.in_progress();
}

asio::awaitable<void> job_server::handle(net::http_exchange& exchange)
{
    const net::http_request head = exchange.head();
    const job_call call = parse_job_call(head.method, head.target);
    if (call.kind == job_call_kind::submit)
    {
        co_await this->submit(exchange);
        co_return;
    }
    if (call.kind == job_call_kind::health)
    {
        net::http_response response;
        response.body = "ok\n";
        co_await this->respond(exchange, std::move(response));
        co_return;
    }
    if (call.kind == job_call_kind::metrics)
    {
        net::http_response response;
        response.headers["content-type"] = "text/plain; version=0.0.4";
        response.body = this->counters.render();
        co_await this->respond(exchange, std::move(response));
        co_return;
    }
    if (call.kind == job_call_kind::unknown)
    {
        refusal failure = make_refusal(
            404,
            reason::invalid_request,
            "no such call: " + head.method + " " + head.target);
        co_await this->refuse(exchange, std::move(failure));
        co_return;
    }
    std::variant<stored_job, refusal> found =
        co_await this->find_job(head, call.job);
    if (refusal* failure = std::get_if<refusal>(&found))
    {
        co_await this->refuse(exchange, std::move(*failure));
        co_return;
    }
    stored_job job = std::get<stored_job>(found);
    if (call.kind == job_call_kind::show)
    {
        co_await this->show(exchange, std::move(job));
        co_return;
    }
    if (call.kind == job_call_kind::results)
    {
        co_await this->send_results(exchange, std::move(job));
        co_return;
    }
    co_await this->cancel(exchange, std::move(job));
}

asio::awaitable<void> job_server::submit(net::http_exchange& exchange)
{
    const checked_submission checked =
        check_submission(exchange.head(), this->fleet);
    if (const refusal* failure = std::get_if<refusal>(&checked))
    {
        refusal copy = *failure;
        co_await this->refuse(exchange, std::move(copy));
        co_return;
    }
    submission_request request = std::get<submission_request>(checked);
    submission_outcome outcome =
        co_await this->submissions.accept(exchange, std::move(request));
    if (refusal* failure = std::get_if<refusal>(&outcome))
    {
        log_event(event::job_refused, {{"error", failure->text}});
        co_await this->refuse(exchange, std::move(*failure));
        co_return;
    }
    const accepted_job& accepted = std::get<accepted_job>(outcome);
    if (accepted.is_new)
    {
        this->counters.add("jobs_accepted_total");
        log_event(event::job_accepted, {{"job", accepted.record.id}});
        if (this->on_accepted)
        {
            this->on_accepted();
        }
    }
    else
    {
        this->counters.add("jobs_submitted_again_total");
    }
    net::http_response response =
        make_json_response(200, describe(accepted.record, {}));
    co_await this->respond(exchange, std::move(response));
}

asio::awaitable<void>
job_server::show(net::http_exchange& exchange, stored_job job)
{
    const result<std::vector<stored_chunk>> chunks =
        co_await this->table.list_chunks(job.record.id);
    if (!chunks)
    {
        refusal failure = make_platform_refusal(
            chunks.error(), reason::table_service_unavailable);
        co_await this->refuse(exchange, std::move(failure));
        co_return;
    }
    net::http_response response = make_json_response(
        200, describe(job.record, count_progress(chunks.value())));
    co_await this->respond(exchange, std::move(response));
}

asio::awaitable<void>
job_server::cancel(net::http_exchange& exchange, stored_job job)
{
    for (int attempt = 0; attempt < max_cancel_attempts; ++attempt)
    {
        const std::string operation = this->identifiers.next("op-");
        std::optional<write_plan> plan =
            plan_cancel(this->charts, job, operation, read_wall_clock_ms());
        if (!plan)
        {
            break;
        }
        const result<resolved_write> written = co_await this->table.write(
            std::move(*plan),
            job_row_key(job.record.id),
            operation,
            cancel_limit);
        if (!written)
        {
            refusal failure = make_platform_refusal(
                written.error(), reason::table_service_unavailable);
            co_await this->refuse(exchange, std::move(failure));
            co_return;
        }
        if (written.value().took_effect)
        {
            this->counters.add("jobs_cancelled_total");
            log_event(event::job_cancelled, {{"job", job.record.id}});
            break;
        }
        // Another process finished or cancelled the job concurrently, so the
        // job is read again.
        result<stored_job> current =
            co_await this->table.read_job(job.record.id);
        if (!current)
        {
            refusal failure = make_platform_refusal(
                current.error(), reason::table_service_unavailable);
            co_await this->refuse(exchange, std::move(failure));
            co_return;
        }
        job = std::move(current.value());
    }
    if (this->on_cancelled && job.record.state == job_state::cancelled)
    {
        this->on_cancelled(job.record.id);
    }
    co_await this->show(exchange, std::move(job));
}

asio::awaitable<void>
job_server::send_results(net::http_exchange& exchange, stored_job job)
{
    const result<void> sent =
        co_await this->results.stream(exchange, std::move(job));
    if (!sent)
    {
        refusal failure = make_platform_refusal(
            sent.error(), reason::object_store_unavailable);
        co_await this->refuse(exchange, std::move(failure));
    }
}

asio::awaitable<void>
job_server::respond(net::http_exchange& exchange, net::http_response response)
{
    const result<void> sent = co_await exchange.respond(std::move(response));
    if (!sent)
    {
        this->counters.count_refusal(reason::caller_gone);
    }
}

asio::awaitable<void>
job_server::refuse(net::http_exchange& exchange, refusal failure)
{
    this->counters.count_refusal(failure.code);
    net::http_response response = to_response(failure);
    co_await this->respond(exchange, std::move(response));
}

asio::awaitable<std::variant<stored_job, refusal>>
job_server::find_job(net::http_request head, std::string job)
{
    const result<stored_job> stored = co_await this->table.read_job(job);
    if (!stored)
    {
        co_return make_platform_refusal(
            stored.error(), reason::table_service_unavailable);
    }
    if (!this->may_access(head, stored.value().record))
    {
        // The response for a job of another member is the same as for a job
        // that does not exist.
        co_return make_platform_refusal(
            make_error(error_kind::not_found, "no such job: " + job),
            reason::forbidden);
    }
    co_return stored.value();
}

bool job_server::may_access(
    const net::http_request& head, const job_record& job) const
{
    for (const auto& [name, route] : this->fleet.get_tables().routes)
    {
        if (route.member == job.member && has_key_of(head, route))
        {
            return true;
        }
    }
    return false;
}

} // namespace chicory::batch
