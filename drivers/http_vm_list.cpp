#include "drivers/http_vm_list.hpp"

#include <utility>

namespace chicory::drivers
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

ports::listed_vm read_listed_vm(const json::value& source)
{
    const json::object& fields = source.as_object();
    const auto text = [&fields](std::string_view name)
    {
        const json::value* value = fields.if_contains(name);
        return value != nullptr ? json::value_to<std::string>(*value)
                                : std::string();
    };
    const auto port = [&fields](std::string_view name)
    {
        const json::value* value = fields.if_contains(name);
        return value != nullptr ? value->to_number<std::uint16_t>()
                                : std::uint16_t{0};
    };
    ports::listed_vm vm;
    vm.id = json::value_to<std::string>(fields.at("id"));
    vm.role = text("role");
    vm.state = text("state");
    if (const json::value* value = fields.if_contains("incarnation"))
    {
        vm.incarnation = value->to_number<std::uint64_t>();
    }
    vm.region = text("region");
    vm.zone = text("zone");
    vm.address = text("address");
    vm.http_port = port("http_port");
    vm.link_port = port("link_port");
    vm.batch_port = port("batch_port");
    vm.gossip_port = port("gossip_port");
    vm.service = text("service");
    return vm;
}

class http_vm_list final : public ports::vm_list
{
public:
    explicit http_vm_list(json_caller source) : caller(std::move(source))
    {
    }

    asio::awaitable<result<std::vector<ports::listed_vm>>> read() override
    {
        const result<net::http_response> response =
            co_await this->caller.read("GET", "/vms", "");
        co_return read_list(response, "vms", read_listed_vm);
    }

private:
    json_caller caller;
};

} // namespace

std::unique_ptr<ports::vm_list> make_http_vm_list(json_caller caller)
{
    return std::make_unique<http_vm_list>(std::move(caller));
}

} // namespace chicory::drivers
