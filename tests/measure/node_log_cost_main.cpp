#include "net/net.hpp"
#include "tests/process/http_call.hpp"
#include "tests/process/node_settings_text.hpp"
#include "tests/standins/engine_standin.hpp"
#include "tests/standins/store_standin.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <thread>

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using chicory::net::endpoint;

constexpr std::chrono::seconds timeout(30);

/// How the log of the node is written and read.
enum class log_mode
{
    /// Only errors are logged.
    off,
    /// The log goes to a pipe that is read continuously.
    read,
    /// The log goes to a pipe that is never read and fills up.
    not_read,
};

constexpr chicory::enum_table<log_mode, 3> log_mode_names = {{
    {log_mode::off, "off"},
    {log_mode::read, "read"},
    {log_mode::not_read, "not_read"},
}};

const std::string configuration =
    R"({"version":1,"routes":[{"name":"ask","host":"a.example",
    "prefix":"/ask/","route_kind":"streaming","timeout_ms":20000,
    "target_latency_ms":5000,"service":"chat","max_attempts":1,
    "resumable":false}],"services":[{"name":"chat","engine":{"slots":64}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":100000,
    "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// Runs a node as a separate process against stand-ins of the store and of an
/// engine, and measures its processor time.
class log_cost_trial
{
public:
    log_cost_trial(std::string program, log_mode log)
        : binary(std::move(program)), mode(log), store(this->io),
          engine(this->io, "i-1"), http(this->io.get_executor())
    {
    }

    /// Returns the processor time of the node per request in microseconds, or
    /// -1 when a request did not get a response with status 200 in time.
    double run(int requests, int concurrency)
    {
        const std::uint16_t store_port = this->store.listen();
        this->engine.listen();
        this->store.put("op", "", "config", configuration);
        this->store.put(
            "servers", "", this->engine.id(), this->engine.entry("ready"));
        this->spawn(this->write_settings(store_port));
        const bool ready = this->wait_until(
            [this]
            {
                return this->get_readiness() == 200;
            });
        const double before_us = this->read_cpu_us();
        for (int index = 0; ready && index < concurrency; ++index)
        {
            asio::co_spawn(
                this->io,
                this->send_requests(requests / concurrency),
                asio::detached);
        }
        const int expected_count = requests / concurrency * concurrency;
        const bool all_ended = this->wait_until(
            [this, expected_count]
            {
                return this->ended == expected_count;
            });
        const double spent_us = this->read_cpu_us() - before_us;
        this->stop();
        return all_ended && this->succeeded == expected_count
                   ? spent_us / expected_count
                   : -1.0;
    }

private:
    std::string write_settings(std::uint16_t store_port)
    {
        this->requests = {"127.0.0.1", chicory::process::find_free_port()};
        this->readiness = {"127.0.0.1", chicory::process::find_free_port()};
        std::string path = "/tmp/chicory-node-log-cost-XXXXXX";
        const int file = mkstemp(path.data());
        if (file >= 0)
        {
            close(file);
        }
        std::ofstream(path) << chicory::process::make_node_settings(
            this->requests,
            this->readiness,
            store_port,
            this->mode == log_mode::off ? "error" : "info");
        return path;
    }

    void spawn(const std::string& settings)
    {
        this->settings_path = settings;
        if (pipe2(this->log_pipe.data(), O_CLOEXEC) != 0)
        {
            return;
        }
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(
            &actions, this->log_pipe[1], STDOUT_FILENO);
        std::string option = "--settings";
        std::array<char*, 4> arguments = {
            this->binary.data(),
            option.data(),
            this->settings_path.data(),
            nullptr};
        if (posix_spawn(
                &this->child,
                this->binary.c_str(),
                &actions,
                nullptr,
                arguments.data(),
                environ) != 0)
        {
            this->child = 0;
        }
        posix_spawn_file_actions_destroy(&actions);
        close(this->log_pipe[1]);
        if (this->mode != log_mode::not_read)
        {
            this->reader = std::thread(
                [source = this->log_pipe[0]]
                {
                    std::array<char, 65536> bytes{};
                    while (read(source, bytes.data(), bytes.size()) > 0)
                    {
                    }
                });
        }
    }

    void stop()
    {
        if (this->child > 0)
        {
            kill(this->child, SIGKILL);
            waitpid(this->child, nullptr, 0);
        }
        if (this->reader.joinable())
        {
            this->reader.join();
        }
        close(this->log_pipe[0]);
        unlink(this->settings_path.c_str());
    }

    /// Returns the processor time that the node has used, in microseconds.
    double read_cpu_us() const
    {
        std::ifstream file(
            "/proc/" + std::to_string(this->child) + "/schedstat");
        double nanoseconds = 0.0;
        file >> nanoseconds;
        return nanoseconds / 1000.0;
    }

    bool wait_until(const std::function<bool()>& condition)
    {
        const chicory::time_point deadline =
            chicory::read_monotonic_clock() + chicory::duration(timeout);
        while (!condition())
        {
            if (chicory::read_monotonic_clock() > deadline)
            {
                return false;
            }
            this->io.run_for(5ms);
        }
        return true;
    }

    int get_readiness()
    {
        int status = 0;
        bool done = false;
        asio::co_spawn(
            this->io,
            [&]() -> asio::awaitable<void>
            {
                chicory::net::http_request request;
                request.target = "/-/readyz";
                const chicory::result<chicory::net::http_response> response =
                    co_await this->http.request(
                        this->readiness, std::move(request), timeout);
                status = response ? response.value().status : 0;
                done = true;
            },
            asio::detached);
        while (!done)
        {
            this->io.run_for(5ms);
        }
        return status;
    }

    asio::awaitable<void> send_requests(int count)
    {
        for (int index = 0; index < count; ++index)
        {
            chicory::net::http_request request;
            request.method = "POST";
            request.target = "/ask/x";
            request.headers["host"] = "a.example";
            request.headers["x-attempt-id"] =
                std::to_string(this->next_attempt++);
            request.headers["x-deadline-ms"] = "20000";
            request.headers["x-model"] = "m";
            request.body = std::string(1000, 'b');
            const chicory::result<chicory::net::http_response> response =
                co_await this->http.request(
                    this->requests, std::move(request), timeout);
            this->succeeded +=
                response && response.value().status == 200 ? 1 : 0;
            ++this->ended;
        }
    }

    asio::io_context io{1};
    std::string binary;
    log_mode mode;
    chicory::standins::store_standin store;
    chicory::standins::engine_standin engine;
    chicory::net::http_client http;
    endpoint requests;
    endpoint readiness;
    std::string settings_path;
    std::array<int, 2> log_pipe = {-1, -1};
    std::thread reader;
    pid_t child = 0;
    int next_attempt = 0;
    int succeeded = 0;
    int ended = 0;
};

} // namespace

int main(int argc, char** argv)
{
    std::string program = "build/chicory-node";
    int requests = 4000;
    int concurrency = 16;
    CLI::App app(
        "Measures the processor time per request of a node by use of its log.");
    app.add_option("--node", program, "Path of chicory-node");
    app.add_option("--requests", requests, "Requests of each trial");
    app.add_option("--at-once", concurrency, "Number of concurrent requests");
    CLI11_PARSE(app, argc, argv);
    for (const auto& [mode, name] : log_mode_names)
    {
        log_cost_trial measured(program, mode);
        std::printf(
            "node_log_cost log=%s requests=%d cpu_us=%.0f\n",
            std::string(name).c_str(),
            requests,
            measured.run(requests, concurrency));
    }
    return 0;
}
