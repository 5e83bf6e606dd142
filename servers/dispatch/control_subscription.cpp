#include "servers/dispatch/control_subscription.hpp"

#include <utility>

namespace chicory::dispatching
{

namespace
{

constexpr std::chrono::milliseconds reconnect_interval(200);

} // namespace

control_subscription::control_subscription(
    boost::asio::any_io_executor context,
    net::endpoint server,
    std::string own_vm,
    wire::subscriber_kind subscriber,
    fleet_cache& cache)
    : executor(context), control(std::move(server)), vm_id(std::move(own_vm)),
      kind(subscriber), fleet(cache), retry_timer(context)
{
}

void control_subscription::start()
{
    this->connect();
}

void control_subscription::stop()
{
    this->stopped = true;
    this->retry_timer.cancel();
    if (this->link != nullptr)
    {
        this->link->close();
    }
}

void control_subscription::send(const wire::message& value)
{
    if (this->link != nullptr)
    {
        this->link->send(value);
    }
}

void control_subscription::connect()
{
    this->link = wire::open_link(
        this->executor,
        this->control,
        [this](const std::shared_ptr<wire::link>&, wire::message value)
        {
            this->receive(value);
        },
        [this](const std::shared_ptr<wire::link>&)
        {
            if (this->stopped)
            {
                return;
            }
            this->retry_timer.expires_after(reconnect_interval);
            this->retry_timer.async_wait(
                [this](boost::system::error_code cancelled)
                {
                    if (!cancelled && !this->stopped)
                    {
                        this->connect();
                    }
                });
        });
    this->link->send(wire::subscribe{this->vm_id, this->kind});
}

void control_subscription::receive(const wire::message& value)
{
    if (const wire::fleet_update* update =
            std::get_if<wire::fleet_update>(&value))
    {
        this->fleet.update_view(update->view);
    }
    if (const wire::configuration_update* update =
            std::get_if<wire::configuration_update>(&value))
    {
        this->fleet.update_tables(update->tables);
    }
}

} // namespace chicory::dispatching
