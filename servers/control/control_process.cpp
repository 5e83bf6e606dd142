#include "servers/control/control_process.hpp"

#include <utility>

namespace chicory::control
{

namespace asio = boost::asio;

namespace
{

/// Changes of the view within this time are told together.
constexpr std::chrono::milliseconds view_interval(100);

/// Time that the word that this VM leaves has to spread.
constexpr std::chrono::milliseconds announce_time(1500);

/// Time that a gate has to subscribe before its VM counts as leaving.
constexpr std::chrono::milliseconds gate_patience(1000);

/// Time between two looks whether all orders are answered.
constexpr std::chrono::milliseconds drain_interval(50);

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
    // A process that starts later has the higher incarnation. Should the
    // clock have gone back, the first update about this VM corrects it.
    self.incarnation = static_cast<std::uint64_t>(read_wall_clock_ms());
    return self;
}

/// Names this process as the holder of a lease; another start has another
/// name.
std::string make_process_name(const membership::gossip& members)
{
    const membership::member_record& self =
        *members.table().find(members.self());
    return members.self() + "#" + std::to_string(self.status.incarnation);
}

} // namespace

control_process::control_process(asio::io_context& io, vm_settings source)
    : context(io), settings(std::move(source)), client(io.get_executor()),
      table(drivers::make_table_service(this->client, this->settings.platform)),
      list(drivers::make_vm_list(this->client, this->settings.platform)),
      backend(backend::make_http_backend(this->client)),
      members(
          io,
          make_self(this->settings),
          this->numbers,
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
               return this->numbers.render();
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
      life(
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
      signals(io, this->life), stop_timer(io)
{
}

result<void> control_process::start()
{
    BOOST_OUTCOME_TRY(this->links.listen(this->settings.control_link));
    BOOST_OUTCOME_TRY(this->members.start(this->settings.control_gossip));
    BOOST_OUTCOME_TRY(this->configuration.start(this->settings.control_gossip));
    this->vms.start();
    this->life.on_started();
    // The gate may be dead already; a live one subscribes within the time.
    this->await_gate();
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
            this->life.on_announced();
        });
}

void control_process::drain()
{
    this->orders.stop();
    if (this->orders.in_progress() == 0)
    {
        this->life.on_drained();
        return;
    }
    this->stop_timer.expires_after(drain_interval);
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
            this->take(self, std::move(value));
        });
    accepted->set_closed_hook(
        [this](const std::shared_ptr<wire::link>& self)
        {
            this->on_closed(self);
        });
}

void control_process::take(
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

void control_process::on_gate_back(
    const std::shared_ptr<wire::link>& subscriber)
{
    this->gate = subscriber;
    this->gate_timer.cancel();
    const bool is_back = this->leaving && this->leaver.expired() &&
                         this->life.state() == daemon_state::serving;
    if (is_back)
    {
        this->leaving = false;
        this->members.stay();
    }
}

void control_process::withdraw_without_gate()
{
    if (this->gate != nullptr || this->leaving ||
        this->life.state() != daemon_state::serving)
    {
        return;
    }
    // The VM answers pings, but nobody would serve the runners it owns.
    this->leaving = true;
    this->members.leave();
}

void control_process::on_subscribe(
    const std::shared_ptr<wire::link>& subscriber, wire::subscriber_kind kind)
{
    this->subscribers.insert(subscriber);
    if (kind == wire::subscriber_kind::gate)
    {
        this->on_gate_back(subscriber);
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
    this->leaver = sender;
    this->members.leave();
}

void control_process::on_closed(const std::shared_ptr<wire::link>& closed)
{
    this->subscribers.erase(closed);
    if (this->leaver.lock() == closed)
    {
        this->leaver.reset();
    }
    if (this->gate == closed)
    {
        this->gate.reset();
        this->await_gate();
    }
}

void control_process::await_gate()
{
    this->gate_timer.expires_after(gate_patience);
    this->gate_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (!cancelled)
            {
                this->withdraw_without_gate();
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
    if (!changed || this->view_waits)
    {
        return;
    }
    this->view_waits = true;
    this->view_timer.expires_after(view_interval);
    this->view_timer.async_wait(
        [this](boost::system::error_code)
        {
            this->view_waits = false;
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
