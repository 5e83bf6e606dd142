#include "drivers/http_object_store.hpp"

#include <utility>

namespace chicory::drivers
{

namespace asio = boost::asio;

namespace
{

class http_object_store final : public ports::object_store
{
public:
    explicit http_object_store(json_caller source) : caller(std::move(source))
    {
    }

    asio::awaitable<result<void>>
    put(std::string name, std::string bytes) override
    {
        result<net::http_response> response = co_await this->caller.call(
            "PUT", "/objects/" + name, std::move(bytes));
        if (!response)
        {
            co_return response.error();
        }
        if (response.value().status >= 300)
        {
            co_return make_error(
                error_kind::unavailable,
                "object store: expected status 204, found " +
                    std::to_string(response.value().status));
        }
        co_return boost::outcome_v2::success();
    }

    asio::awaitable<result<std::string>> get(std::string name) override
    {
        result<net::http_response> response =
            co_await this->caller.read("GET", "/objects/" + name, "");
        if (!response)
        {
            co_return response.error();
        }
        if (response.value().status == 404)
        {
            co_return make_error(
                error_kind::not_found, "object " + name + " does not exist");
        }
        if (response.value().status != 200)
        {
            co_return make_error(
                error_kind::unavailable,
                "object store: expected status 200, found " +
                    std::to_string(response.value().status));
        }
        co_return std::move(response.value().body);
    }

private:
    json_caller caller;
};

} // namespace

std::unique_ptr<ports::object_store> make_http_object_store(json_caller caller)
{
    return std::make_unique<http_object_store>(std::move(caller));
}

} // namespace chicory::drivers
