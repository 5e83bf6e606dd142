#include "servers/control/control_process.hpp"

#include <utility>

namespace chicory::control
{

namespace asio = boost::asio;

namespace
{

/// Changes of the view within this interval are sent as one update.
constexpr std::chrono::milliseconds view_update_interval(100);

/// Time for gossip to disseminate that this VM is leaving.
constexpr std::chrono::milliseconds announce_time(1500);

/// Time for a gate to subscribe before its VM is announced as leaving.
constexpr std::chrono::milliseconds gate_subscribe_timeout(1000);

/// Interval between checks whether all orders have received a response.
constexpr std::chrono::milliseconds drain_check_interval(50);

membership::vm make_self(const vm_settings& settings)
{
    membership::vm self;
    self.id = settings.vm_id;
    self.region = settings.region;
    self.zone = settings.zone;
    self.address = settings.control_gossip.address;
    self.http_port = settings.gate_http.port;
    self.link_port = settings.gate_link.port;
    self.batch_port = settings.batch_http.port;
    self.gossip_port = settings.control_gossip.port;
    // A process that starts later has the higher incarnation. If the clock
    // was set back, the first update received about this VM corrects it.
    self.incarnation = static_cast<std::uint64_t>(read_wall_clock_ms());
    return self;
}

/// Returns the name of this process as a lease holder. It contains the
/// incarnation, so that it differs after each restart.
std::string make_process_name(const membership::gossip& members)
{
    const membership::member_record& self =
        *members.table().find(members.self());
    return members.self() + "#" + std::to_string(self.status.incarnation);
}

} // namespace

control_process::control_process(
    asio::io_context& io, vm_settings initial_settings)
    : context(io), settings(std::move(initial_settings)),
      client(io.get_executor()),
      table(drivers::make_table_service(this->client, this->settings.platform)),
      list(drivers::make_vm_list(this->client, this->settings.platform)),
      backend(backend::make_http_backend(this->client)),
      members(
          io,
          make_self(this->settings),
          this->counters,
          [this]()
          {
              this->schedule_view();
          }),
      configuration(
          io,
          this->client,
          *this->table,
          {[this]() -> const membership::gossip&
           {
               return this->members.state();
           },
           [this](const configuration::table_set& tables)
           {
               this->members.set_revision(tables.revision);
               this->orders.set_tables(tables);
               this->push(wire::configuration_update{tables});
           },
           [this]()
           {
               return this->counters.render();
           }},
          hash_bytes(this->settings.vm_id)),
      vms(io, *this->list, this->members, hash_bytes(this->settings.vm_id, 1)),
      orders(
          io,
          *this->table,
          *this->backend,
          [this]() -> const membership::gossip&
          {
              return this->members.state();
          },
          make_process_name(this->members.state())),
      links(
          io.get_executor(),
          [this](const std::shared_ptr<wire::link>& accepted)
          {
              this->accept(accepted);
          }),
      gate_timer(io), view_timer(io),
      lifecycle(
          {[this]()
           {
               this->announce();
           },
           [this]()
           {
               this->drain();
           },
           [this]()
           {
               this->context.stop();
           },
           [this]()
           {
               return std::to_string(this->orders.in_progress()) +
                      " orders in progress";
           }}),
      signals(io, this->lifecycle), stop_timer(io)
{
}

result<void> control_process::start()
{
    BOOST_OUTCOME_TRY(this->links.listen(this->settings.control_link));
    BOOST_OUTCOME_TRY(this->members.start(this->settings.control_gossip));
    BOOST_OUTCOME_TRY(this->configuration.start(this->settings.control_gossip));
    this->vms.start();
    this->lifecycle.on_started();
    // The gate may have failed before this start; a live gate subscribes
    // before the timer expires.
    this->start_gate_timer();
    log_event(
        event::process_started,
        {{"link_port", this->settings.control_link.port},
         {"gossip_port", this->settings.control_gossip.port}});
    return boost::outcome_v2::success();
}

void control_process::announce()
{
    this->members.leave();
    this->stop_timer.expires_after(announce_time);
    this->stop_timer.async_wait(
        [this](boost::system::error_code)
        {
            this->lifecycle.on_announced();
        });
}

void control_process::drain()
{
    this->orders.stop();
    if (this->orders.in_progress() == 0)
    {
        this->lifecycle.on_drained();
        return;
    }
    this->stop_timer.expires_after(drain_check_interval);
    this->stop_timer.async_wait(
        [this](boost::system::error_code)
        {
            this->drain();
        });
}

void control_process::accept(const std::shared_ptr<wire::link>& accepted)
{
    accepted->set_message_hook(
        [this](const std::shared_ptr<wire::link>& self, wire::message value)
        {
            this->handle_message(self, std::move(value));
        });
    accepted->set_closed_hook(
        [this](const std::shared_ptr<wire::link>& self)
        {
            this->on_closed(self);
        });
}

void control_process::handle_message(
    const std::shared_ptr<wire::link>& sender, wire::message value)
{
    if (const wire::subscribe* request = std::get_if<wire::subscribe>(&value))
    {
        this->on_subscribe(sender, request->kind);
    }
    if (const wire::leaving_notice* notice =
            std::get_if<wire::leaving_notice>(&value))
    {
        this->on_leaving(sender, *notice);
    }
}

void control_process::on_gate_subscribed(
    const std::shared_ptr<wire::link>& subscriber)
{
    this->gate = subscriber;
    this->gate_timer.cancel();
    const bool can_stay = this->leaving && this->leaving_announcer.expired() &&
                          this->lifecycle.state() == daemon_state::serving;
    if (can_stay)
    {
        this->leaving = false;
        this->members.stay();
    }
}

void control_process::leave_without_gate()
{
    if (this->gate != nullptr || this->leaving ||
        this->lifecycle.state() != daemon_state::serving)
    {
        return;
    }
    // The VM still responds to pings, but without a gate the runners that it
    // owns would not be served.
    this->leaving = true;
    this->members.leave();
}

void control_process::on_subscribe(
    const std::shared_ptr<wire::link>& subscriber, wire::subscriber_kind kind)
{
    this->subscribers.insert(subscriber);
    if (kind == wire::subscriber_kind::gate)
    {
        this->on_gate_subscribed(subscriber);
    }
    subscriber->send(wire::fleet_update{this->members.state().view()});
    const configuration::table_set& tables =
        this->configuration.state().current();
    if (tables.revision > 0)
    {
        subscriber->send(wire::configuration_update{tables});
    }
}

void control_process::on_leaving(
    const std::shared_ptr<wire::link>& sender,
    const wire::leaving_notice& notice)
{
    if (notice.vm_id != this->settings.vm_id)
    {
        this->vms.on_leaving(notice.vm_id, notice.incarnation);
        return;
    }
    this->leaving = true;
    this->leaving_announcer = sender;
    this->members.leave();
}

void control_process::on_closed(const std::shared_ptr<wire::link>& closed)
{
    this->subscribers.erase(closed);
    if (this->leaving_announcer.lock() == closed)
    {
        this->leaving_announcer.reset();
    }
    if (this->gate == closed)
    {
        this->gate.reset();
        this->start_gate_timer();
    }
}

void control_process::start_gate_timer()
{
    this->gate_timer.expires_after(gate_subscribe_timeout);
    this->gate_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (!cancelled)
            {
                this->leave_without_gate();
            }
        });
}

void control_process::push(const wire::message& value)
{
    for (const std::shared_ptr<wire::link>& subscriber : this->subscribers)
    {
        subscriber->send(value);
    }
}

void control_process::schedule_view()
{
    const bool changed =
        this->members.state().version() != this->pushed_version;
    if (!changed || this->is_view_scheduled)
    {
        return;
    }
    this->is_view_scheduled = true;
    this->view_timer.expires_after(view_update_interval);
    this->view_timer.async_wait(
        [this](boost::system::error_code)
        {
            this->is_view_scheduled = false;
            this->push_view();
        });
}

void control_process::push_view()
{
    const membership::fleet_view view = this->members.state().view();
    this->pushed_version = view.version;
    this->push(wire::fleet_update{view});
}

} // namespace chicory::control
