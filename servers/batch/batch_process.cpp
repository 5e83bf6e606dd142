#include "servers/batch/batch_process.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace chicory::batch
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::seconds drain_time_limit(60);
constexpr std::chrono::milliseconds drain_check_interval(50);

} // namespace

batch_process::batch_process(
    asio::io_context& io,
    vm_settings initial_settings,
    lifecycles initial_charts)
    : context(io), settings(std::move(initial_settings)),
      charts(std::move(initial_charts)), client(io.get_executor()),
      service(
          drivers::make_table_service(this->client, this->settings.platform)),
      objects(
          drivers::make_object_store(this->client, this->settings.platform)),
      table(io.get_executor(), *this->service, this->counters),
      owners(io.get_executor(), this->fleet, this->settings.vm_id + "/batch"),
      control(
          io.get_executor(),
          this->settings.control_link,
          this->settings.vm_id,
          wire::subscriber_kind::batch,
          this->fleet),
      commits(io.get_executor(), this->table, *this->objects, this->counters),
      feeder(
          io.get_executor(),
          this->settings.vm_id,
          this->fleet,
          this->owners,
          this->table,
          this->commits,
          this->charts,
          this->identifiers,
          this->counters),
      holder(
          io.get_executor(),
          this->identifiers.next(this->settings.vm_id + "-"),
          this->table,
          *this->objects,
          this->feeder,
          this->commits,
          this->charts,
          this->identifiers,
          this->counters),
      server(
          io.get_executor(),
          this->fleet,
          this->table,
          *this->objects,
          this->charts,
          this->identifiers,
          this->counters),
      lifecycle(
          {[this]()
           {
               this->lifecycle.on_announced();
           },
           [this]()
           {
               asio::co_spawn(this->context, this->drain(), asio::detached);
           },
           [this]()
           {
               this->context.stop();
           },
           [this]()
           {
               return this->describe_unfinished();
           }}),
      signals(io, this->lifecycle)
{
}

result<void> batch_process::start()
{
    BOOST_OUTCOME_TRY(this->server.listen(this->settings.batch_http));
    this->owners.set_unmatched_hook(
        [this](const std::string& owner, const wire::message& value)
        {
            this->feeder.receive(owner, value);
        });
    this->commits.set_resolved_hook(
        [this](const resolved_chunk& chunk)
        {
            log_event(
                chunk.outcome == chunk_outcome::committed
                    ? event::chunk_committed
                    : event::chunk_lease_lost,
                {{"job", chunk.job}, {"chunk", chunk.name}});
            this->holder.wake();
        });
    this->server.set_accepted_hook(
        [this]()
        {
            this->holder.wake();
        });
    this->server.set_cancelled_hook(
        [this](const std::string& job)
        {
            this->feeder.drop_job(job, reason::job_cancelled);
        });
    this->control.start();
    this->commits.start();
    this->feeder.start();
    this->holder.start();
    this->lifecycle.on_started();
    log_event(
        event::process_started,
        {{"http_port", this->settings.batch_http.port}});
    return boost::outcome_v2::success();
}

asio::awaitable<void> batch_process::drain()
{
    this->server.stop_accepting();
    this->holder.drain();
    this->feeder.drain();
    const time_point deadline = read_monotonic_clock() + drain_time_limit;
    asio::steady_timer timer(this->context);
    while (read_monotonic_clock() < deadline)
    {
        const bool busy = !this->feeder.held().empty() ||
                          this->commits.queue().size() > 0 ||
                          this->server.in_progress() > 0;
        if (!busy)
        {
            break;
        }
        timer.expires_after(drain_check_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_await this->holder.deregister();
    this->lifecycle.on_drained();
}

std::string batch_process::describe_unfinished() const
{
    return std::to_string(this->feeder.held().size()) +
           " chunks held, whose items will run again on other processes, and " +
           std::to_string(this->server.in_progress()) +
           " caller requests in progress";
}

} // namespace chicory::batch
