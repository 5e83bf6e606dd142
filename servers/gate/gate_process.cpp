#include "servers/gate/gate_process.hpp"

#include <utility>

namespace chicory::gate
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds drain_check_interval(50);
/// Time in which responses that were just queued are sent.
constexpr std::chrono::milliseconds response_flush_time(200);
/// Time for which a leaving gate still accepts new work, so that requests of
/// callers and gates that have not received the leaving notice yet are not
/// dropped.
constexpr std::chrono::seconds drain_grace_period(2);
/// Time for which a request that crashes backend servers is quarantined.
constexpr std::chrono::minutes quarantine_lifetime(10);

online::claim_sweep_settings make_sweep_settings(const vm_settings& source)
{
    online::claim_sweep_settings settings;
    settings.lifetime = source.key_lifetime;
    return settings;
}

} // namespace

gate_process::gate_process(asio::io_context& io, vm_settings source)
    : context(io), settings(std::move(source)), client(io.get_executor()),
      servers(backend::make_http_backend(this->client)),
      owners(io.get_executor(), this->fleet, this->settings.vm_id),
      suspects(quarantine_lifetime), owner(
                                         io.get_executor(),
                                         this->fleet,
                                         *this->servers,
                                         this->suspects,
                                         this->counters,
                                         this->settings.vm_id),
      table(drivers::make_table_service(this->client, this->settings.platform)),
      claims(
          io.get_executor(),
          *this->table,
          this->counters,
          this->settings.gate_group_claims),
      sweeper(
          io.get_executor(),
          this->fleet,
          *this->table,
          this->counters,
          this->settings.vm_id,
          make_sweep_settings(this->settings)),
      state(
          io.get_executor(),
          this->settings,
          this->fleet,
          this->owners,
          this->suspects,
          this->counters),
      callers(this->state, this->claims),
      links(
          io.get_executor(),
          [this](const std::shared_ptr<wire::link>& accepted)
          {
              accepted->set_message_hook(
                  [this](
                      const std::shared_ptr<wire::link>& self,
                      wire::message value)
                  {
                      this->handle_message(
                          value,
                          [self](wire::message response)
                          {
                              self->send(response);
                          });
                  });
          }),
      control(
          io.get_executor(),
          this->settings.control_link,
          this->settings.vm_id,
          wire::subscriber_kind::gate,
          this->fleet),
      drain_timer(io), lifecycle(
                           {[this]()
                            {
                                this->begin_leaving();
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
                                return this->describe_unfinished();
                            }}),
      signals(io, this->lifecycle)
{
    this->owners.set_local_hook(
        [this](wire::message value)
        {
            this->handle_message(
                value,
                [this](wire::message response)
                {
                    this->owners.receive(this->settings.vm_id, response);
                });
        });
    this->owners.set_unmatched_hook(
        [this](const std::string&, const wire::message& value)
        {
            if (const auto* reply = std::get_if<wire::probe_reply>(&value))
            {
                this->state.handle_probe_reply(*reply);
            }
        });
    this->owner.set_notice_hook(
        [this](const wire::message& notice)
        {
            this->send_to_all_gates(notice);
        });
}

void gate_process::handle_message(
    const wire::message& value, const reply_hook& reply)
{
    if (const auto* notice = std::get_if<wire::quarantine_notice>(&value))
    {
        online::crash_notice received;
        received.fingerprint = notice->fingerprint;
        received.runner = notice->runner;
        received.incarnation = notice->incarnation;
        received.cleared = notice->cleared;
        received.time_to_live =
            std::chrono::milliseconds(notice->time_to_live_ms);
        this->suspects.merge(received, read_monotonic_clock());
        return;
    }
    if (const auto* notice = std::get_if<wire::leaving_notice>(&value))
    {
        this->fleet.mark_leaving(notice->vm_id, notice->incarnation);
        return;
    }
    this->owner.handle_message(value, reply);
}

void gate_process::send_to_all_gates(const wire::message& notice)
{
    for (const membership::vm* gate : this->fleet.list_entry_vms())
    {
        if (gate->id != this->settings.vm_id)
        {
            this->owners.send(gate->id, notice);
        }
    }
    this->control.send(notice);
}

void gate_process::announce_leaving()
{
    const membership::vm* own = this->fleet.find_vm(this->settings.vm_id);
    if (own == nullptr)
    {
        return;
    }
    const wire::leaving_notice notice = {own->id, own->incarnation};
    this->fleet.mark_leaving(notice.vm_id, notice.incarnation);
    this->send_to_all_gates(notice);
}

result<void> gate_process::start()
{
    BOOST_OUTCOME_TRY(this->links.listen(this->settings.gate_link));
    BOOST_OUTCOME_TRY(this->callers.listen());
    this->control.start();
    this->owner.start();
    this->sweeper.start();
    this->lifecycle.on_started();
    log_event(
        event::process_started,
        {{"http_port", this->settings.gate_http.port},
         {"link_port", this->settings.gate_link.port}});
    return boost::outcome_v2::success();
}

void gate_process::begin_leaving()
{
    this->announce_leaving();
    this->drain_timer.expires_after(drain_grace_period);
    this->drain_timer.async_wait(
        [this](boost::system::error_code)
        {
            this->lifecycle.on_announced();
        });
}

void gate_process::drain()
{
    this->callers.stop_accepting();
    this->links.stop_accepting();
    this->owner.drain();
    this->drain_timer.expires_after(response_flush_time);
    this->drain_timer.async_wait(
        [this](boost::system::error_code)
        {
            this->stop_when_idle();
        });
}

void gate_process::stop_when_idle()
{
    if (this->callers.in_progress() == 0 && this->owner.in_progress() == 0 &&
        this->claims.in_progress() == 0)
    {
        this->lifecycle.on_drained();
        return;
    }
    this->drain_timer.expires_after(drain_check_interval);
    this->drain_timer.async_wait(
        [this](boost::system::error_code)
        {
            this->stop_when_idle();
        });
}

std::string gate_process::describe_unfinished() const
{
    return std::to_string(this->callers.in_progress()) +
           " requests of callers and " +
           std::to_string(this->owner.in_progress()) + " runs in progress";
}

} // namespace chicory::gate
