#include "tests/process/child_process.hpp"
#include "tests/process/http_call.hpp"
#include "tests/process/wait.hpp"
#include "tests/standins/generated_response.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace chicory::faults
{

namespace json = boost::json;
using process::child_process;
using process::get;
using process::parse_body;
using process::post;

namespace
{

const std::string binary_folder = CHICORY_BINARY_DIR "/tests/";
const std::string completions = "/v1/completions";
const std::string short_body = R"({"max_tokens":2})";

/// Starts a backend server and a proxy with one leg to it.
class proxy_test : public testing::Test
{
protected:
    proxy_test()
        : folder(
              testing::TempDir() + "proxy_test_" + std::to_string(::getpid())),
          runner(
              binary_folder + "standin-runner",
              {"--first-token-ms",
               "1",
               "--token-ms",
               "1",
               "--log",
               this->make_folder() + "/run.log"},
              this->folder + "/runner.out"),
          proxy(binary_folder + "fault-proxy", {}, this->folder + "/proxy.out"),
          runner_port(this->runner.wait_for_port()),
          control(this->proxy.wait_for_port())
    {
        const json::object leg{
            {"name", "leg"},
            {"target_port", this->runner_port},
            {"from", "a"},
            {"to", "b"}};
        this->port = this->call_proxy("/legs", leg)
                         .at("port")
                         .to_number<std::uint16_t>();
    }

    ~proxy_test() override
    {
        std::filesystem::remove_all(this->folder);
    }

    const std::string& make_folder()
    {
        std::filesystem::create_directories(this->folder);
        return this->folder;
    }

    json::value
    call_proxy(const std::string& target, const json::object& request)
    {
        return parse_body(
            post(this->control, target, json::serialize(request)));
    }

    std::size_t count_runs()
    {
        return parse_body(get(this->runner_port, "/control/log"))
            .at("runs")
            .as_array()
            .size();
    }

    std::string folder;
    child_process runner;
    child_process proxy;
    std::uint16_t runner_port;
    std::uint16_t control;
    std::uint16_t port = 0;
};

} // namespace

TEST_F(proxy_test, forwards_responses_unchanged)
{
    const net::http_response response =
        post(this->port, completions, short_body);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(
        response.body,
        standin::generated_response(completions, short_body).all_bytes());
}

TEST_F(proxy_test, loses_a_request_at_a_given_text)
{
    this->call_proxy(
        "/rules", {{"leg", "leg"}, {"text", "max_tokens"}, {"fault", "reset"}});
    EXPECT_EQ(post(this->port, completions, short_body).status, 0);
    EXPECT_EQ(this->count_runs(), 0U);
    EXPECT_EQ(post(this->port, completions, short_body).status, 200);
}

TEST_F(proxy_test, loses_a_response_after_the_run)
{
    this->call_proxy(
        "/rules",
        {{"leg", "leg"},
         {"direction", "response"},
         {"text", "HTTP/1.1 200"},
         {"fault", "reset"}});
    EXPECT_EQ(post(this->port, completions, short_body).status, 0);
    EXPECT_EQ(this->count_runs(), 1U);
}

TEST_F(proxy_test, holds_bytes_until_they_are_released)
{
    const json::value rule = this->call_proxy(
        "/rules", {{"leg", "leg"}, {"text", "max_tokens"}, {"fault", "hold"}});
    net::http_response response;
    std::thread caller(
        [this, &response]()
        {
            response = post(this->port, completions, short_body);
        });
    EXPECT_TRUE(process::wait_until(
        [this]()
        {
            const json::value rules = parse_body(get(this->control, "/rules"));
            return rules.at(0).at("hits").as_int64() == 1;
        }));
    EXPECT_EQ(this->count_runs(), 0U);
    this->call_proxy("/release", {{"id", rule.at("id")}});
    caller.join();
    EXPECT_EQ(response.status, 200);
}

TEST_F(proxy_test, silences_open_connections_and_lets_new_ones_work)
{
    this->call_proxy(
        "/rules",
        {{"leg", "leg"},
         {"direction", "response"},
         {"text", "HTTP/1.1 200"},
         {"fault", "silence"}});
    net::http_request request;
    request.method = "POST";
    request.target = completions;
    request.body = short_body;
    const duration time_limit = std::chrono::seconds(1);
    EXPECT_EQ(process::call(this->port, request, time_limit).status, 0);
    EXPECT_EQ(post(this->port, completions, short_body).status, 200);
}

TEST_F(proxy_test, cuts_the_legs_between_two_groups_until_healed)
{
    this->call_proxy("/cuts", {{"from", "b"}, {"to", "a"}});
    net::http_request request;
    request.target = "/load";
    const duration time_limit = std::chrono::seconds(1);
    EXPECT_EQ(process::call(this->port, request, time_limit).status, 0);
    this->call_proxy("/heal", {});
    EXPECT_EQ(process::call(this->port, request).status, 200);
}

TEST_F(proxy_test, refuses_new_connections)
{
    this->call_proxy("/faults", {{"leg", "leg"}, {"fault", "refuse"}});
    EXPECT_EQ(get(this->port, "/load").status, 0);
}

TEST_F(proxy_test, forwards_datagrams_in_both_directions_and_applies_loss)
{
    namespace asio = boost::asio;
    using asio::ip::udp;
    asio::io_context context(1);
    const asio::ip::address loopback = asio::ip::make_address("127.0.0.1");
    udp::socket server(context, udp::endpoint(loopback, 0));
    udp::socket client(context, udp::endpoint(loopback, 0));
    const std::uint16_t leg_port =
        this->call_proxy(
                "/legs",
                {{"name", "datagrams"},
                 {"protocol", "udp"},
                 {"target_port", server.local_endpoint().port()}})
            .at("port")
            .to_number<std::uint16_t>();
    std::string buffer(16, ' ');
    udp::endpoint sender;
    client.send_to(asio::buffer("ping", 4), udp::endpoint(loopback, leg_port));
    EXPECT_EQ(server.receive_from(asio::buffer(buffer), sender), 4U);
    server.send_to(asio::buffer("pong!", 5), sender);
    EXPECT_EQ(client.receive_from(asio::buffer(buffer), sender), 5U);
    this->call_proxy(
        "/faults", {{"leg", "datagrams"}, {"fault", "loss"}, {"percent", 100}});
    client.send_to(asio::buffer("lost", 4), udp::endpoint(loopback, leg_port));
    this->call_proxy("/heal", {});
    client.send_to(asio::buffer("last!", 5), udp::endpoint(loopback, leg_port));
    EXPECT_EQ(server.receive_from(asio::buffer(buffer), sender), 5U);
}

TEST_F(proxy_test, resumes_a_run_after_a_broken_connection)
{
    const std::string body = R"({"max_tokens":40,"stream":true})";
    this->call_proxy(
        "/rules",
        {{"leg", "leg"},
         {"direction", "response"},
         {"text", "t5-"},
         {"fault", "reset"}});
    net::http_request request;
    request.method = "POST";
    request.target = completions;
    request.headers["x-run-id"] = "r1";
    request.body = body;
    EXPECT_EQ(process::call(this->port, request).status, 0);
    const net::http_response rest =
        get(this->port, "/runs/r1/answer?offset=10");
    EXPECT_EQ(
        rest.body,
        standin::generated_response(completions, body).all_bytes().substr(10));
    EXPECT_EQ(this->count_runs(), 1U);
}

TEST_F(proxy_test, logs_a_crashing_run_in_the_log_file)
{
    post(this->runner_port, "/control", R"({"crash_mark":"BOOM"})");
    EXPECT_EQ(post(this->port, completions, R"({"prompt":"BOOM"})").status, 0);
    EXPECT_EQ(this->runner.wait(), 70);
    std::ifstream file(this->folder + "/run.log");
    std::string line;
    std::string last;
    while (std::getline(file, line))
    {
        last = line;
    }
    EXPECT_NE(last.find("\"crashed\""), std::string::npos);
}

} // namespace chicory::faults
