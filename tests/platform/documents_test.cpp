#include "platform/platform.hpp"
#include "platform/record_document.hpp"

#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>

namespace chicory::platform
{

namespace json = boost::json;

namespace
{

using namespace std::chrono_literals;

TEST(configuration_document_test, parses_routes_services_and_limits)
{
    const auto read = read_configuration(
        R"({"version":7,"routes":[{"name":"r1","host":"a.example",
        "prefix":"/x/","route_kind":"streaming","timeout_ms":5000,
        "target_latency_ms":300,"priority":1,"service":"chat",
        "max_attempts":2,"resumable":true},{"name":"r2","host":"a.example",
        "prefix":"/y/","route_kind":"batch","split":[{"service":"chat",
        "weight":90},{"service":"more","weight":10}],"retention_s":60.0,
        "completion_target_ms":18000,"max_count":1800000}],"services":
        [{"name":"chat","engine":{"slots":8,"kv_capacity":9000}}],"limits":
        {"max_header_bytes":16384,"max_body_bytes":4194304,
        "header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    ASSERT_TRUE(read);
    const serving::serving_configuration& configuration = read.value();
    EXPECT_EQ(configuration.version, 7);
    ASSERT_EQ(configuration.routes.size(), 2U);
    const serving::serving_route& stream = configuration.routes[0];
    EXPECT_EQ(stream.kind, serving::route_kind::streaming);
    EXPECT_EQ(stream.timeout, 5s);
    EXPECT_EQ(stream.target_latency, 300ms);
    EXPECT_EQ(stream.max_attempts, 2);
    EXPECT_TRUE(stream.resumable);
    const serving::serving_route& batch = configuration.routes[1];
    EXPECT_EQ(batch.kind, serving::route_kind::batch);
    EXPECT_EQ(batch.services.size(), 2U);
    EXPECT_EQ(batch.retention, 60s);
    EXPECT_EQ(batch.completion_target, 18s);
    EXPECT_EQ(batch.max_waiting_tokens, 1800000);
    EXPECT_EQ(configuration.service_slots.at("chat"), 8);
    EXPECT_EQ(serving::find_token_capacity(configuration, "chat"), 9000);
    EXPECT_EQ(serving::find_token_capacity(configuration, "other"), 0);
    EXPECT_EQ(configuration.limits.idle_time, 15s);
}

TEST(configuration_document_test, an_unknown_route_kind_is_not_repeatable)
{
    const auto read = read_configuration(
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/",
        "route_kind":"new","service":"s"}]})");
    ASSERT_TRUE(read);
    EXPECT_FALSE(serving::is_repeatable(read.value().routes[0]));
}

TEST(configuration_document_test, rejects_invalid_configurations)
{
    EXPECT_FALSE(read_configuration(""));
    EXPECT_FALSE(read_configuration("[]"));
    EXPECT_FALSE(read_configuration("{}"));
    EXPECT_FALSE(read_configuration(R"({"version":1,"routes":[1]})"));
    EXPECT_FALSE(read_configuration(
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/"}]})"));
}

ports::record make_runner_record(const std::string& value)
{
    ports::record record;
    record.table = "servers";
    record.key = "i-1";
    record.value = value;
    record.version = 3;
    return record;
}

TEST(runner_document_test, parses_an_entry)
{
    const auto read = read_runner(make_runner_record(
        R"({"service":"chat","addr":"10.0.0.9:8080","zone":"z1","slots":8,
        "version":"v1","cold_left_ms":0,"state":"draining",
        "born":1791261950012,"seq":4})"));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().id, "i-1");
    EXPECT_EQ(read.value().address, "10.0.0.9");
    EXPECT_EQ(read.value().port, 8080);
    EXPECT_EQ(read.value().state, serving::runner_state::draining);
    EXPECT_EQ(read.value().started_ms, 1791261950012);
    EXPECT_EQ(read.value().version, 3);
}

TEST(runner_document_test, rejects_damaged_entries)
{
    for (const char* value :
         {"",
          "x",
          "[]",
          R"({"service":"c","addr":"10.0.0.9","zone":"z","slots":8,
          "version":"v1","cold_left_ms":0,"seq":4,"state":"ready"})",
          R"({"service":"c","addr":"10.0.0.9:1","zone":"z","slots":"8",
          "version":"v1","cold_left_ms":0,"seq":4,"state":"ready"})",
          R"({"service":"c","addr":"10.0.0.9:1","zone":"z","slots":8,
          "version":"v1","cold_left_ms":0,"seq":4,"state":"new"})",
          R"({"service":1,"addr":"10.0.0.9:1","zone":"z","slots":8,
          "version":"v1","cold_left_ms":0,"seq":4,"state":"ready"})"})
    {
        EXPECT_FALSE(read_runner(make_runner_record(value))) << value;
    }
}

std::string make_entry(const std::string& field, const std::string& value)
{
    std::string entry = R"({"service":"c","addr":"10.0.0.9:1","zone":"z",)"
                        R"("version":"v1","cold_left_ms":0,"seq":4,)"
                        R"("slots":8,"state":"ready","born":7)";
    const std::size_t start = entry.find('"' + field + "\":");
    if (start == std::string::npos)
    {
        return entry + ",\"" + field + "\":" + value + '}';
    }
    const std::size_t from = start + field.size() + 3;
    const std::size_t end = entry.find(',', from);
    entry.replace(
        from, end == std::string::npos ? std::string::npos : end - from, value);
    return entry + '}';
}

// Guards against requests that are sent to entries which another writer left
// among the runners: an address that is none counted as a runner.
TEST(runner_document_test, an_odd_entry_names_no_runner)
{
    ASSERT_TRUE(read_runner(make_runner_record(make_entry("seq", "1"))));
    const std::string deep = std::string(20000, '[') + std::string(20000, ']');
    const std::vector<std::pair<std::string, std::string>> odd = {
        {"addr", R"("127.0.0.1:80:80")"},
        {"addr", R"("[::1:80")"},
        {"addr", R"("[::1]:80")"},
        {"addr", R"("::1:80")"},
        {"addr", R"("999.0.0.1:80")"},
        {"addr", R"("0.0.0.0:80")"},
        {"addr", R"("224.0.0.1:80")"},
        {"addr", R"("255.255.255.255:80")"},
        {"addr", R"("host:80")"},
        {"addr", R"(":80")"},
        {"addr", R"(" 10.0.0.9:80")"},
        {"addr", R"("10.0.0.9: 80")"},
        {"addr", R"("10.0.0.9:0")"},
        {"addr", R"("10.0.0.9:65536")"},
        {"addr", R"("10.0.0.9:-1")"},
        {"addr", R"("10.0.0.9:+80")"},
        {"addr", '"' + std::string(40000, 'x') + ":80\""},
        {"addr", "null"},
        {"slots", "0"},
        {"slots", "-1"},
        {"slots", "2.5"},
        {"slots", "4097"},
        {"slots", "9223372036854775808"},
        {"slots", "1e999"},
        {"slots", deep},
        {"service", '"' + std::string(40000, 's') + '"'},
        {"zone", '"' + std::string(40000, 'z') + '"'},
        {"state", R"("\ud800")"},
        {"state", "\"\xff\""},
        {"born", R"("yesterday")"},
        {"born", "1.5"},
        {"born", "99999999999999999999"},
        {"other", deep},
        {"other", "\"\xc3\x28\""}};
    for (const auto& [field, value] : odd)
    {
        const auto read =
            read_runner(make_runner_record(make_entry(field, value)));
        ASSERT_FALSE(read) << field << " " << value.substr(0, 80);
        EXPECT_LT(read.error().text.size(), 400U) << field;
    }
}

// Guards against an entry of another writer that moves a runner to another
// service: all fields that a runner writes were there but for one.
TEST(
    runner_document_test, an_entry_with_a_field_of_another_type_names_no_runner)
{
    const json::object sound =
        json::parse(make_entry("stage", R"("dual")")).as_object();
    for (const field_rule& rule : runner_fields())
    {
        const std::string name(rule.name);
        json::object entry = sound;
        entry.erase(name);
        EXPECT_EQ(
            read_runner(make_runner_record(json::serialize(entry))).has_value(),
            !rule.is_required)
            << name;
        for (const json::value& other :
             {json::value("4"),
              json::value(4),
              json::value(4.5),
              json::value(true),
              json::value(nullptr),
              json::value(json::array()),
              json::value(json::object())})
        {
            const bool is_same =
                (rule.type == field_type::text && other.is_string()) ||
                (rule.type == field_type::whole_number && other.is_int64()) ||
                (rule.type == field_type::number && other.is_number()) ||
                (rule.type == field_type::list && other.is_array());
            entry[name] = other;
            if (!is_same)
            {
                EXPECT_FALSE(
                    read_runner(make_runner_record(json::serialize(entry))))
                    << name << " " << json::serialize(other);
            }
        }
    }
}

// Guards against a list of runners that nobody can follow because the value of
// one row is not base64.
TEST(record_document_test, an_odd_row_does_not_hide_the_others)
{
    const std::vector<ports::record> read =
        read_records(boost::json::parse(
                         R"({"rows":[{"table":"servers","part":"","key":"i-1",
            "value":"no base64!","row_version":3},7,{"key":"i-2"},
            {"table":"servers","part":"","key":"i-3","value":5,
            "row_version":4},{"table":"servers","part":"","key":"i-4",
            "value":"e30=","row_version":5}]})")
                         .as_object());
    ASSERT_EQ(read.size(), 3U);
    EXPECT_EQ(read[0].key, "i-1");
    EXPECT_EQ(read[0].value, "");
    EXPECT_EQ(read[1].key, "i-3");
    EXPECT_EQ(read[1].value, "");
    EXPECT_EQ(read[2].value, "{}");
}

TEST(call_headers_test, forwards_end_to_end_headers_only)
{
    const net::http_headers caller = {
        {"host", "a.example"},
        {"x-attempt-id", "t1"},
        {"x-deadline-ms", "5000"},
        {"connection", "keep-alive, x-hop"},
        {"x-hop", "1"},
        {"transfer-encoding", "chunked"},
        {"x-model", "m"}};
    runner_parameters parameters;
    parameters.runner_id = "i-1";
    parameters.time_left = 1234ms;
    parameters.last_event_id = "7";
    const net::http_headers sent = make_runner_headers(caller, parameters);
    EXPECT_EQ(
        sent,
        (net::http_headers{
            {"host", "a.example"},
            {"x-attempt-id", "t1"},
            {"x-deadline-ms", "1234"},
            {"x-expect-instance", "i-1"},
            {"last-event-id", "7"},
            {"x-model", "m"}}));
}

TEST(call_headers_test, parses_the_headers_of_a_caller)
{
    const caller_parameters parameters = parse_caller_parameters(
        {{"host", "a.example:8161"},
         {"x-attempt-id", "t1"},
         {"x-deadline-ms", "5000"},
         {"x-token-counts", "1460,80"},
         {"x-wait-ms", "1000"}});
    EXPECT_EQ(parameters.host, "a.example");
    EXPECT_EQ(parameters.attempt_id, "t1");
    EXPECT_EQ(parameters.time_limit, duration(5s));
    EXPECT_EQ(parameters.prompt_tokens, 1460);
    EXPECT_EQ(parameters.max_output_tokens, 80);
    EXPECT_EQ(
        parse_caller_parameters({{"x-token-counts", "-5,80"}}).prompt_tokens,
        0);
    EXPECT_EQ(parameters.poll_time, 1s);
    EXPECT_FALSE(
        parse_caller_parameters({{"x-deadline-ms", "soon"}}).time_limit);
    // The value does not fit into a duration, so it is clamped.
    EXPECT_GT(
        *parse_caller_parameters({{"x-deadline-ms", "9000000000000000000"}})
             .time_limit,
        duration(1h));
}

// Guards against a load that a broken or hostile runner states: it must not
// change where requests go.
TEST(call_headers_test, a_load_with_a_figure_out_of_range_counts_as_missing)
{
    const auto parse = [](const std::string& text)
    {
        net::http_response head;
        head.headers["x-instance-load"] = text;
        return parse_runner_load(head);
    };
    EXPECT_EQ(parse("3,1,8,85"), (serving::runner_load{3, 1, 8, 85}));
    EXPECT_EQ(parse(" 3, 1 ,8"), (serving::runner_load{3, 1, 8, 0}));
    EXPECT_EQ(parse_runner_load({}), serving::runner_load());
    for (const char* text :
         {"",
          "3,1",
          "3,1,8,85,4",
          "3,1,0,85",
          "-3,1,8,85",
          "3,1,8,0",
          "3,1,8,9",
          "3,1,8,1001",
          "3,1,8,",
          "3,1,8,85x",
          "3,1,8,8.5",
          "3,1,99999999999999999999,85",
          "100001,1,8,85"})
    {
        EXPECT_EQ(parse(text), serving::runner_load()) << text;
    }
}

TEST(call_headers_test, only_header_value_1_marks_a_leaving_runner)
{
    net::http_response head;
    EXPECT_FALSE(is_leaving_response(head));
    head.headers["connection"] = "close";
    EXPECT_FALSE(is_leaving_response(head));
    head.headers["server-leaving"] = "0";
    EXPECT_FALSE(is_leaving_response(head));
    head.headers["server-leaving"] = "1";
    EXPECT_TRUE(is_leaving_response(head));
}

TEST(call_headers_test, only_the_not_executed_header_means_not_run)
{
    const expected_runner expected = {"i-1", false};
    net::http_response head;
    head.status = 503;
    EXPECT_EQ(
        classify_runner_response(head, expected),
        runner_response_kind::executed);
    head.headers["x-not-executed"] = "1";
    EXPECT_EQ(
        classify_runner_response(head, expected),
        runner_response_kind::not_run);
    head.status = 421;
    EXPECT_EQ(
        classify_runner_response(head, expected),
        runner_response_kind::wrong_runner);
}

// Guards against a refusal for other weights that is taken for the response of
// another runner: both have status 421.
TEST(call_headers_test, status_421_of_the_expected_runner_is_about_weights)
{
    struct response_case
    {
        std::string responder;
        bool names_weights = false;
        runner_response_kind kind = runner_response_kind::executed;
    };
    const std::vector<response_case> cases = {
        {"", false, runner_response_kind::wrong_runner},
        {"", true, runner_response_kind::other_weights},
        {"i-1", false, runner_response_kind::not_run},
        {"i-1", true, runner_response_kind::other_weights},
        {"i-2", false, runner_response_kind::wrong_runner},
        {"i-2", true, runner_response_kind::wrong_runner}};
    for (const response_case& played : cases)
    {
        net::http_response head;
        head.status = 421;
        if (!played.responder.empty())
        {
            head.headers["x-instance-id"] = played.responder;
        }
        EXPECT_EQ(
            classify_runner_response(head, {"i-1", played.names_weights}),
            played.kind)
            << played.responder << " " << played.names_weights;
    }
}

TEST(entry_document_test, parses_the_query_and_makes_the_response)
{
    const entry_query query =
        parse_entry_query("/-/resolve?name=a.example&region=sul&zone=sul%2Da");
    EXPECT_EQ(query.host, "a.example");
    EXPECT_EQ(query.zone, "sul-a");
    EXPECT_EQ(
        make_entry_response({{"10.1.0.10", 8161}}, 2s).body,
        R"({"addrs":["10.1.0.10:8161"],"ttl_s":2})");
}

constexpr const char* submission =
    R"({"requests":[{"id":"e5","path":"/x/3","headers":{"X-Model":"m",
    "X-Token-Counts":"540,400"},"body":"q83vEjRWeJA=","tokens":940}]})";

TEST(job_document_test, parses_a_submission)
{
    const auto read = read_submission(submission);
    ASSERT_TRUE(read);
    ASSERT_EQ(read.value().size(), 1U);
    const job_item& item = read.value()[0];
    EXPECT_EQ(item.id, "e5");
    EXPECT_EQ(item.headers.at("x-model"), "m");
    EXPECT_EQ(item.body.size(), 8U);
    EXPECT_EQ(item.tokens, 940);
    const net::http_request sent =
        make_item_request(item, "a.example", "i-1", "12");
    EXPECT_EQ(sent.target, "/x/3");
    EXPECT_EQ(sent.headers.at("x-attempt-id"), "e5");
    EXPECT_EQ(sent.headers.at("last-event-id"), "12");
    EXPECT_EQ(sent.headers.at("host"), "a.example");
}

TEST(job_document_test, rejects_damaged_submissions)
{
    for (
        const char* body :
        {"",
         "{}",
         R"({"requests":[]})",
         R"({"requests":[1]})",
         R"({"requests":[{"id":"","path":"/x"}]})",
         R"({"requests":[{"id":"a","path":"x"}]})",
         R"({"requests":[{"id":"a","path":"/x","body":"%"}]})",
         R"({"requests":[{"id":"a","path":"/x","headers":{"A":"b\r\nC: d"}}]})",
         R"({"requests":[{"id":"a","path":"/x","headers":{"A":"b\u0000"}}]})",
         R"({"requests":[{"id":"a","path":"/x\u0000"}]})",
         R"({"requests":[{"id":"a","path":"/x\ty"}]})",
         R"({"requests":[{"id":"a","path":"/x"},{"id":"a","path":"/y"}]})"})
    {
        EXPECT_FALSE(read_submission(body)) << body;
    }
}

// Guards against a request that no client sent: the name of a header holds the
// end of a request and the begin of another one.
TEST(job_document_test, a_header_name_with_line_breaks_is_refused)
{
    for (const std::string name :
         {R"(A: b\r\n\r\nPOST /x/9 HTTP/1.1\r\nX-Attempt-Id)",
          R"(A\nB)",
          R"(A\rB)",
          R"(A B)",
          R"(A:)",
          R"(A\u0000)",
          R"(\u00e9)",
          ""})
    {
        const auto read = read_submission(
            R"({"requests":[{"id":"a","path":"/x","headers":{")" + name +
            R"(":"1"}}]})");
        ASSERT_FALSE(read) << name;
        EXPECT_TRUE(net::is_field_value(read.error().text));
    }
}

// The text of a refusal goes to the caller and into the log.
TEST(job_document_test, refusals_quote_a_bounded_text_without_line_breaks)
{
    const auto read = read_submission(
        R"({"requests":[{"id":"a\n)" + std::string(100000, 'b') +
        R"(","path":"/x"}]})");
    ASSERT_FALSE(read);
    EXPECT_LT(read.error().text.size(), 200U);
    EXPECT_TRUE(net::is_field_value(read.error().text));
}

TEST(job_document_test, parses_calls_that_concern_a_job)
{
    const auto read = find_job_call("GET", "/-/lots/7c?after=12");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->kind, job_call_kind::read_results);
    EXPECT_EQ(read->job, "7c");
    EXPECT_EQ(read->after, 12);
    const auto item = find_job_call("GET", "/-/items/7c?id=e5");
    ASSERT_TRUE(item);
    EXPECT_EQ(item->item, "e5");
    EXPECT_EQ(
        find_job_call("DELETE", "/-/lots/7c")->kind, job_call_kind::end_job);
    EXPECT_FALSE(find_job_call("POST", "/-/lots/7c"));
    EXPECT_FALSE(find_job_call("GET", "/x/7c"));
}

TEST(job_document_test, makes_the_results_response)
{
    EXPECT_EQ(
        make_results_response(
            40, 12, {{"e5", serving::item_state::completed, "a\nb"}})
            .body,
        R"({"total":40,"next":13,"results":[{"id":"e5",)"
        R"("state":"completed","text":"a\nb"}]})");
}

} // namespace

} // namespace chicory::platform
