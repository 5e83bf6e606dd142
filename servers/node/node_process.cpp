#include "servers/node/node_process.hpp"

#include "servers/node/access_refusal.hpp"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <csignal>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;

namespace
{

constexpr int status_not_found = 404;
constexpr int status_too_large = 413;
constexpr int status_unavailable = 503;
/// Retry delay for callers of a node that has no configuration yet.
constexpr std::chrono::milliseconds no_configuration_retry(500);
/// Retry delay for requests that are refused for lack of memory. Short, because
/// memory is released whenever a request ends.
constexpr std::chrono::milliseconds memory_retry(300);
constexpr std::chrono::milliseconds drain_poll(50);
/// Polls after which the process exits although answers are not sent yet.
constexpr int max_exit_polls = 3;
/// Number of entry addresses in one response.
constexpr std::size_t max_entry_addresses = 8;

net::http_server_limits make_limits(const serving::caller_limits& source)
{
    net::http_server_limits limits;
    limits.header_bytes = static_cast<std::uint32_t>(source.header_bytes);
    limits.idle = source.idle_time;
    limits.header = source.header_time;
    return limits;
}

net::response_limits make_response_limits(const response_size_limits& source)
{
    net::response_limits limits;
    limits.head_bytes = static_cast<std::uint32_t>(source.head_bytes);
    limits.body_bytes = source.records_bytes;
    limits.discarded_bytes = source.discarded_bytes;
    return limits;
}

platform::store_client_settings make_store_settings(const node_settings& source)
{
    platform::store_client_settings settings;
    settings.address = source.store;
    settings.response = make_response_limits(source.bounds);
    settings.object_bytes = source.bounds.object_bytes;
    return settings;
}

} // namespace

node_process::node_process(asio::io_context& io, node_settings source)
    : context(io), settings(std::move(source)),
      incarnation(static_cast<std::uint64_t>(read_wall_clock_ms())),
      memory(std::make_shared<node_memory>(serving::memory_budget(
          serving::divide_memory(this->settings.memory_mb)))),
      store(
          io.get_executor(),
          make_store_settings(this->settings),
          [this]
          {
              return this->peers.choose_relays();
          }),
      fleet(
          io,
          this->store,
          [this](const serving::serving_configuration& configuration)
          {
              this->on_adopted(configuration);
          },
          this->incarnation,
          this->settings.key_freshness),
      members(
          io,
          this->settings,
          this->store,
          this->counters,
          this->incarnation,
          [this]
          {
              this->on_members_changed();
          }),
      peers(io, this->settings, this->store, this->fleet, this->members),
      packets(
          io,
          this->settings,
          this->members,
          this->counters,
          [this](const std::string& sender, const wire::slot_packet& packet)
          {
              this->handle_slot_packet(sender, packet);
          }),
      topology(
          this->fleet,
          this->settings.vm_id,
          this->settings.zone,
          {[this]
           {
               return this->members.live_nodes();
           },
           [this]
           {
               return this->members.version();
           }}),
      quarantines(
          io,
          this->store,
          this->incarnation + 3,
          [this](const serving::quarantine_change& change)
          {
              this->coordinator.on_quarantine_change(change);
              this->slots.on_quarantine_change(change);
          }),
      coordinator(
          io,
          this->fleet,
          this->topology,
          this->settings.vm_id,
          this->settings.quotas,
          [this](const std::string& node, const wire::slot_packet& packet)
          {
              this->packets.send(node, packet);
          },
          [this](const serving::quarantine_change& change)
          {
              this->slots.on_quarantine_change(change);
              this->quarantines.write(change);
          }),
      slots(
          io,
          this->fleet,
          this->topology,
          this->settings.vm_id,
          this->settings.zone,
          this->incarnation,
          this->settings.quotas,
          [this](const std::string& node, const wire::slot_packet& packet)
          {
              this->packets.send(node, packet);
          }),
      runners(
          io.get_executor(),
          this->fleet,
          make_response_limits(this->settings.bounds),
          [this](const serving::runner_entry& runner)
          {
              this->slots.report_leaving(runner);
          }),
      jobs(
          io,
          this->store,
          this->store,
          this->settings.record_bytes,
          this->settings.result_lifetime,
          this->incarnation + 2),
      job_work(
          io,
          {this->fleet,
           this->slots,
           this->runners,
           this->counters,
           this->settings.bounds,
           this->stop,
           this->memory},
          this->jobs,
          this->settings.vm_id,
          [this]
          {
              return this->members.incarnation();
          },
          [this]
          {
              return this->members.live_nodes();
          }),
      job_calls(
          this->jobs,
          this->job_work,
          this->fleet,
          this->counters,
          this->stop,
          this->settings.vm_id,
          [this]
          {
              return this->members.incarnation();
          }),
      caller_server(
          io.get_executor(),
          [this](net::http_exchange& exchange)
          {
              return this->serve_caller(exchange);
          }),
      readiness_server(
          io.get_executor(),
          [this](net::http_exchange& exchange)
          {
              return this->serve_readiness(exchange);
          }),
      entry_server(
          io.get_executor(),
          [this](net::http_exchange& exchange)
          {
              return this->serve_entry_addresses(exchange);
          }),
      peer_server(
          io.get_executor(),
          [this](net::http_exchange& exchange)
          {
              return this->peers.handle_request(exchange);
          }),
      metrics_server(
          io.get_executor(),
          [this](net::http_exchange& exchange)
          {
              return this->serve_metrics(exchange);
          }),
      lifecycle(
          {[this]
           {
               this->announce();
           },
           [this]
           {
               this->drain();
           },
           [this]
           {
               this->exit_when_answered();
           },
           [this]
           {
               const std::size_t open = this->open_requests();
               return open == 0
                          ? std::string()
                          : std::to_string(open) + " requests in progress";
           }}),
      signals(io, this->lifecycle), reload_signals(io, SIGHUP), drain_timer(io)
{
}

result<void> node_process::start()
{
    const std::array<std::pair<net::http_server*, net::endpoint>, 4> servers = {
        {{&this->caller_server, this->settings.requests},
         {&this->readiness_server, this->settings.readiness},
         {&this->entry_server, this->settings.entry_addresses},
         {&this->peer_server,
          {this->settings.address, this->settings.peer_port}}}};
    for (const auto& [server, address] : servers)
    {
        if (const result<void> bound = server->listen(address); !bound)
        {
            return bound;
        }
    }
    if (this->settings.metrics_port != 0)
    {
        const result<void> bound = this->metrics_server.listen(
            {this->settings.address, this->settings.metrics_port});
        if (!bound)
        {
            return bound;
        }
    }
    if (const result<void> bound = this->packets.start(); !bound)
    {
        return bound;
    }
    if (const result<void> joined = this->members.start(); !joined)
    {
        return joined;
    }
    this->fleet.start();
    this->peers.start();
    this->quarantines.start();
    this->coordinator.start();
    this->coordinator.set_leaving_nodes(
        [this]
        {
            return this->members.leaving_nodes();
        });
    this->slots.set_known_nodes(
        [this]
        {
            return this->coordinator.known_nodes();
        });
    this->slots.start();
    this->jobs.start();
    this->job_work.start();
    this->await_reload();
    this->lifecycle.on_started();
    log_event(
        event::process_started,
        {{"version", CHICORY_VERSION},
         {"zone", this->settings.zone},
         {"incarnation", this->incarnation}});
    return boost::outcome_v2::success();
}

void node_process::await_reload()
{
    this->reload_signals.async_wait(
        [this](boost::system::error_code code, int)
        {
            if (code)
            {
                return;
            }
            log_event(event::settings_reloaded);
            this->await_reload();
        });
}

void node_process::on_adopted(
    const serving::serving_configuration& configuration)
{
    this->members.set_revision(configuration.version);
    this->caller_server.set_limits(make_limits(configuration.limits));
}

void node_process::on_members_changed()
{
    this->counters.set(
        "live_nodes",
        static_cast<std::int64_t>(this->members.live_nodes().size()));
}

bool node_process::is_ready() const
{
    return this->lifecycle.state() == daemon_state::serving &&
           this->fleet.configuration() != nullptr;
}

asio::awaitable<void>
node_process::serve_readiness(net::http_exchange& exchange)
{
    if (platform::path_of(exchange.head().target) != platform::readiness_path)
    {
        co_await exchange.respond(
            net::make_text_response(status_not_found, "not found"));
        co_return;
    }
    const bool ready = this->is_ready();
    co_await exchange.respond(net::make_text_response(
        ready ? 200 : status_unavailable, ready ? "ready" : "not ready"));
}

asio::awaitable<void>
node_process::serve_entry_addresses(net::http_exchange& exchange)
{
    const std::string& target = exchange.head().target;
    if (platform::path_of(target) != platform::entry_addresses_path)
    {
        co_await exchange.respond(
            net::make_text_response(status_not_found, "not found"));
        co_return;
    }
    const platform::entry_query query = platform::parse_entry_query(target);
    membership::entrypoint_settings entry_settings;
    entry_settings.count = max_entry_addresses;
    entry_settings.time_to_live = this->settings.entry_time_to_live;
    const membership::entrypoint_response chosen =
        membership::choose_entrypoints(
            this->members.view(),
            query.region,
            query.zone,
            query.host,
            entry_settings);
    std::vector<net::endpoint> addresses;
    for (const membership::entrypoint& entry : chosen.addresses)
    {
        addresses.push_back({entry.address, entry.port});
    }
    if (addresses.empty())
    {
        addresses.push_back(this->settings.requests);
    }
    co_await exchange.respond(
        platform::make_entry_response(addresses, chosen.time_to_live));
}

void node_process::set_memory_gauges()
{
    const serving::memory_budget& budget = this->memory->budget;
    const std::array<std::pair<std::string_view, std::size_t>, 5> gauges = {{
        {"request_body_bytes", budget.body_bytes()},
        {"request_body_limit_bytes", budget.limits().bodies},
        {"unread_response_bytes", budget.unread_bytes()},
        {"unread_response_limit_bytes", budget.limits().responses},
        {"responses_paused", this->memory->paused.size()},
    }};
    for (const auto& [name, value] : gauges)
    {
        this->counters.set(name, static_cast<std::int64_t>(value));
    }
}

void node_process::set_speed_gauges()
{
    constexpr double percent = 100.0;
    const time_point now = read_monotonic_clock();
    serving::runner_speeds all;
    double speed_sum = 0.0;
    double share_sum = 0.0;
    for (const auto& [group, scheduler] : this->coordinator.schedulers())
    {
        const serving::runner_speeds speeds = scheduler.speeds(now);
        if (speeds.measured == 0)
        {
            continue;
        }
        const auto count = static_cast<double>(speeds.measured);
        all.smallest = all.measured == 0
                           ? speeds.smallest
                           : std::min(all.smallest, speeds.smallest);
        all.largest = std::max(all.largest, speeds.largest);
        all.busiest_share = std::max(all.busiest_share, speeds.busiest_share);
        all.measured += speeds.measured;
        speed_sum += speeds.mean * count;
        share_sum += speeds.mean_share * count;
    }
    const auto count =
        static_cast<double>(std::max<std::int64_t>(1, all.measured));
    const auto set = [this](std::string_view gauge, double value)
    {
        this->counters.set(gauge, std::llround(percent * value));
    };
    this->counters.set("measured_runners", all.measured);
    set("runner_speed_smallest_percent", all.smallest);
    set("runner_speed_mean_percent", speed_sum / count);
    set("runner_speed_largest_percent", all.largest);
    set("busiest_runner_over_mean_percent",
        share_sum > 0.0 ? all.busiest_share * count / share_sum : 0.0);
}

asio::awaitable<void> node_process::serve_metrics(net::http_exchange& exchange)
{
    this->counters.set(
        "requests_in_progress",
        static_cast<std::int64_t>(this->caller_server.in_progress()));
    this->counters.set(
        "slots_in_use", static_cast<std::int64_t>(this->slots.in_use()));
    this->set_memory_gauges();
    this->counters.set("log_lines_lost", count_dropped_log_lines());
    this->counters.set("store_served", this->store.is_reachable() ? 1 : 0);
    const auto configuration = this->fleet.configuration();
    this->counters.set(
        "configuration_revision",
        configuration == nullptr ? 0 : configuration->version);
    if (configuration != nullptr && configuration->organisations.is_active())
    {
        const std::optional<duration> age = this->fleet.key_age();
        this->counters.set(
            "key_information_age_ms", age ? age->count() / 1000 : -1);
        this->counters.set(
            "key_information_current", this->fleet.keys_are_current() ? 1 : 0);
    }
    std::int64_t online = 0;
    std::int64_t batch = 0;
    std::int64_t waiting = 0;
    for (const auto& [group, scheduler] : this->coordinator.schedulers())
    {
        online += static_cast<std::int64_t>(
            scheduler.slots_in_use(serving::work_kind::online));
        batch += static_cast<std::int64_t>(
            scheduler.slots_in_use(serving::work_kind::batch));
        waiting += static_cast<std::int64_t>(
            scheduler.waiting(serving::work_kind::online));
    }
    this->counters.set("coordinated_online_slots", online);
    this->counters.set("coordinated_batch_slots", batch);
    this->counters.set("coordinated_online_waiting", waiting);
    for (const auto& [organisation, quota] :
         this->coordinator.quota().counters())
    {
        this->counters.set_of_organisation(
            "quota_granted", organisation, quota.charged);
        this->counters.set_of_organisation(
            "quota_refused", organisation, quota.refused);
        this->counters.set_of_organisation(
            "quota_in_window",
            organisation,
            this->coordinator.quota().count_in_window(
                read_monotonic_clock(), organisation));
    }
    this->set_speed_gauges();
    net::http_response response;
    response.headers["content-type"] = "text/plain; version=0.0.4";
    response.body = this->counters.render();
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> node_process::serve_caller(net::http_exchange& exchange)
{
    const time_point arrived = read_monotonic_clock();
    const std::shared_ptr<const serving::serving_configuration> configuration =
        this->fleet.configuration();
    if (configuration == nullptr)
    {
        this->counters.count_refusal(reason::no_configuration);
        co_await exchange.respond(platform::make_refusal(
            no_configuration_retry, name_of(reason::no_configuration)));
        co_return;
    }
    if (const std::optional<platform::job_call> call = platform::find_job_call(
            exchange.head().method, exchange.head().target))
    {
        co_await this->job_calls.handle_call(exchange, *call);
        co_return;
    }
    const platform::caller_parameters parameters =
        platform::parse_caller_parameters(exchange.head().headers);
    const serving::serving_route* route = serving::find_route(
        *configuration,
        parameters.host,
        platform::path_of(exchange.head().target));
    if (route == nullptr)
    {
        this->counters.count_refusal(reason::unknown_route);
        log_event(
            event::request_refused,
            {{"request", parameters.attempt_id},
             {"reason", std::string(name_of(reason::unknown_route))},
             {"revision", configuration->version}});
        co_await exchange.respond(net::make_text_response(
            status_not_found, "no route for this host and path"));
        co_return;
    }
    serving::access_decision access;
    if (configuration->organisations.is_active())
    {
        access = serving::check_access(
            *configuration,
            route->is_public,
            platform::parse_caller_key(exchange.head().headers),
            this->fleet.keys_are_current());
    }
    if (access.outcome != serving::access_outcome::granted)
    {
        co_await refuse_access(exchange, this->counters, route->name, access);
        co_return;
    }
    if (route->kind == serving::route_kind::batch)
    {
        co_await this->serve_submission(exchange, configuration, *route);
        co_return;
    }
    co_await this->serve_online(
        exchange,
        configuration,
        *route,
        std::move(access.organisation),
        arrived);
}

asio::awaitable<result<std::string>> node_process::read_caller_body(
    net::http_exchange& exchange,
    const serving::serving_configuration& configuration,
    body_lease& held)
{
    const std::size_t limit =
        static_cast<std::size_t>(configuration.limits.body_bytes);
    const std::size_t declared = find_declared_length(exchange.head());
    std::string body;
    if (declared > limit)
    {
        co_return co_await this->reject_long_body(exchange, limit);
    }
    const bool is_admitted = this->memory->budget.admits_request(declared) &&
                             held.add(serving::request_overhead);
    while (is_admitted)
    {
        const result<std::string> piece = co_await exchange.read_some();
        if (!piece || piece.value().empty())
        {
            co_return piece ? result<std::string>(std::move(body))
                            : result<std::string>(piece.error());
        }
        if (body.size() + piece.value().size() > limit)
        {
            co_return co_await this->reject_long_body(exchange, limit);
        }
        if (!held.add(piece.value().size()))
        {
            break;
        }
        body += piece.value();
    }
    const std::size_t received = body.size();
    std::string().swap(body);
    held.release_body();
    co_await this->refuse_body(exchange, received);
    co_return make_error(
        error_kind::overloaded,
        "body: expected memory for it, found " +
            std::to_string(this->memory->budget.body_bytes()) +
            " bytes in use");
}

asio::awaitable<error>
node_process::reject_long_body(net::http_exchange& exchange, std::size_t limit)
{
    error failure = make_error(
        error_kind::invalid_input,
        "body: expected at most " + std::to_string(limit) +
            " bytes, found more");
    co_await exchange.respond(
        net::make_text_response(status_too_large, failure.text));
    co_return failure;
}

asio::awaitable<void>
node_process::refuse_body(net::http_exchange& exchange, std::size_t received)
{
    const std::string_view why = name_of(reason::out_of_memory_budget);
    this->counters.count_refusal(reason::out_of_memory_budget);
    log_event(
        event::request_refused,
        {{"request",
          platform::parse_caller_parameters(exchange.head().headers)
              .attempt_id},
         {"reason", std::string(why)},
         {"declared_bytes", find_declared_length(exchange.head())},
         {"received_bytes", received},
         {"body_bytes_held", this->memory->budget.body_bytes()}});
    co_await exchange.respond(platform::make_refusal(memory_retry, why));
}

asio::awaitable<void> node_process::serve_submission(
    net::http_exchange& exchange,
    std::shared_ptr<const serving::serving_configuration> configuration,
    const serving::serving_route& route)
{
    body_lease held(this->memory);
    result<std::string> body =
        co_await this->read_caller_body(exchange, *configuration, held);
    if (!body)
    {
        co_return;
    }
    co_await this->job_calls.submit(exchange, route, std::move(body.value()));
}

asio::awaitable<void> node_process::serve_online(
    net::http_exchange& exchange,
    std::shared_ptr<const serving::serving_configuration> configuration,
    const serving::serving_route& route,
    std::string organisation,
    time_point arrived)
{
    body_lease held(this->memory);
    result<std::string> body =
        co_await this->read_caller_body(exchange, *configuration, held);
    if (!body)
    {
        if (body.error().kind == error_kind::invalid_input)
        {
            this->counters.count_refusal(reason::body_too_large);
        }
        co_return;
    }
    const auto call = std::make_shared<online_call>(
        this->context,
        run_services{
            this->fleet,
            this->slots,
            this->runners,
            this->counters,
            this->settings.bounds,
            this->stop,
            this->memory},
        std::move(configuration),
        route,
        exchange,
        std::move(body.value()),
        std::move(organisation),
        std::move(held),
        arrived);
    this->stop.arrived += this->stop.plan ? 1 : 0;
    // Removes the call also when it ends with an exception. The set is shared,
    // because a call that is still open at the exit outlives this object.
    const std::shared_ptr<void> removal(
        nullptr,
        [calls = this->open_calls, call](void*)
        {
            calls->erase(call);
        });
    this->open_calls->insert(call);
    co_await call->run();
}

void node_process::handle_slot_packet(
    const std::string& sender, const wire::slot_packet& packet)
{
    if (const auto* decisions = std::get_if<wire::slot_decisions>(&packet))
    {
        this->slots.on_decisions(sender, *decisions);
        return;
    }
    this->coordinator.on_packet(sender, packet);
}

std::size_t node_process::open_requests() const
{
    return this->caller_server.in_progress() + this->peer_server.in_progress();
}

void node_process::call_later(duration delay, std::function<void()> hook)
{
    this->drain_timer.expires_after(delay);
    this->drain_timer.async_wait(
        [hook = std::move(hook)](boost::system::error_code code)
        {
            if (!code)
            {
                hook();
            }
        });
}

void node_process::announce()
{
    const time_point now = read_monotonic_clock();
    this->stop.plan.emplace(now, this->settings.stop_grace);
    this->stop.open_at_signal = this->caller_server.in_progress();
    this->members.leave();
    this->job_work.leave();
    // Copied, because a call that ends removes itself.
    for (const auto& call : std::set(*this->open_calls))
    {
        call->on_stop_begun();
    }
    this->call_later(
        this->stop.plan->closes_connections_at() - now,
        [this]
        {
            this->caller_server.close_after_responses();
            this->call_later(
                this->stop.plan->announced_at() - read_monotonic_clock(),
                [this]
                {
                    this->lifecycle.on_announced();
                });
        });
}

void node_process::drain()
{
    this->caller_server.close_idle_connections();
    this->peer_server.close_after_responses();
    this->peer_server.close_idle_connections();
    this->await_drained();
}

void node_process::await_drained()
{
    const time_point now = read_monotonic_clock();
    if (this->open_requests() == 0)
    {
        this->caller_server.stop_accepting();
    }
    if (this->open_requests() == 0 || now >= this->stop.plan->exits_at())
    {
        log_event(
            event::drain_finished,
            {{"ms", (now - this->stop.plan->signalled_at()).count() / 1000},
             {"open_at_signal", this->stop.open_at_signal},
             {"arrived", this->stop.arrived},
             {"refused", this->stop.refused},
             {"cut_off", this->stop.cut_off},
             {"open", this->open_requests()}});
        this->lifecycle.on_drained();
        return;
    }
    if (now >= this->stop.plan->work_ends_at())
    {
        this->end_open_work();
    }
    this->call_later(
        drain_poll,
        [this]
        {
            this->await_drained();
        });
}

void node_process::end_open_work()
{
    // Copied, because a call that ends removes itself.
    for (const auto& call : std::set(*this->open_calls))
    {
        call->on_stop_deadline();
    }
    // Calls know whether their requests have run, so they answer first; their
    // coroutines do so before the next poll.
    if (std::exchange(this->calls_ended, true))
    {
        this->caller_server.answer_unfinished();
    }
}

void node_process::exit_when_answered()
{
    if (this->caller_server.in_progress() == 0 ||
        ++this->exit_polls > max_exit_polls)
    {
        this->context.stop();
        return;
    }
    this->end_open_work();
    this->call_later(
        drain_poll,
        [this]
        {
            this->exit_when_answered();
        });
}

} // namespace chicory::node
