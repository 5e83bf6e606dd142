#include "tests/faults/fault_proxy.hpp"
#include "tests/standins/serve.hpp"

#include <CLI/CLI.hpp>

#include <cstdint>

int main(int argument_count, char** arguments)
{
    CLI::App app("Fault-injecting proxy for TCP and UDP");
    chicory::net::endpoint local{"127.0.0.1", 0};
    std::uint64_t seed = 1;
    app.add_option(
        "--address", local.address, "IP address of the control interface");
    app.add_option(
        "--port",
        local.port,
        "Port of the control interface; 0 selects a free port");
    app.add_option(
        "--seed", seed, "Seed of random losses, reordering and delays");
    CLI11_PARSE(app, argument_count, arguments);

    boost::asio::io_context context(1);
    chicory::faults::fault_proxy proxy(context.get_executor(), seed);
    const chicory::net::http_handler handler =
        [&proxy](chicory::net::http_exchange& exchange)
    {
        return proxy.handle(exchange);
    };
    return chicory::standin::serve(context, local, handler);
}
