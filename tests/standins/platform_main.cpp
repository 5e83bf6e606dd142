#include "tests/standins/platform_standin.hpp"
#include "tests/standins/serve.hpp"

#include <CLI/CLI.hpp>

#include <cstdint>

int main(int argument_count, char** arguments)
{
    CLI::App app("Stand-in for the platform's services");
    chicory::net::endpoint local{"127.0.0.1", 0};
    std::uint64_t seed = 0;
    app.add_option("--address", local.address, "IP address to listen on");
    app.add_option("--port", local.port, "Port; 0 selects a free port");
    app.add_option("--seed", seed, "Seed of the delays of slow calls");
    CLI11_PARSE(app, argument_count, arguments);

    boost::asio::io_context context(1);
    chicory::standin::platform_standin platform(seed);
    const chicory::net::http_handler handler =
        [&platform](chicory::net::http_exchange& exchange)
    {
        return platform.handle(exchange);
    };
    return chicory::standin::serve(context, local, handler);
}
