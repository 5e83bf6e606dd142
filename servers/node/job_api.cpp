#include "servers/node/job_api.hpp"

#include "servers/node/access_refusal.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;

namespace
{

constexpr int status_accepted = 202;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_too_many = 429;
constexpr int status_gateway_timeout = 504;
/// Maximum size of the result texts in one response. JSON syntax and escapes
/// are added to it.
constexpr std::size_t max_response_text_bytes = 700000;
/// Number of jobs whose item ids a node caches for reads.
constexpr std::size_t max_cached_jobs = 500;
constexpr std::chrono::milliseconds max_poll_time(1000);
constexpr std::chrono::milliseconds unavailable_retry(300);
constexpr std::chrono::milliseconds over_limit_retry(1000);
/// Time within which the store must confirm the cancellation of a job.
constexpr std::chrono::milliseconds cancel_limit(3000);
/// Time that the store may need at most for a job, its last call included.
constexpr std::chrono::milliseconds submission_limit(4000);

} // namespace

job_api::job_api(
    job_store& initial_store,
    job_runner& initial_runner,
    const fleet_state& initial_fleet,
    metrics& initial_counters,
    const stop_state& initial_stop,
    std::string vm_id,
    std::function<std::uint64_t()> incarnation)
    : store(initial_store), runner(initial_runner), fleet(initial_fleet),
      counters(initial_counters), stop(initial_stop), self(std::move(vm_id)),
      own_incarnation(std::move(incarnation))
{
}

asio::awaitable<void> job_api::submit(
    net::http_exchange& exchange,
    const serving::serving_route& route,
    std::string body)
{
    const std::string id =
        platform::parse_caller_parameters(exchange.head().headers).attempt_id;
    // Checked again, as the body may have taken long to arrive.
    const serving::access_decision caller =
        this->check_access(exchange, route.is_public);
    if (caller.outcome != serving::access_outcome::granted)
    {
        co_await refuse_access(exchange, this->counters, route.name, caller);
        co_return;
    }
    result<std::vector<platform::job_item>> items =
        platform::read_submission(body);
    if (!platform::is_valid_name(id) || !items)
    {
        const std::string why =
            items ? "job: expected an id, found \"" + id + "\""
                  : items.error().text;
        log_event(event::job_refused, {{"job", id}, {"reason", why}});
        this->counters.count_refusal(reason::invalid_request);
        co_await exchange.respond(
            net::make_text_response(status_bad_request, why));
        co_return;
    }
    // A job that was accepted before must not be refused as not kept.
    if (this->store.find(id) == nullptr &&
        !this->stop.admits(read_monotonic_clock() + duration(submission_limit)))
    {
        log_event(
            event::job_refused,
            {{"job", id},
             {"reason", std::string(name_of(reason::draining))},
             {"certain", 1}});
        this->counters.count_refusal(reason::draining);
        co_await exchange.respond(platform::make_refusal(
            duration::zero(), name_of(reason::draining)));
        co_return;
    }
    serving::job_record job;
    job.id = id;
    job.route = route.name;
    job.organisation = caller.organisation;
    job.owner = this->self;
    job.owner_incarnation = this->own_incarnation();
    for (const platform::job_item& item : items.value())
    {
        job.tokens.push_back(item.tokens);
    }
    const std::uint64_t job_incarnation = job.owner_incarnation;
    const std::size_t count = items.value().size();
    const job_store::token_limit limit{
        route.max_waiting_tokens,
        this->fleet.configuration()->organisations.is_active()};
    const submit_outcome outcome =
        co_await this->store.submit(std::move(job), std::move(body), limit);
    if (outcome == submit_outcome::accepted)
    {
        const serving::job_record* known = this->store.find(id);
        if (known != nullptr && known->owner == this->self &&
            known->owner_incarnation == job_incarnation)
        {
            this->runner.on_accepted(id, std::move(items.value()));
        }
        log_event(event::job_accepted, {{"job", id}, {"items", count}});
        this->counters.add("jobs_accepted_total");
        co_await exchange.respond(
            net::make_text_response(status_accepted, "accepted"));
        co_return;
    }
    if (outcome == submit_outcome::id_in_use)
    {
        this->counters.count_refusal(reason::key_in_use);
        log_event(
            event::job_refused,
            {{"job", id},
             {"reason", std::string(name_of(reason::key_in_use))},
             {"organisation", caller.organisation},
             {"certain", 1}});
        co_await exchange.respond(net::make_text_response(
            status_not_found, make_missing_job_error(id).text));
        co_return;
    }
    const reason why = outcome == submit_outcome::over_limit
                           ? reason::job_limit
                           : reason::table_service_unavailable;
    this->counters.count_refusal(why);
    this->counters.count_organisation_refusal(caller.organisation, why);
    log_event(
        event::job_refused,
        {{"job", id},
         {"reason", std::string(name_of(why))},
         {"certain", outcome == submit_outcome::unknown ? 0 : 1}});
    if (outcome == submit_outcome::unknown)
    {
        co_await exchange.respond(net::make_text_response(
            status_gateway_timeout, "the job may have been kept"));
        co_return;
    }
    net::http_response refusal = platform::make_refusal(
        outcome == submit_outcome::over_limit ? over_limit_retry
                                              : unavailable_retry,
        name_of(why));
    if (outcome == submit_outcome::over_limit)
    {
        refusal.status = status_too_many;
    }
    co_await exchange.respond(std::move(refusal));
}

asio::awaitable<void>
job_api::handle_call(net::http_exchange& exchange, platform::job_call call)
{
    const serving::access_decision caller = this->check_access(exchange, false);
    if (caller.outcome != serving::access_outcome::granted)
    {
        // Only a job of a public route is found without an accepted key.
        bool is_public_job = false;
        if (platform::is_valid_name(call.job) &&
            serving::has_public_jobs(*this->fleet.configuration()))
        {
            const result<serving::job_record> found =
                co_await this->find_for(call.job, caller);
            is_public_job = found.has_value();
        }
        if (!is_public_job)
        {
            const std::string no_route;
            co_await refuse_access(exchange, this->counters, no_route, caller);
            co_return;
        }
    }
    if (!platform::is_valid_name(call.job))
    {
        co_await exchange.respond(
            net::make_text_response(status_not_found, "no such job"));
        co_return;
    }
    switch (call.kind)
    {
    case platform::job_call_kind::read_results:
        co_await this->read_results(exchange, call, caller);
        break;
    case platform::job_call_kind::read_item:
        co_await this->read_item(exchange, call, caller);
        break;
    case platform::job_call_kind::end_job:
        co_await this->cancel(exchange, call, caller);
        break;
    }
}

serving::access_decision
job_api::check_access(const net::http_exchange& exchange, bool is_public) const
{
    const serving::serving_configuration& configuration =
        *this->fleet.configuration();
    if (!configuration.organisations.is_active())
    {
        return {};
    }
    return serving::check_access(
        configuration,
        is_public,
        platform::parse_caller_key(exchange.head().headers),
        this->fleet.keys_are_current());
}

bool job_api::may_access(
    const serving::job_record& job,
    const serving::access_decision& caller) const
{
    return serving::may_access_job(*this->fleet.configuration(), job, caller);
}

asio::awaitable<result<serving::job_record>>
job_api::find_for(std::string job, serving::access_decision caller)
{
    const serving::job_record* known = this->store.find(job);
    if (known == nullptr)
    {
        result<serving::job_record> found = co_await this->store.look_up(job);
        if (!found || this->may_access(found.value(), caller))
        {
            co_return found;
        }
        co_return make_missing_job_error(job);
    }
    if (!this->may_access(*known, caller))
    {
        co_return make_missing_job_error(job);
    }
    co_return *known;
}

asio::awaitable<void>
job_api::respond_with_error(net::http_exchange& exchange, const error& failure)
{
    if (failure.kind == error_kind::not_found)
    {
        co_await exchange.respond(
            net::make_text_response(status_not_found, failure.text));
        co_return;
    }
    this->counters.count_refusal(reason::table_service_unavailable);
    co_await exchange.respond(
        platform::make_refusal(unavailable_retry, failure.text));
}

asio::awaitable<result<std::vector<platform::job_item>>>
job_api::find_items(std::string job)
{
    if (const std::vector<platform::job_item>* running =
            this->runner.find_items(job))
    {
        co_return *running;
    }
    co_return co_await this->store.read_items(std::move(job));
}

asio::awaitable<result<std::vector<std::string>>>
job_api::find_item_ids(const serving::job_record& job)
{
    std::pair<std::string, std::string> key(job.organisation, job.id);
    if (const auto known = this->item_ids.find(key);
        known != this->item_ids.end())
    {
        co_return known->second;
    }
    const result<std::vector<platform::job_item>> items =
        co_await this->find_items(key.second);
    if (!items)
    {
        co_return items.error();
    }
    std::vector<std::string> ids;
    for (const platform::job_item& item : items.value())
    {
        ids.push_back(item.id);
    }
    if (this->item_ids.size() >= max_cached_jobs)
    {
        this->item_ids.erase(this->item_ids.begin());
    }
    this->item_ids[std::move(key)] = ids;
    co_return ids;
}

asio::awaitable<void> job_api::respond_results(
    net::http_exchange& exchange,
    const serving::job_record& job,
    std::int64_t after)
{
    const std::int64_t total = static_cast<std::int64_t>(job.tokens.size());
    const std::int64_t listed = static_cast<std::int64_t>(job.listed.size());
    if (after >= listed)
    {
        co_await exchange.respond(
            platform::make_results_response(total, after, {}));
        co_return;
    }
    const result<std::vector<std::string>> texts =
        co_await this->store.read_texts(job.id, after, max_response_text_bytes);
    if (!texts)
    {
        co_await this->respond_with_error(exchange, texts.error());
        co_return;
    }
    const result<std::vector<std::string>> ids =
        co_await this->find_item_ids(job);
    if (!ids)
    {
        co_await this->respond_with_error(exchange, ids.error());
        co_return;
    }
    std::vector<platform::job_result> results;
    for (std::size_t at = 0; at < texts.value().size(); ++at)
    {
        const serving::listed_result& entry =
            job.listed[static_cast<std::size_t>(after) + at];
        results.push_back(
            {ids.value().at(static_cast<std::size_t>(entry.item)),
             entry.state,
             texts.value()[at]});
    }
    co_await exchange.respond(
        platform::make_results_response(total, after, results));
}

asio::awaitable<void> job_api::read_results(
    net::http_exchange& exchange,
    const platform::job_call& call,
    const serving::access_decision& caller)
{
    const duration wait = std::min<duration>(
        platform::parse_caller_parameters(exchange.head().headers).poll_time,
        max_poll_time);
    const serving::job_record* known = this->store.find(call.job);
    const std::size_t after = static_cast<std::size_t>(call.after);
    if (known != nullptr && known->listed.size() <= after &&
        serving::is_open(*known) && wait > duration::zero() &&
        !this->stop.plan && this->may_access(*known, caller))
    {
        co_await this->store.wait_for_results(
            call.job, after, read_monotonic_clock() + wait);
        known = this->store.find(call.job);
    }
    if (known != nullptr &&
        (known->listed.size() > after || this->store.is_fresh()))
    {
        const serving::job_record job = *known;
        if (!this->may_access(job, caller))
        {
            co_await this->respond_with_error(
                exchange, make_missing_job_error(call.job));
            co_return;
        }
        co_await this->respond_results(exchange, job, call.after);
        co_return;
    }
    // The view may lag behind results that another node has already returned to
    // a caller.
    const result<serving::job_record> found =
        co_await this->store.look_up(call.job);
    if (!found)
    {
        co_await this->respond_with_error(exchange, found.error());
        co_return;
    }
    const serving::job_record& job = found.value();
    if (!this->may_access(job, caller))
    {
        co_await this->respond_with_error(
            exchange, make_missing_job_error(call.job));
        co_return;
    }
    co_await this->respond_results(exchange, job, call.after);
}

asio::awaitable<void> job_api::read_item(
    net::http_exchange& exchange,
    const platform::job_call& call,
    const serving::access_decision& caller)
{
    const result<serving::job_record> found =
        co_await this->find_for(call.job, caller);
    if (!found)
    {
        co_await this->respond_with_error(exchange, found.error());
        co_return;
    }
    const result<std::vector<platform::job_item>> items =
        co_await this->find_items(call.job);
    if (!items)
    {
        co_await this->respond_with_error(exchange, items.error());
        co_return;
    }
    for (const platform::job_item& item : items.value())
    {
        if (item.id == call.item)
        {
            net::http_response response;
            response.headers["content-type"] = "application/octet-stream";
            response.body = item.body;
            co_await exchange.respond(std::move(response));
            co_return;
        }
    }
    co_await exchange.respond(
        net::make_text_response(status_not_found, "no such item"));
}

asio::awaitable<void> job_api::cancel(
    net::http_exchange& exchange,
    const platform::job_call& call,
    const serving::access_decision& caller)
{
    job_store::change_function cancel_job =
        [this,
         caller](const serving::job_record& record) -> std::optional<job_change>
    {
        if (record.ended || !this->may_access(record, caller))
        {
            return std::nullopt;
        }
        job_change change{record, {}};
        change.record.ended = true;
        return change;
    };
    const result<serving::job_record> changed = co_await this->store.change(
        call.job, std::move(cancel_job), cancel_limit);
    if (!changed)
    {
        if (changed.error().kind == error_kind::outcome_unknown)
        {
            co_await exchange.respond(net::make_text_response(
                status_gateway_timeout, changed.error().text));
            co_return;
        }
        co_await this->respond_with_error(exchange, changed.error());
        co_return;
    }
    if (!this->may_access(changed.value(), caller))
    {
        co_await this->respond_with_error(
            exchange, make_missing_job_error(call.job));
        co_return;
    }
    log_event(event::job_cancelled, {{"job", call.job}});
    co_await exchange.respond(net::make_text_response(200, "ended"));
}

} // namespace chicory::node
