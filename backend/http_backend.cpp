#include "backend/backend_server.hpp"

#include <boost/json.hpp>

#include <utility>

namespace chicory::backend
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds control_call_limit(2);

/// Reads an optional field of a report.
template <class Value>
std::optional<Value>
read_optional(const json::object& report, std::string_view field)
{
    const json::value* const found = report.if_contains(field);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    return json::value_to<Value>(*found);
}

result<load_report> read_load_report(const std::string& body)
{
    try
    {
        const json::value value = json::parse(body);
        load_report report;
        report.in_progress = value.at("in_progress").to_number<std::int64_t>();
        report.slots = value.at("slots").to_number<std::int64_t>();
        report.incarnation = value.at("incarnation").to_number<std::uint64_t>();
        report.leaving = value.at("leaving").as_bool();
        report.model = json::value_to<std::string>(value.at("model"));
        const json::object& fields = value.as_object();
        report.version = read_optional<std::string>(fields, "version");
        report.adapters =
            read_optional<std::vector<std::string>>(fields, "adapters");
        report.role = read_optional<std::string>(fields, "role");
        return report;
    }
    catch (const std::exception&)
    {
        return make_error(
            error_kind::internal,
            "load report: expected a JSON object, found " +
                body.substr(0, 200));
    }
}

class http_backend final : public backend_server
{
public:
    explicit http_backend(net::http_client& client) : http(client)
    {
    }

    asio::awaitable<net::open_outcome>
    run(net::endpoint server, run_request request, duration limit) override
    {
        net::http_request message;
        message.method = "POST";
        message.target = std::move(request.path);
        message.headers["content-type"] = std::move(request.content_type);
        message.headers["x-run-id"] = std::move(request.run_id);
        message.body = std::move(request.body);
        co_return co_await this->http.open(
            std::move(server), std::move(message), limit);
    }

    asio::awaitable<net::open_outcome> resume(
        net::endpoint server,
        std::string run_id,
        std::uint64_t offset,
        duration limit) override
    {
        net::http_request message;
        message.target =
            "/runs/" + run_id + "/answer?offset=" + std::to_string(offset);
        co_return co_await this->http.open(
            std::move(server), std::move(message), limit);
    }

    asio::awaitable<result<void>>
    cancel(net::endpoint server, std::string run_id) override
    {
        net::http_request message;
        message.method = "POST";
        message.target = "/runs/" + run_id + "/cancel";
        result<net::http_response> response = co_await this->http.request(
            std::move(server), std::move(message), control_call_limit);
        if (!response)
        {
            co_return response.error();
        }
        co_return boost::outcome_v2::success();
    }

    asio::awaitable<result<load_report>> load(net::endpoint server) override
    {
        net::http_request message;
        message.target = "/load";
        result<net::http_response> response = co_await this->http.request(
            std::move(server), std::move(message), control_call_limit);
        if (!response)
        {
            co_return response.error();
        }
        co_return read_load_report(response.value().body);
    }

    asio::awaitable<result<void>>
    order(net::endpoint server, engine_order order) override
    {
        json::object body;
        body["fencing_number"] = order.fencing_number;
        body["action"] = order.action;
        body["argument"] = order.argument;
        if (!order.model.empty())
        {
            body["model"] = order.model;
        }
        net::http_request message;
        message.method = "POST";
        message.target = "/orders";
        message.body = json::serialize(body);
        result<net::http_response> response = co_await this->http.request(
            std::move(server), std::move(message), control_call_limit);
        if (!response)
        {
            co_return response.error();
        }
        if (response.value().status == 409)
        {
            co_return make_error(
                error_kind::conflict,
                "order: the backend server refused fencing number " +
                    std::to_string(order.fencing_number));
        }
        const unsigned status = response.value().status;
        if (status == 429 || status == 503)
        {
            co_return make_error(
                error_kind::overloaded,
                "order: the backend server got no weights from the weight "
                "store, found status " +
                    std::to_string(status));
        }
        if (status != 200)
        {
            co_return make_error(
                error_kind::unavailable,
                "order: expected status 200, found " + std::to_string(status));
        }
        co_return boost::outcome_v2::success();
    }

private:
    net::http_client& http;
};

} // namespace

std::unique_ptr<backend_server> make_http_backend(net::http_client& client)
{
    return std::make_unique<http_backend>(client);
}

} // namespace chicory::backend
