#include "servers/batch/call_head.hpp"
#include "servers/batch/submission.hpp"
#include "tests/support/memory_platform.hpp"

#include <gtest/gtest.h>

namespace chicory::batch
{

using testing_support::call_fault;
using testing_support::memory_objects;
using testing_support::memory_table;
using testing_support::run_to_end;

namespace
{

/// An exchange whose body arrives in pieces of at most seven bytes.
class fake_exchange final : public net::http_exchange
{
public:
    explicit fake_exchange(std::string source) : body(std::move(source))
    {
    }

    const net::http_request& head() const override
    {
        return this->request;
    }

    boost::asio::awaitable<result<std::string>> read_body(std::size_t) override
    {
        co_return this->body;
    }

    boost::asio::awaitable<result<std::string>> read_some() override
    {
        std::string piece = this->body.substr(0, 7);
        this->body.erase(0, piece.size());
        if (this->on_end && piece.empty())
        {
            this->on_end();
        }
        co_return piece;
    }

    boost::asio::awaitable<result<void>> respond(net::http_response) override
    {
        co_return boost::outcome_v2::success();
    }

    boost::asio::awaitable<result<void>>
    start_stream(net::http_response) override
    {
        co_return boost::outcome_v2::success();
    }

    boost::asio::awaitable<result<void>> write_chunk(std::string_view) override
    {
        co_return boost::outcome_v2::success();
    }

    result<void> send_chunk(std::string_view) override
    {
        return boost::outcome_v2::success();
    }

    std::size_t unsent_bytes() const override
    {
        return 0;
    }

    void set_progress_hook(std::function<void(bool)>) override
    {
    }

    boost::asio::awaitable<result<void>> end_stream() override
    {
        co_return boost::outcome_v2::success();
    }

    void watch_disconnect(std::function<void(net::connection_side)>) override
    {
    }

    std::function<void()> on_end;

private:
    net::http_request request;
    std::string body;
};

std::string make_lines(int count)
{
    std::string lines;
    for (int number = 0; number < count; ++number)
    {
        lines += R"({"custom_id":"i)" + std::to_string(number) +
                 R"(","url":"/v1/completions","body":{}})" + "\n";
    }
    return lines;
}

class submission_test : public testing::Test
{
protected:
    boost::asio::io_context context;
    memory_table service;
    memory_objects store;
    metrics counters;
    job_table table{context.get_executor(), service, counters};
    lifecycles charts =
        load_lifecycles(std::string(CHICORY_SOURCE_DIR) + "/charts").value();
    identifier_source identifiers{1};
    submission submissions{table, store, charts, identifiers};

    submission_outcome submit(
        const std::string& lines,
        const std::string& key = {},
        const std::function<void()>& on_end = {})
    {
        fake_exchange exchange(lines);
        exchange.on_end = on_end;
        submission_request request;
        request.route.member = "kremstal";
        request.key = key;
        return run_to_end(
            this->context, this->submissions.accept(exchange, request));
    }
};

} // namespace

TEST_F(submission_test, accepted_job_is_stored_completely)
{
    const submission_outcome outcome = this->submit(make_lines(40));
    const accepted_job& job = std::get<accepted_job>(outcome);
    EXPECT_EQ(job.record.items, 40U);
    EXPECT_EQ(job.record.chunks, 3U);
    std::string lines;
    for (std::uint64_t number = 0; number < 3; ++number)
    {
        lines += this->store.objects.at(
            items_name(job.record.id, chunk_name(number)));
    }
    EXPECT_EQ(lines, make_lines(40));
    EXPECT_TRUE(this->service.rows.contains(job_row_key(job.record.id)));
    EXPECT_TRUE(this->service.rows.contains(open_row_key(job.record.id)));
}

TEST_F(submission_test, invalid_line_rejects_the_job)
{
    const submission_outcome outcome =
        this->submit(make_lines(40) + "{\"custom_id\":1}\n");
    EXPECT_TRUE(std::get<refusal>(outcome).text.starts_with("line 41: "));
    EXPECT_TRUE(this->service.rows.empty());
}

TEST_F(submission_test, same_key_gives_the_same_job_or_a_conflict)
{
    const accepted_job first =
        std::get<accepted_job>(this->submit(make_lines(20), "key"));
    const accepted_job second =
        std::get<accepted_job>(this->submit(make_lines(20), "key"));
    EXPECT_EQ(second.record.id, first.record.id);
    EXPECT_FALSE(second.is_new);
    const refusal other =
        std::get<refusal>(this->submit(make_lines(21), "key"));
    EXPECT_EQ(other.status, 409);
    const accepted_job free =
        std::get<accepted_job>(this->submit(make_lines(20), "other"));
    EXPECT_NE(free.record.id, first.record.id);
}

TEST_F(submission_test, concurrent_submissions_give_one_job)
{
    accepted_job winner;
    const submission_outcome outcome = this->submit(
        make_lines(20),
        "key",
        [this, &winner]
        {
            boost::asio::io_context other;
            fake_exchange exchange(make_lines(20));
            submission_request request;
            request.route.member = "kremstal";
            request.key = "key";
            winner = std::get<accepted_job>(
                run_to_end(other, this->submissions.accept(exchange, request)));
        });
    EXPECT_EQ(std::get<accepted_job>(outcome).record.id, winner.record.id);
}

TEST_F(submission_test, dropped_response_of_the_acceptance_gives_one_job)
{
    this->service.transaction_faults = {call_fault::response_lost};
    const accepted_job job =
        std::get<accepted_job>(this->submit(make_lines(20), "key"));
    EXPECT_TRUE(job.is_new);
    EXPECT_EQ(this->service.transactions, 1);
}

TEST_F(submission_test, an_outage_refuses_the_job_as_not_accepted)
{
    this->service.transaction_faults = {call_fault::down};
    const refusal table_down = std::get<refusal>(this->submit(make_lines(1)));
    EXPECT_EQ(table_down.status, 503);
    EXPECT_TRUE(table_down.not_accepted);
    EXPECT_EQ(table_down.code, reason::table_service_unavailable);
    this->store.put_faults.assign(4, call_fault::down);
    const refusal store_down = std::get<refusal>(this->submit(make_lines(1)));
    EXPECT_EQ(store_down.code, reason::object_store_unavailable);
    EXPECT_TRUE(this->service.rows.empty());
}

TEST(call_head, job_calls_are_parsed)
{
    const auto kind = [](const std::string& method, const std::string& target)
    {
        return parse_job_call(method, target).kind;
    };
    EXPECT_EQ(kind("POST", "/v1/batches?route=a"), job_call_kind::submit);
    EXPECT_EQ(kind("GET", "/v1/batches/job-1"), job_call_kind::show);
    EXPECT_EQ(kind("GET", "/v1/batches/job-1/results"), job_call_kind::results);
    EXPECT_EQ(kind("POST", "/v1/batches/job-1/cancel"), job_call_kind::cancel);
    EXPECT_EQ(kind("GET", "/v1/batches/../x"), job_call_kind::unknown);
    EXPECT_EQ(kind("GET", "/v1/batches"), job_call_kind::unknown);
    EXPECT_EQ(parse_job_call("GET", "/v1/batches/job-1/results").job, "job-1");
}

TEST(call_head, submissions_need_a_key_of_the_route)
{
    dispatching::fleet_cache fleet;
    net::http_request head;
    head.target = "/v1/batches?route=letters";
    const auto refuse = [&fleet, &head]()
    {
        return std::get<refusal>(check_submission(head, fleet));
    };
    EXPECT_EQ(refuse().code, reason::no_configuration);
    configuration::table_set tables;
    tables.revision = 1;
    tables.routes["letters"].name = "letters";
    tables.routes["letters"].key_digests = {sha256_hex("secret")};
    fleet.update_tables(tables);
    EXPECT_EQ(refuse().code, reason::unauthenticated);
    head.headers["authorization"] = "Bearer wrong";
    EXPECT_EQ(refuse().code, reason::forbidden);
    head.headers["authorization"] = "Bearer secret";
    EXPECT_EQ(
        std::get<submission_request>(check_submission(head, fleet)).route.name,
        "letters");
    head.headers["x-deadline-ms"] = "soon";
    EXPECT_EQ(refuse().code, reason::invalid_request);
    head.target = "/v1/batches?route=other";
    const refusal unknown = refuse();
    EXPECT_EQ(unknown.code, reason::forbidden);
    // The refusal for a route of another member is the same as for a route
    // that does not exist.
    tables.revision = 2;
    tables.routes["other"].name = "other";
    tables.routes["other"].key_digests = {sha256_hex("another secret")};
    fleet.update_tables(tables);
    EXPECT_EQ(refuse().status, unknown.status);
    EXPECT_EQ(refuse().code, unknown.code);
    EXPECT_EQ(refuse().text, unknown.text);
}

} // namespace chicory::batch
