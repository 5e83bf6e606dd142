#include "experiments/load/entry_points.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace chicory::load
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds call_timeout(2);
constexpr std::chrono::seconds default_time_to_live(5);

/// Parses "http://ADDRESS:PORT". The text is not validated.
net::endpoint parse_url(const std::string& url)
{
    const std::size_t host = url.find("://") + 3;
    const std::size_t colon = url.find(':', host);
    net::endpoint found;
    found.address = url.substr(host, colon - host);
    found.port = static_cast<std::uint16_t>(std::atoi(url.c_str() + colon + 1));
    return found;
}

} // namespace

entry_points::entry_points(
    net::http_client& http, std::vector<net::endpoint> initial_gates)
    : client(http), gates(std::move(initial_gates)),
      time_to_live(default_time_to_live)
{
}

asio::awaitable<void> entry_points::refresh_forever()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true)
    {
        timer.expires_after(this->time_to_live);
        co_await timer.async_wait(asio::use_awaitable);
        co_await this->refresh();
    }
}

asio::awaitable<bool> entry_points::refresh()
{
    for (std::size_t attempts_left = this->gates.size(); attempts_left > 0;
         --attempts_left)
    {
        net::http_request request;
        request.target = "/v1/entrypoints";
        result<net::http_response> response = co_await this->client.request(
            this->next_gate(), std::move(request), call_timeout);
        if (response && response.value().status == 200 &&
            this->apply_response(response.value().body))
        {
            co_return true;
        }
    }
    co_return false;
}

bool entry_points::apply_response(const std::string& body)
{
    boost::system::error_code failed;
    const json::value parsed = json::parse(body, failed);
    const json::value* const entries =
        failed ? nullptr : parsed.find_pointer("/entrypoints", failed);
    if (entries == nullptr || entries->as_array().empty())
    {
        return false;
    }
    this->gates.clear();
    this->batches.clear();
    for (const json::value& entry : entries->as_array())
    {
        this->gates.push_back(
            parse_url(json::value_to<std::string>(entry.at("url"))));
        this->batches.push_back(
            parse_url(json::value_to<std::string>(entry.at("batch_url"))));
    }
    if (const json::value* const seconds =
            parsed.find_pointer("/ttl_seconds", failed))
    {
        this->time_to_live = std::chrono::seconds(
            std::max<std::int64_t>(1, seconds->to_number<std::int64_t>()));
    }
    return true;
}

net::endpoint entry_points::next_gate()
{
    return this->gates[this->next_gate_index++ % this->gates.size()];
}

net::endpoint entry_points::next_batch()
{
    if (this->batches.empty())
    {
        return net::endpoint{};
    }
    return this->batches[this->next_batch_index++ % this->batches.size()];
}

} // namespace chicory::load
