#include "drivers/http_table_service.hpp"

#include <optional>
#include <utility>

namespace chicory::drivers
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

ports::row read_row(const json::value& source)
{
    const json::object& fields = source.as_object();
    ports::row found;
    found.key = json::value_to<std::string>(fields.at("key"));
    if (const json::value* value = fields.if_contains("value");
        value != nullptr && value->is_string())
    {
        found.value = json::value_to<std::string>(*value);
    }
    found.version = fields.at("version").to_number<std::int64_t>();
    return found;
}

json::object write_transaction(const ports::transaction& request)
{
    json::array conditions;
    for (const ports::row_condition& condition : request.conditions)
    {
        json::object entry;
        entry["key"] = condition.key;
        entry["version"] = condition.version;
        conditions.push_back(std::move(entry));
    }
    json::array writes;
    for (const ports::row_write& write : request.writes)
    {
        json::object entry;
        entry["key"] = write.key;
        entry["value"] = nullptr;
        if (write.value)
        {
            entry["value"] = *write.value;
        }
        writes.push_back(std::move(entry));
    }
    json::object body;
    body["conditions"] = std::move(conditions);
    body["writes"] = std::move(writes);
    return body;
}

ports::transaction_outcome read_outcome(const json::value& source)
{
    const json::object& fields = source.as_object();
    ports::transaction_outcome outcome;
    outcome.committed = fields.at("committed").as_bool();
    if (const json::value* versions = fields.if_contains("versions"))
    {
        for (const json::value& version : versions->as_array())
        {
            outcome.versions.push_back(version.to_number<std::int64_t>());
        }
    }
    if (const json::value* conflicts = fields.if_contains("conflicts"))
    {
        for (const json::value& conflict : conflicts->as_array())
        {
            outcome.conflicts.push_back(read_row(conflict));
        }
    }
    return outcome;
}

/// Decodes the response to a transaction. Error: outcome_unknown when it cannot
/// be decoded, as the transaction may have taken effect.
result<ports::transaction_outcome>
read_transaction_response(const net::http_response& response)
{
    result<json::value> body = parse_body(response);
    if (!body)
    {
        return make_error(error_kind::outcome_unknown, body.error().text);
    }
    result<ports::transaction_outcome> outcome = read_safely(
        [&body]()
        {
            return read_outcome(body.value());
        },
        response.body);
    if (!outcome)
    {
        return make_error(error_kind::outcome_unknown, outcome.error().text);
    }
    return outcome;
}

class http_table_service final : public ports::table_service
{
public:
    explicit http_table_service(json_caller source) : caller(std::move(source))
    {
    }

    asio::awaitable<result<std::optional<ports::row>>>
    read(std::string key) override
    {
        json::object query;
        query["key"] = key;
        result<net::http_response> response = co_await this->caller.read(
            "POST", "/table/read", json::serialize(query));
        if (!response)
        {
            co_return response.error();
        }
        if (response.value().status == 404)
        {
            co_return std::optional<ports::row>();
        }
        BOOST_OUTCOME_CO_TRY(
            const json::value body, parse_body(response.value()));
        co_return read_safely(
            [&body]()
            {
                return std::optional<ports::row>(read_row(body));
            },
            response.value().body);
    }

    asio::awaitable<result<std::vector<ports::row>>>
    scan(std::string prefix, std::string after, std::int64_t limit) override
    {
        json::object query;
        query["prefix"] = prefix;
        query["after"] = after;
        query["limit"] = limit;
        const result<net::http_response> response = co_await this->caller.read(
            "POST", "/table/scan", json::serialize(query));
        co_return read_list(response, "rows", read_row);
    }

    asio::awaitable<result<ports::transaction_outcome>>
    transact(ports::transaction request) override
    {
        result<net::http_response> response = co_await this->caller.call(
            "POST",
            "/table/transactions",
            json::serialize(write_transaction(request)));
        if (!response)
        {
            co_return response.error();
        }
        co_return read_transaction_response(response.value());
    }

private:
    json_caller caller;
};

} // namespace

std::unique_ptr<ports::table_service>
make_http_table_service(json_caller caller)
{
    return std::make_unique<http_table_service>(std::move(caller));
}

} // namespace chicory::drivers
