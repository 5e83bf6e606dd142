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

constexpr std::chrono::seconds call_limit(30);
constexpr std::chrono::milliseconds poll_interval(200);

const std::string completions = "/v1/completions";
const std::string batches = "/v1/batches";

std::string text_at(const json::value& source, const char* path)
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

/// True when a result line holds the answer that its item must give. The
/// body may stand in the line as JSON or as text.
bool holds_answer(const json::value& line, const std::string& wanted)
{
    boost::system::error_code missing;
    const json::value* const body =
        line.find_pointer("/response/body", missing);
    if (body == nullptr)
    {
        return false;
    }
    return body->is_string() ? json::value_to<std::string>(*body) == wanted
                             : *body == parse(wanted);
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
    batch_result& seen)
{
    std::set<std::string> found;
    std::istringstream source(lines);
    std::string text;
    while (std::getline(source, text))
    {
        const json::value line = parse(text);
        const std::string name = text_at(line, "/custom_id");
        const auto wanted = expected.find(name);
        if (wanted == expected.end())
        {
            ++seen.wrong_bytes;
            continue;
        }
        if (!found.insert(name).second)
        {
            ++seen.duplicates;
            continue;
        }
        if (!text_at(line, "/error/code").empty())
        {
            ++seen.failed;
            continue;
        }
        ++(holds_answer(line, wanted->second) ? seen.completed
                                              : seen.wrong_bytes);
    }
    seen.missing = static_cast<std::int64_t>(expected.size() - found.size());
}

batch_caller::batch_caller(
    net::http_client& http,
    entry_points& known,
    batch_source chosen,
    std::uint64_t seed,
    time_point last)
    : client(http), entries(known), source(std::move(chosen)), give_up(last),
      job_key(this->source.name + "-" + std::to_string(seed)),
      lines(make_job(this->source, seed, this->expected))
{
}

asio::awaitable<void> batch_caller::run(batch_result& seen)
{
    seen.source = this->source.name;
    seen.items = this->source.items;
    seen.missing = this->source.items;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(this->source.start);
    co_await timer.async_wait(asio::use_awaitable);
    const time_point sent = read_monotonic_clock();
    co_await this->submit(seen);
    if (seen.accepted)
    {
        co_await this->follow(seen);
    }
    seen.took = read_monotonic_clock() - sent;
}

asio::awaitable<void> batch_caller::submit(batch_result& seen)
{
    const std::string target = batches + "?route=" + this->source.route;
    while (!this->is_over())
    {
        net::http_request request = this->make_request("POST", target);
        request.body = this->lines;
        const net::http_response answer =
            co_await this->ask(std::move(request));
        seen.job = text_at(parse(answer.body), "/id");
        seen.accepted = answer.status / 100 == 2 && !seen.job.empty();
        const bool is_final = answer.status / 100 == 4 && answer.status != 429;
        if (seen.accepted || is_final)
        {
            co_return;
        }
        co_await this->pause();
    }
}

asio::awaitable<void> batch_caller::follow(batch_result& seen)
{
    static const std::set<std::string> ends{"completed", "failed", "cancelled"};
    while (!this->is_over())
    {
        co_await this->pause();
        net::http_request request =
            this->make_request("GET", batches + "/" + seen.job);
        const net::http_response answer =
            co_await this->ask(std::move(request));
        if (ends.count(text_at(parse(answer.body), "/status")) > 0)
        {
            co_await this->read_results(seen);
            co_return;
        }
    }
    co_await this->read_results(seen);
}

asio::awaitable<void> batch_caller::read_results(batch_result& seen)
{
    const time_point last = this->give_up + call_limit;
    while (read_monotonic_clock() < last)
    {
        net::http_request request =
            this->make_request("GET", batches + "/" + seen.job + "/results");
        const net::http_response answer =
            co_await this->ask(std::move(request));
        if (answer.status == 200)
        {
            check_results(answer.body, this->expected, seen);
            co_return;
        }
        co_await this->pause();
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

asio::awaitable<net::http_response> batch_caller::ask(net::http_request request)
{
    net::http_response answer;
    answer.status = 0;
    const net::endpoint server = this->entries.next_batch();
    if (server.port != 0)
    {
        result<net::http_response> outcome = co_await this->client.request(
            server, std::move(request), call_limit);
        if (outcome)
        {
            answer = std::move(outcome.value());
        }
    }
    co_return answer;
}

asio::awaitable<void> batch_caller::pause()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(poll_interval);
    co_await timer.async_wait(asio::use_awaitable);
}

bool batch_caller::is_over() const
{
    return read_monotonic_clock() > this->give_up;
}

} // namespace chicory::load
