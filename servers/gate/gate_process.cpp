#include "servers/gate/gate_process.hpp"

#include <utility>

namespace chicory::gate
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds drain_check_interval(50);
/// Time in which answers that were just queued leave the process.
constexpr std::chrono::milliseconds last_answer_time(200);
/// Time for which a leaving gate still takes new work, so that callers and
/// gates that have not heard of it yet lose nothing.
constexpr std::chrono::seconds drain_grace(2);
/// Time for which a request that crashes backend servers is kept out.
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
                                         this->numbers,
                                         this->settings.vm_id),
      table(drivers::make_table_service(this->client, this->settings.platform)),
      claims(
          io.get_executor(),
          *this->table,
          this->numbers,
          this->settings.gate_group_claims),
      sweeper(
          io.get_executor(),
          this->fleet,
          *this->table,
          this->numbers,
          this->settings.vm_id,
          make_sweep_settings(this->settings)),
      state(
          io.get_executor(),
          this->settings,
          this->fleet,
          this->owners,
          this->suspects,
          this->numbers),
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
                      this->receive(
                          value,
                          [self](wire::message answer)
                          {
                              self->send(answer);
                          });
                  });
          }),
      control(
          io.get_executor(),
          this->settings.control_link,
          this->settings.vm_id,
          wire::subscriber_kind::gate,
          this->fleet),
      drain_timer(io), life(
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
                                return this->describe_unfinished();
                            }}),
      signals(io, this->life)
{
    this->owners.set_local_hook(
        [this](wire::message value)
        {
            this->receive(
                value,
                [this](wire::message answer)
                {
                    this->owners.receive(this->settings.vm_id, answer);
                });
        });
    this->owners.set_unmatched_hook(
        [this](const std::string&, const wire::message& value)
        {
            if (const auto* reply = std::get_if<wire::probe_reply>(&value))
            {
                this->state.take_probe(*reply);
            }
        });
    this->owner.set_notice_hook(
        [this](const wire::message& notice)
        {
            this->tell_all_gates(notice);
        });
}

void gate_process::receive(const wire::message& value, const reply_hook& reply)
{
    if (const auto* notice = std::get_if<wire::quarantine_notice>(&value))
    {
        online::crash_notice told;
        told.fingerprint = notice->fingerprint;
        told.runner = notice->runner;
        told.incarnation = notice->incarnation;
        told.cleared = notice->cleared;
        told.time_to_live = std::chrono::milliseconds(notice->time_to_live_ms);
        this->suspects.merge(told, read_monotonic_clock());
        return;
    }
    if (const auto* notice = std::get_if<wire::leaving_notice>(&value))
    {
        this->fleet.mark_leaving(notice->vm_id, notice->incarnation);
        return;
    }
    this->owner.receive(value, reply);
}

void gate_process::tell_all_gates(const wire::message& notice)
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
    this->tell_all_gates(notice);
}

result<void> gate_process::start()
{
    BOOST_OUTCOME_TRY(this->links.listen(this->settings.gate_link));
    BOOST_OUTCOME_TRY(this->callers.listen());
    this->control.start();
    this->owner.start();
    this->sweeper.start();
    this->life.on_started();
    log_event(
        event::process_started,
        {{"http_port", this->settings.gate_http.port},
         {"link_port", this->settings.gate_link.port}});
    return boost::outcome_v2::success();
}

void gate_process::announce()
{
    this->announce_leaving();
    this->drain_timer.expires_after(drain_grace);
    this->drain_timer.async_wait(
        [this](boost::system::error_code)
        {
            this->life.on_announced();
        });
}

void gate_process::drain()
{
    this->callers.stop_accepting();
    this->links.stop_accepting();
    this->owner.drain();
    this->drain_timer.expires_after(last_answer_time);
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
        this->life.on_drained();
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
