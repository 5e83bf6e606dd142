// Guards against unbounded memory use and descriptor leaks of a node whose
// runners send endless responses. The node is a separate process, so that its
// memory and descriptors can be measured.

#include "tests/process/child_process.hpp"
#include "tests/process/http_call.hpp"
#include "tests/process/node_settings_text.hpp"
#include "tests/standins/store_standin.hpp"
#include "tests/support/endless_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>

namespace chicory::process
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr std::chrono::seconds time_limit(30);
constexpr int concurrent_calls = 64;
/// Limit of the peak resident memory of the node.
constexpr std::int64_t max_memory_kb = 48 * 1024;

const std::string configuration =
    R"({"version":1,"routes":[{"name":"ask","host":"a.example",
    "prefix":"/ask/","route_kind":"streaming","timeout_ms":20000,
    "target_latency_ms":5000,"service":"chat","max_attempts":1,
    "resumable":false}],"services":[{"name":"chat","engine":{"slots":64}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":100000,
    "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

const std::string stream_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

class endless_answers_test
    : public testing::TestWithParam<
          std::pair<const char*, testing_support::endless_bytes>>
{
protected:
    endless_answers_test()
        : store(this->io), runner(this->io), http(this->io.get_executor())
    {
        const std::filesystem::path folder =
            std::filesystem::temp_directory_path() /
            ("chicory-endless-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder);
        this->files = folder;
    }

    ~endless_answers_test() override
    {
        this->node.reset();
        std::filesystem::remove_all(this->files);
    }

    void start()
    {
        this->runner.responses = {this->GetParam().second};
        this->store.put("op", "", "config", configuration);
        this->store.put(
            "servers",
            "",
            "i-9",
            R"({"service":"chat","addr":"127.0.0.1:)" +
                std::to_string(this->runner.address().port) +
                R"(","zone":"z1","version":"v1","cold_left_ms":0,"slots":64,)" +
                R"("state":"ready","born":1,"seq":1})");
        const std::filesystem::path settings = this->files / "node.toml";
        std::ofstream(settings) << make_node_settings(
            this->requests, this->readiness, this->store.listen(), "error");
        this->node = std::make_unique<child_process>(
            std::string(CHICORY_BINARY_DIR) + "/chicory-node",
            std::vector<std::string>{"--settings", settings.string()},
            (this->files / "node.log").string());
        int status = 0;
        this->wait_until(
            [&]
            {
                net::http_request request;
                request.target = "/-/readyz";
                asio::co_spawn(
                    this->io,
                    this->send_request(this->readiness, request, status),
                    asio::detached);
                return status == 200;
            });
    }

    asio::awaitable<void>
    send_request(net::endpoint target, net::http_request request, int& status)
    {
        const result<net::http_response> response = co_await this->http.request(
            std::move(target), std::move(request), time_limit);
        status = response ? response.value().status : -1;
    }

    void wait_until(const std::function<bool()>& condition)
    {
        const time_point until = read_monotonic_clock() + duration(time_limit);
        while (!condition())
        {
            ASSERT_LT(read_monotonic_clock(), until);
            this->io.run_for(20ms);
        }
    }

    asio::io_context io{1};
    standins::store_standin store;
    testing_support::endless_server runner;
    net::http_client http;
    net::endpoint requests{"127.0.0.1", find_free_port()};
    net::endpoint readiness{"127.0.0.1", find_free_port()};
    std::filesystem::path files;
    std::unique_ptr<child_process> node;
};

TEST_P(endless_answers_test, use_bounded_memory_and_leak_no_descriptors)
{
    this->start();
    const std::size_t descriptors = this->node->open_descriptors();
    std::vector<int> statuses(concurrent_calls, 0);
    for (int index = 0; index < concurrent_calls; ++index)
    {
        net::http_request request;
        request.method = "POST";
        request.target = "/ask/x";
        request.headers["host"] = "a.example";
        request.headers["x-attempt-id"] = "t" + std::to_string(index);
        request.headers["x-deadline-ms"] = "20000";
        request.headers["connection"] = "close";
        request.body = std::to_string(index);
        asio::co_spawn(
            this->io,
            this->send_request(
                this->requests,
                std::move(request),
                statuses[static_cast<std::size_t>(index)]),
            asio::detached);
    }
    this->wait_until(
        [&]
        {
            return std::none_of(
                statuses.begin(),
                statuses.end(),
                [](int status)
                {
                    return status == 0;
                });
        });
    EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 200), 0);
    EXPECT_GT(this->runner.unfinished_responses, 0U);
    EXPECT_LT(this->runner.max_sent_bytes, testing_support::max_endless_bytes);
    EXPECT_LT(this->node->peak_resident_kb(), max_memory_kb);
    this->wait_until(
        [&]
        {
            return this->node->open_descriptors() <= descriptors;
        });
    EXPECT_TRUE(this->node->is_running());
}

INSTANTIATE_TEST_SUITE_P(
    all,
    endless_answers_test,
    testing::Values(
        std::pair(
            "header_lines",
            testing_support::endless_bytes{
                "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"}),
        std::pair(
            "one_event",
            testing_support::endless_bytes{stream_head + "\r\n", "x"}),
        std::pair(
            "events",
            testing_support::endless_bytes{
                stream_head + "\r\n", "data: text\n\n"}),
        std::pair(
            "chunk_extension",
            testing_support::endless_bytes{
                stream_head + "Transfer-Encoding: chunked\r\n\r\n5;a=", "b"}),
        std::pair(
            "whole_body",
            testing_support::endless_bytes{"HTTP/1.1 200 OK\r\n\r\n", "x"})),
    [](const auto& tested)
    {
        return std::string(tested.param.first);
    });

} // namespace

} // namespace chicory::process
