#include "experiments/load/batch_caller.hpp"

#include "tests/standins/generated_response.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <set>
#include <sstream>
#include <utility>

namespace chicory::load
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds call_timeout(30);
constexpr std::chrono::milliseconds poll_interval(200);

const std::string completions = "/v1/completions";
const std::string batches = "/v1/batches";

std::string get_string(const json::value& source, const char* path)
{
    boost::system::error_code missing;
    const json::value* const found = source.find_pointer(path, missing);
    return found != nullptr && found->is_string()
               ? json::value_to<std::string>(*found)
               : std::string();
}

json::value parse(const std::string& text)
{
    boost::system::error_code failed;
    json::value parsed = json::parse(text, failed);
    return failed ? json::value() : parsed;
}

/// Returns whether a result line holds the expected response body of its item.
/// The body may be embedded in the line as JSON or as a string.
bool has_expected_body(
    const json::value& line, const std::string& expected_body)
{
    boost::system::error_code missing;
    const json::value* const body =
        line.find_pointer("/response/body", missing);
    if (body == nullptr)
    {
        return false;
    }
    return body->is_string()
               ? json::value_to<std::string>(*body) == expected_body
               : *body == parse(expected_body);
}

} // namespace

std::string make_job(
    const batch_source& source,
    std::uint64_t seed,
    std::map<std::string, std::string>& expected)
{
    std::string lines;
    for (std::int64_t number = 0; number < source.items; ++number)
    {
        const std::string name = source.name + "-" + std::to_string(seed) +
                                 "-" + std::to_string(number);
        json::object body;
        body["model"] = source.route;
        body["prompt"] = source.prompt + " " + name;
        body["max_tokens"] = source.tokens;
        body["metadata"] = json::object{{"custom_id", name}};
        expected[name] =
            standin::generated_response(completions, json::serialize(body))
                .all_bytes();
        json::object line;
        line["custom_id"] = name;
        line["method"] = "POST";
        line["url"] = completions;
        line["body"] = std::move(body);
        lines += json::serialize(line) + "\n";
    }
    return lines;
}

void check_results(
    const std::string& lines,
    const std::map<std::string, std::string>& expected,
    batch_result& job_result)
{
    std::set<std::string> found;
    std::istringstream source(lines);
    std::string line_text;
    while (std::getline(source, line_text))
    {
        const json::value line = parse(line_text);
        const std::string name = get_string(line, "/custom_id");
        const auto expected_entry = expected.find(name);
        if (expected_entry == expected.end())
        {
            ++job_result.wrong_bytes;
            continue;
        }
        if (!found.insert(name).second)
        {
            ++job_result.duplicates;
            continue;
        }
        if (!get_string(line, "/error/code").empty())
        {
            ++job_result.failed;
            continue;
        }
        ++(has_expected_body(line, expected_entry->second)
               ? job_result.completed
               : job_result.wrong_bytes);
    }
    job_result.missing =
        static_cast<std::int64_t>(expected.size() - found.size());
}

batch_caller::batch_caller(
    net::http_client& http,
    entry_points& initial_entries,
    batch_source initial_source,
    std::uint64_t seed,
    time_point initial_deadline)
    : client(http), entries(initial_entries), source(std::move(initial_source)),
      deadline(initial_deadline),
      job_key(this->source.name + "-" + std::to_string(seed)),
      lines(make_job(this->source, seed, this->expected))
{
}

asio::awaitable<void> batch_caller::run(batch_result& job_result)
{
    job_result.source = this->source.name;
    job_result.items = this->source.items;
    job_result.missing = this->source.items;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(this->source.start);
    co_await timer.async_wait(asio::use_awaitable);
    const time_point submitted = read_monotonic_clock();
    co_await this->submit(job_result);
    if (job_result.accepted)
    {
        co_await this->poll_status(job_result);
    }
    job_result.elapsed = read_monotonic_clock() - submitted;
}

asio::awaitable<void> batch_caller::submit(batch_result& job_result)
{
    const std::string target = batches + "?route=" + this->source.route;
    while (!this->is_past_deadline())
    {
        net::http_request request = this->make_request("POST", target);
        request.body = this->lines;
        const net::http_response response =
            co_await this->call(std::move(request));
        job_result.job = get_string(parse(response.body), "/id");
        job_result.accepted =
            response.status / 100 == 2 && !job_result.job.empty();
        const bool is_final =
            response.status / 100 == 4 && response.status != 429;
        if (job_result.accepted || is_final)
        {
            co_return;
        }
        co_await this->wait_for_poll();
    }
}

asio::awaitable<void> batch_caller::poll_status(batch_result& job_result)
{
    static const std::set<std::string> final_states{
        "completed", "failed", "cancelled"};
    while (!this->is_past_deadline())
    {
        co_await this->wait_for_poll();
        net::http_request request =
            this->make_request("GET", batches + "/" + job_result.job);
        const net::http_response response =
            co_await this->call(std::move(request));
        if (final_states.count(get_string(parse(response.body), "/status")) > 0)
        {
            co_await this->read_results(job_result);
            co_return;
        }
    }
    co_await this->read_results(job_result);
}

asio::awaitable<void> batch_caller::read_results(batch_result& job_result)
{
    const time_point read_deadline = this->deadline + call_timeout;
    while (read_monotonic_clock() < read_deadline)
    {
        net::http_request request = this->make_request(
            "GET", batches + "/" + job_result.job + "/results");
        const net::http_response response =
            co_await this->call(std::move(request));
        if (response.status == 200)
        {
            check_results(response.body, this->expected, job_result);
            co_return;
        }
        co_await this->wait_for_poll();
    }
}

net::http_request batch_caller::make_request(
    const std::string& method, const std::string& target) const
{
    net::http_request request;
    request.method = method;
    request.target = target;
    request.headers["authorization"] = "Bearer " + this->source.key;
    request.headers["content-type"] = "application/jsonl";
    request.headers["idempotency-key"] = this->job_key;
    return request;
}

asio::awaitable<net::http_response>
batch_caller::call(net::http_request request)
{
    net::http_response response;
    response.status = 0;
    const net::endpoint server = this->entries.next_batch();
    if (server.port != 0)
    {
        result<net::http_response> outcome = co_await this->client.request(
            server, std::move(request), call_timeout);
        if (outcome)
        {
            response = std::move(outcome.value());
        }
    }
    co_return response;
}

asio::awaitable<void> batch_caller::wait_for_poll()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(poll_interval);
    co_await timer.async_wait(asio::use_awaitable);
}

bool batch_caller::is_past_deadline() const
{
    return read_monotonic_clock() > this->deadline;
}

} // namespace chicory::load
