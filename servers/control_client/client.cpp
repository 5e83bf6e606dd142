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

platform::store_client_settings
make_store_settings(const client_settings& source)
{
    platform::store_client_settings settings;
    settings.address = source.record_store;
    settings.read_limit = source.platform.call_limit;
    settings.write_limit = source.platform.call_limit;
    return settings;
}

} // namespace

client::client(
    asio::io_context& context, const client_settings& initial_settings)
    : settings(initial_settings), http(context.get_executor()),
      table(drivers::make_table_service(http, initial_settings.platform)),
      vms(drivers::make_vm_list(http, initial_settings.platform)),
      runners(backend::make_http_backend(http)), store(*table, sleep_for),
      configuration(store, make_edit_hook()), history(store, make_edit_hook()),
      fleet(*vms, store, http, make_load_source(*runners)),
      jobs(
          *table,
          initial_settings.charts,
          [this]
          {
              return this->identifiers.next("op-");
          },
          read_wall_clock_ms),
      records(
          context.get_executor(),
          make_store_settings(initial_settings),
          []
          {
              return std::vector<net::endpoint>();
          }),
      quarantines(records)
{
}

edit_hook client::make_edit_hook()
{
    return [this](configuration::edit& edit)
    {
        edit.operator_name = this->settings.operator_name;
        edit.operation_id = this->identifiers.next("op-");
        edit.time_ms = read_wall_clock_ms();
    };
}

} // namespace chicory::control
