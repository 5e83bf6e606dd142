#include "platform/platform.hpp"
#include "tests/support/mutate.hpp"

#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <random>
#include <sstream>

namespace chicory::platform
{

namespace
{

/// Calls a parser with mutated forms of a document and expects a value or an
/// invalid_input error for each. Also expects that both occur, as otherwise the
/// mutations would cover only one of the cases.
template <class Read>
void fuzz_parser(const std::string& document, Read parse)
{
    std::mt19937_64 generator(20261204);
    std::uint64_t rejected = 0;
    std::uint64_t accepted = 0;
    ASSERT_TRUE(parse(document).has_value());
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        const auto found = parse(testing_support::mutate(document, generator));
        if (found)
        {
            ++accepted;
            continue;
        }
        ASSERT_EQ(found.error().kind, error_kind::invalid_input);
        ASSERT_FALSE(found.error().text.empty());
        ++rejected;
    }
    EXPECT_GT(rejected, 0U);
    EXPECT_GT(accepted, 0U);
}

} // namespace

TEST(document_fuzz, damaged_configurations_end_in_a_value_or_a_typed_error)
{
    fuzz_parser(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/x/",
        "route_kind":"batch","timeout_ms":5000,"split":[{"service":"s",
        "weight":90},{"service":"t","weight":10}],"max_attempts":2,
        "retention_s":60.5,"max_count":100}],"services":[{"name":"s",
        "engine":{"slots":8}}],"limits":{"max_header_bytes":16384}})",
        [](const std::string& bytes)
        {
            return read_configuration(bytes);
        });
}

TEST(document_fuzz, damaged_runner_entries_end_in_a_value_or_a_typed_error)
{
    fuzz_parser(
        R"({"service":"c","addr":"10.0.0.9:8080","zone":"z1","slots":8,
        "version":"v1","cold_left_ms":0,"state":"ready","born":1791261950012,
        "seq":4,"models":[{"name":"m","version":1}]})",
        [](const std::string& bytes)
        {
            ports::record source;
            source.key = "i-1";
            source.value = bytes;
            return read_runner(source);
        });
}

TEST(document_fuzz, damaged_submissions_end_in_a_value_or_a_typed_error)
{
    fuzz_parser(
        R"({"requests":[{"id":"e5","path":"/x/3","headers":{"X-Model":"m"},
        "body":"q83vEjRWeJA=","tokens":940}]})",
        [](const std::string& bytes)
        {
            return read_submission(bytes);
        });
}

// Proves that a runner parses the request that was meant, whatever a submission
// holds: one request, with the item's id, and no byte after it.
TEST(document_fuzz, submissions_do_not_change_what_a_runner_parses)
{
    namespace http = boost::beast::http;
    constexpr std::array<const char*, 12> inserted = {
        "\\r\\n",
        "\\n",
        "\\r",
        "\\r\\n\\r\\nPOST /y HTTP/1.1\\r\\nX-Attempt-Id: f\\r\\n\\r\\n",
        "\\u0000",
        "\\u0085",
        " ",
        ": ",
        "\\t",
        " HTTP/1.1\\r\\nA: b",
        "Content-Length",
        "Transfer-Encoding\":\"chunked"};
    const std::string document =
        R"({"requests":[{"id":"e5","path":"/x/3","headers":{"X-Model":"m"},
        "body":"q83vEjRWeJA=","tokens":940}]})";
    std::mt19937_64 generator(20261204);
    std::uint64_t sent = 0;
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        std::string submission = document;
        submission.insert(
            generator() % submission.size(),
            inserted.at(generator() % inserted.size()));
        const auto items = read_submission(submission);
        if (!items)
        {
            ASSERT_TRUE(net::is_field_value(items.error().text));
            continue;
        }
        const job_item& item = items.value().front();
        const net::http_request meant =
            make_item_request(item, "a.example", "i-1", "");
        http::request<http::string_body> message;
        message.version(11);
        message.method_string(meant.method);
        message.target(meant.target);
        for (const auto& [name, value] : meant.headers)
        {
            message.set(name, value);
        }
        message.body() = meant.body;
        message.prepare_payload();
        std::ostringstream bytes;
        bytes << message;
        const std::string text = bytes.str();
        http::request_parser<http::string_body> parser;
        parser.eager(true);
        boost::beast::error_code code;
        const std::size_t read = parser.put(boost::asio::buffer(text), code);
        ASSERT_FALSE(code) << submission;
        ASSERT_TRUE(parser.is_done()) << submission;
        ASSERT_EQ(read, text.size()) << submission;
        ASSERT_EQ(parser.get().target(), item.path);
        ASSERT_EQ(parser.get()["x-attempt-id"], item.id);
        ASSERT_EQ(parser.get().body(), item.body);
        // One more for the length of the body.
        ASSERT_EQ(
            static_cast<std::size_t>(
                std::distance(parser.get().begin(), parser.get().end())),
            meant.headers.size() + 1)
            << submission;
        ++sent;
    }
    EXPECT_GT(sent, 0U);
}

TEST(document_fuzz, damaged_targets_and_headers_are_parsed)
{
    std::mt19937_64 generator(20261204);
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        const std::string target =
            testing_support::mutate("/-/lots/7c?after=12&id=%41b+c", generator);
        find_job_call("GET", target);
        parse_entry_query(target);
        net::http_headers headers;
        headers["x-deadline-ms"] = testing_support::mutate("5000", generator);
        headers["x-token-counts"] =
            testing_support::mutate("1460,80", generator);
        headers["connection"] =
            testing_support::mutate("keep-alive, x-hop", generator);
        net::http_response head;
        head.headers["x-instance-load"] =
            testing_support::mutate("3,1,8,85", generator);
        const serving::runner_load load = parse_runner_load(head);
        ASSERT_GE(load.running, 0);
        ASSERT_GE(load.time_percent, 0);
        ASSERT_LE(load.time_percent, 1000);
        const caller_parameters parameters = parse_caller_parameters(headers);
        ASSERT_FALSE(
            make_runner_headers(headers, {"i-1", parameters.time_limit, ""})
                .empty());
    }
}

} // namespace chicory::platform
