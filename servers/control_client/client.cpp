#include "servers/control_client/client.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chicory::control
{

namespace asio = boost::asio;

namespace
{

asio::awaitable<void> sleep_for(duration length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(length);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

client::client(asio::io_context& context, const client_settings& given)
    : settings(given), http(context.get_executor()),
      table(drivers::make_table_service(http, given.platform)),
      vms(drivers::make_vm_list(http, given.platform)),
      runners(backend::make_http_backend(http)), store(*table, sleep_for),
      configuration(store, make_signature()), history(store, make_signature()),
      fleet(*vms, store, http, make_load_source(*runners)),
      jobs(
          *table,
          given.charts,
          [this]
          {
              return this->identifiers.next("op-");
          },
          read_wall_clock_ms)
{
}

edit_hook client::make_signature()
{
    return [this](configuration::edit& wanted)
    {
        wanted.operator_name = this->settings.operator_name;
        wanted.operation_id = this->identifiers.next("op-");
        wanted.time_ms = read_wall_clock_ms();
    };
}

} // namespace chicory::control
