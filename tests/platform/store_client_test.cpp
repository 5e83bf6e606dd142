#include "platform/platform.hpp"
#include "tests/support/scripted_server.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicory::platform
{

namespace
{

/// Returns the outcome of a transaction that the store refuses with a body.
result<ports::record_outcome> refuse(const std::string& body)
{
    boost::asio::io_context io(1);
    testing_support::scripted_server store(
        io,
        [&body](const testing_support::scripted_request&)
        {
            return testing_support::scripted_response{
                "HTTP/1.1 412 Precondition Failed\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body};
        });
    store_client_settings settings;
    settings.address = {"127.0.0.1", store.port()};
    store_client client(
        io.get_executor(),
        settings,
        []
        {
            return std::vector<net::endpoint>();
        });
    ports::record_transaction request;
    request.conditions.push_back({"jobs", "j1", 4});
    std::optional<result<ports::record_outcome>> outcome;
    boost::asio::co_spawn(
        io,
        [&]() -> boost::asio::awaitable<void>
        {
            outcome = co_await client.transact(std::move(request));
        },
        boost::asio::detached);
    while (!outcome)
    {
        io.run_one();
    }
    return std::move(*outcome);
}

} // namespace

// Guards against a job that is taken for removed, and a route that takes no
// more jobs, because the rows of a refusal could not be read.
TEST(store_client_test, a_refusal_without_its_rows_shows_nothing)
{
    for (const std::string body :
         {"",
          "oops",
          "{}",
          R"({"row_version":9})",
          R"({"row_version":9,"rows":{}})",
          R"({"row_version":9,"rows":[{"table":"jobs","key":"j1"}]})"})
    {
        const auto outcome = refuse(body);
        ASSERT_FALSE(outcome) << body;
        EXPECT_EQ(outcome.error().kind, error_kind::unavailable) << body;
    }
}

TEST(store_client_test, a_refusal_brings_the_rows)
{
    const auto gone = refuse(R"({"row_version":9,"rows":[]})");
    ASSERT_TRUE(gone);
    EXPECT_FALSE(gone.value().committed);
    EXPECT_TRUE(gone.value().conflicts.empty());
    const auto found =
        refuse(R"({"row_version":9,"rows":[{"table":"jobs","part":"p",
        "key":"j1","value":"aGk=","row_version":7}]})");
    ASSERT_TRUE(found);
    ASSERT_EQ(found.value().conflicts.size(), 1U);
    EXPECT_EQ(found.value().conflicts[0].version, 7);
}

} // namespace chicory::platform
