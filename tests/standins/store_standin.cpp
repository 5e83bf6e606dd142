#include "tests/standins/store_standin.hpp"

#include "platform/platform.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <set>

namespace chicory::standins
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Largest number of entries that the users' store accepts in one transaction.
constexpr std::size_t max_entries = 100;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t max_body_bytes = 8 << 20;
constexpr std::string_view object_put = "/-/blob-put/";
constexpr std::string_view object_get = "/-/blob-get/";

net::http_response make_response(int status, json::object content)
{
    net::http_response response;
    response.status = status;
    response.body = json::serialize(content);
    return response;
}

std::string get_query_field(const std::string& target, std::string_view field)
{
    return platform::find_query_field(target, field).value_or("");
}

std::string get_text(const json::value& row, std::string_view field)
{
    const json::value* found = row.as_object().if_contains(field);
    return found == nullptr ? std::string() : std::string(found->as_string());
}

} // namespace

store_standin::store_standin(asio::io_context& io)
    : context(io), server(
                       io.get_executor(),
                       [this](net::http_exchange& exchange)
                       {
                           return this->handle_request(exchange);
                       })
{
}

std::uint16_t store_standin::listen()
{
    this->server.listen({"127.0.0.1", 0}).value();
    return this->server.port();
}

void store_standin::write(const row_name& name, const std::string* value)
{
    if (value == nullptr)
    {
        this->rows.erase(name);
    }
    else
    {
        this->rows[name] = {*value, this->version};
    }
    this->changes.push_back({name, this->version, value == nullptr});
}

std::string store_standin::encode_value(
    const row_name& name, const std::string& value) const
{
    const auto raw = this->raw_values.find(std::get<2>(name));
    return raw == this->raw_values.end() ? encode_base64(value) : raw->second;
}

void store_standin::put(
    const std::string& table,
    const std::string& partition,
    const std::string& key,
    const std::string& value)
{
    ++this->version;
    this->write({table, partition, key}, &value);
}

void store_standin::remove(
    const std::string& table,
    const std::string& partition,
    const std::string& key)
{
    ++this->version;
    this->write({table, partition, key}, nullptr);
}

void store_standin::drop_history()
{
    this->changes.clear();
    this->dropped_version = this->version;
}

std::string
store_standin::value(const std::string& table, const std::string& key) const
{
    for (const auto& [name, row] : this->rows)
    {
        if (std::get<0>(name) == table && std::get<2>(name) == key)
        {
            return row.value;
        }
    }
    return std::string();
}

std::size_t store_standin::count(const std::string& table) const
{
    std::size_t found = 0;
    for (const auto& [name, row] : this->rows)
    {
        found += std::get<0>(name) == table ? 1 : 0;
    }
    return found;
}

asio::awaitable<void>
store_standin::handle_request(net::http_exchange& exchange)
{
    result<std::string> body = co_await exchange.read_body(max_body_bytes);
    if (!body)
    {
        co_return;
    }
    if (this->delay.count() > 0)
    {
        asio::steady_timer timer(this->context);
        timer.expires_after(this->delay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    const std::string target = exchange.head().target;
    if (this->fault == store_fault::unavailable ||
        this->fault == store_fault::rate_limited)
    {
        net::http_response response = make_response(
            this->fault == store_fault::unavailable ? 503 : 429,
            json::object());
        co_await exchange.respond(std::move(response));
        co_return;
    }
    static constexpr std::string_view prefix = "/-/";
    ++this->calls
          [target.substr(
               prefix.size(),
               std::min(target.find('?'), target.size()) - prefix.size()) +
           " " + get_query_field(target, "table")];
    if (target == "/-/rows-tx")
    {
        co_await this->transact(exchange, std::move(body.value()));
    }
    else if (target.starts_with("/-/rows-feed"))
    {
        co_await this->wait_for_changes(exchange);
    }
    else if (target.starts_with("/-/rows-get"))
    {
        co_await this->read_rows(exchange);
    }
    else if (target.starts_with("/-/rows-parts"))
    {
        co_await this->list_partitions(exchange);
    }
    else
    {
        co_await this->serve_object(exchange, std::move(body.value()));
    }
}

asio::awaitable<void>
store_standin::transact(net::http_exchange& exchange, std::string body)
{
    const json::object call = json::parse(body).as_object();
    json::array conflicts;
    bool failed = false;
    const auto name_of = [](const json::value& row)
    {
        return row_name(
            get_text(row, "table"),
            get_text(row, "part"),
            get_text(row, "key"));
    };
    for (const json::value& expected : call.at("expected_rev").as_array())
    {
        const row_name name = name_of(expected);
        const auto found = this->rows.find(name);
        const std::int64_t current =
            found == this->rows.end() ? 0 : found->second.version;
        failed =
            failed ||
            expected.at("row_version").to_number<std::int64_t>() != current;
        if (found != this->rows.end())
        {
            conflicts.push_back(json::object{
                {"table", std::get<0>(name)},
                {"part", std::get<1>(name)},
                {"key", std::get<2>(name)},
                {"value", this->encode_value(name, found->second.value)},
                {"row_version", current}});
        }
    }
    if (failed)
    {
        net::http_response response = make_response(
            412,
            json::object{
                {"rows", std::move(conflicts)},
                {"row_version", this->version}});
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const std::size_t entries = call.at("expected_rev").as_array().size() +
                                call.at("put").as_array().size() +
                                call.at("remove").as_array().size();
    if (entries > max_entries)
    {
        co_await exchange.respond(
            net::make_text_response(400, "too many entries"));
        co_return;
    }
    ++this->version;
    ++this->transactions;
    for (const json::value& row : call.at("put").as_array())
    {
        const std::string value = decode_base64(get_text(row, "value")).value();
        this->write(name_of(row), &value);
    }
    for (const json::value& row : call.at("remove").as_array())
    {
        this->write(name_of(row), nullptr);
    }
    if (this->fault == store_fault::drops_responses)
    {
        // The connection closes before the response is complete.
        co_await exchange.start_stream(net::http_response());
        co_return;
    }
    net::http_response response = make_response(
        200,
        json::object{
            {"row_version", this->version}, {"now_ms", this->version}});
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void>
store_standin::wait_for_changes(net::http_exchange& exchange)
{
    const std::string target = exchange.head().target;
    const std::int64_t after = std::stoll(get_query_field(target, "after"));
    const std::string table = get_query_field(target, "table");
    const time_point until =
        read_monotonic_clock() + std::chrono::milliseconds(std::stoll(
                                     get_query_field(target, "wait_ms")));
    asio::steady_timer timer(this->context);
    json::array found;
    while (found.empty() && after >= this->dropped_version)
    {
        for (const change& entry : this->changes)
        {
            if (entry.version <= after || std::get<0>(entry.name) != table)
            {
                continue;
            }
            const auto row = this->rows.find(entry.name);
            const bool is_current =
                row != this->rows.end() && row->second.version == entry.version;
            found.push_back(json::object{
                {"table", table},
                {"part", std::get<1>(entry.name)},
                {"key", std::get<2>(entry.name)},
                {"value",
                 is_current ? this->encode_value(entry.name, row->second.value)
                            : ""},
                {"row_version", entry.version},
                {"deleted", entry.deleted || !is_current}});
        }
        if (!found.empty() || read_monotonic_clock() >= until)
        {
            break;
        }
        timer.expires_after(std::chrono::milliseconds(2));
        co_await timer.async_wait(as_result);
    }
    if (after < this->dropped_version)
    {
        net::http_response response = make_response(410, json::object());
        co_await exchange.respond(std::move(response));
        co_return;
    }
    net::http_response response = make_response(
        200,
        json::object{
            {"rows", std::move(found)},
            {"row_version", this->version},
            {"now_ms", this->version}});
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> store_standin::read_rows(net::http_exchange& exchange)
{
    const std::string target = exchange.head().target;
    const std::string from = get_query_field(target, "from");
    const std::string to = get_query_field(target, "to");
    json::array found;
    for (const auto& [name, row] : this->rows)
    {
        const auto& [table, partition, key] = name;
        if (table == get_query_field(target, "table") &&
            partition == get_query_field(target, "part") && key >= from &&
            (to.empty() || key < to))
        {
            found.push_back(json::object{
                {"table", table},
                {"part", partition},
                {"key", key},
                {"value", this->encode_value(name, row.value)},
                {"row_version", row.version}});
        }
    }
    net::http_response response = make_response(
        200,
        json::object{
            {"rows", std::move(found)},
            {"has_more", false},
            {"row_version", this->version},
            {"now_ms", this->version}});
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void>
store_standin::list_partitions(net::http_exchange& exchange)
{
    const std::string table = get_query_field(exchange.head().target, "table");
    std::set<std::string> partitions;
    for (const auto& [name, row] : this->rows)
    {
        if (std::get<0>(name) == table)
        {
            partitions.insert(std::get<1>(name));
        }
    }
    json::array parts;
    for (const std::string& partition : partitions)
    {
        parts.push_back(json::string(partition));
    }
    net::http_response response = make_response(
        200, json::object{{"parts", std::move(parts)}, {"has_more", false}});
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void>
store_standin::serve_object(net::http_exchange& exchange, std::string body)
{
    const std::string target = exchange.head().target;
    net::http_response response;
    if (target.starts_with(object_put))
    {
        const std::string name = target.substr(object_put.size());
        const bool added = this->objects.emplace(name, body).second;
        response.status = added ? 200 : 412;
    }
    else if (target.starts_with(object_get))
    {
        const auto found = this->objects.find(target.substr(object_get.size()));
        response.status = found == this->objects.end() ? 404 : 200;
        response.body =
            found == this->objects.end() ? std::string() : found->second;
    }
    else
    {
        response.status = 404;
    }
    co_await exchange.respond(std::move(response));
}

} // namespace chicory::standins
