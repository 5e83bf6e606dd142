#include "drivers/drivers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace chicory::drivers
{

namespace asio = boost::asio;

namespace
{

/// Fixture with a platform that sends the same response to every call.
class http_platform : public testing::Test
{
protected:
    http_platform()
        : server(
              context.get_executor(),
              [this](net::http_exchange& exchange)
              {
                  return this->respond(exchange);
              }),
          client(context.get_executor())
    {
        EXPECT_TRUE(this->server.listen({"127.0.0.1", 0}));
        const net::endpoint server_address{"127.0.0.1", this->server.port()};
        platform_settings settings;
        settings.table_service = server_address;
        settings.object_store = server_address;
        settings.vm_list = server_address;
        settings.call_limit = std::chrono::seconds(10);
        this->table = make_table_service(this->client, settings);
        this->objects = make_object_store(this->client, settings);
        this->list = make_vm_list(this->client, settings);
    }

    asio::awaitable<void> respond(net::http_exchange& exchange)
    {
        result<std::string> body = co_await exchange.read_body(100000);
        net::http_response copy = this->response;
        co_await exchange.respond(std::move(copy));
    }

    void run(const std::function<asio::awaitable<void>()>& body)
    {
        asio::co_spawn(
            this->context,
            body(),
            [this](const std::exception_ptr&)
            {
                this->context.stop();
            });
        this->context.run();
        this->context.restart();
    }

    /// Runs a transaction, which must fail, and returns the kind of its error.
    error_kind run_failing_transaction()
    {
        error_kind kind = error_kind::internal;
        const auto body = [&]() -> asio::awaitable<void>
        {
            ports::transaction request;
            result<ports::transaction_outcome> outcome =
                co_await this->table->transact(std::move(request));
            EXPECT_FALSE(outcome.has_value());
            kind = outcome ? error_kind::internal : outcome.error().kind;
        };
        this->run(body);
        return kind;
    }

    asio::io_context context;
    net::http_server server;
    net::http_client client;
    net::http_response response;
    std::unique_ptr<ports::table_service> table;
    std::unique_ptr<ports::object_store> objects;
    std::unique_ptr<ports::vm_list> list;
};

} // namespace

TEST_F(http_platform, an_unavailable_service_has_certainly_not_written)
{
    this->response.status = 503;
    EXPECT_EQ(this->run_failing_transaction(), error_kind::unavailable);
}

TEST_F(http_platform, a_malformed_response_leaves_a_write_unknown)
{
    for (const std::string text : {"", "{", "[]", "{\"committed\":7}"})
    {
        this->response.body = text;
        EXPECT_EQ(this->run_failing_transaction(), error_kind::outcome_unknown)
            << text;
    }
    this->response.status = 500;
    EXPECT_EQ(this->run_failing_transaction(), error_kind::outcome_unknown);
}

TEST_F(http_platform, a_refused_connection_has_certainly_not_written)
{
    this->server.stop_accepting();
    EXPECT_EQ(this->run_failing_transaction(), error_kind::unavailable);
}

TEST_F(http_platform, conflicts_contain_the_current_rows)
{
    this->response.body = R"({"committed":false,"versions":[],
        "conflicts":[{"key":"a","value":null,"version":0},
                     {"key":"b","value":"x","version":3}]})";
    const auto body = [this]() -> asio::awaitable<void>
    {
        ports::transaction request;
        result<ports::transaction_outcome> outcome =
            co_await this->table->transact(std::move(request));
        EXPECT_TRUE(outcome.has_value());
        EXPECT_FALSE(outcome.value().committed);
        const std::vector<ports::row> expected = {{"a", "", 0}, {"b", "x", 3}};
        EXPECT_EQ(outcome.value().conflicts, expected);
    };
    this->run(body);
}

TEST_F(http_platform, malformed_lists_give_a_typed_error)
{
    for (const std::string text : {"", "[]", "{\"vms\":7}", "{\"vms\":[{}]}"})
    {
        this->response.body = text;
        const auto body = [this]() -> asio::awaitable<void>
        {
            result<std::vector<ports::listed_vm>> vms =
                co_await this->list->read();
            EXPECT_FALSE(vms.has_value());
        };
        this->run(body);
    }
}

TEST_F(http_platform, a_missing_object_and_an_unavailable_store_differ)
{
    const auto get_error_kind = [this]()
    {
        error_kind kind = error_kind::internal;
        const auto body = [&]() -> asio::awaitable<void>
        {
            std::string name = "jobs/x";
            result<std::string> bytes =
                co_await this->objects->get(std::move(name));
            kind = bytes ? error_kind::internal : bytes.error().kind;
        };
        this->run(body);
        return kind;
    };
    this->response.status = 404;
    EXPECT_EQ(get_error_kind(), error_kind::not_found);
    this->response.status = 503;
    EXPECT_EQ(get_error_kind(), error_kind::unavailable);
}

} // namespace chicory::drivers
