#include "tests/standins/runner_standin.hpp"
#include "tests/standins/serve.hpp"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdint>

int main(int argument_count, char** arguments)
{
    CLI::App app("Stand-in for a backend server");
    chicory::net::endpoint local{"127.0.0.1", 0};
    chicory::standin::runner_settings settings;
    std::int64_t first_token_ms = settings.first_token.count();
    std::int64_t token_ms = settings.token.count();
    std::int64_t load_lag_ms = settings.load_lag.count();
    app.add_option("--address", local.address, "IP address to listen on");
    app.add_option("--port", local.port, "Port; 0 selects a free port");
    app.add_option("--slots", settings.slots, "Concurrent runs at full speed")
        ->check(CLI::PositiveNumber);
    app.add_option("--first-token-ms", first_token_ms, "Time to first token");
    app.add_option("--token-ms", token_ms, "Time between tokens");
    app.add_option("--load-lag-ms", load_lag_ms, "Age of load reports");
    app.add_flag("--plain", settings.plain, "Accept runs on any path");
    app.add_flag(
        "--ignore-fencing",
        settings.ignore_fencing,
        "Accept orders with any fencing number");
    app.add_option(
        "--weights-address",
        settings.weight_store.address,
        "IP address of the platform whose weight store provides models");
    app.add_option(
        "--weights-port",
        settings.weight_store.port,
        "Port of that platform; 0 loads without a weight store");
    app.add_option(
        "--log", settings.log_file, "File to which log events are appended");
    app.add_option(
        "--crash-mark", settings.crash_mark, "A run with this text crashes");
    app.add_option("--seed", settings.seed, "Seed of the token times");
    CLI11_PARSE(app, argument_count, arguments);
    settings.first_token = std::chrono::milliseconds(first_token_ms);
    settings.token = std::chrono::milliseconds(token_ms);
    settings.load_lag = std::chrono::milliseconds(load_lag_ms);

    boost::asio::io_context context(1);
    chicory::standin::runner_standin runner(context.get_executor(), settings);
    const chicory::net::http_handler handler =
        [&runner](chicory::net::http_exchange& exchange)
    {
        return runner.handle(exchange);
    };
    return chicory::standin::serve(context, local, handler);
}
