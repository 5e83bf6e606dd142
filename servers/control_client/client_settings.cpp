#include "servers/control_client/client_settings.hpp"

#include <boost/asio/ip/address.hpp>

namespace chicory::control
{

namespace
{

constexpr std::int64_t max_port = 65535;

void read_gates(settings_reader& reader, std::vector<net::endpoint>& gates)
{
    for (const std::string& text : reader.optional_strings("gates"))
    {
        const result<net::endpoint> gate = parse_endpoint(text);
        if (!gate)
        {
            reader.reject("gates", "\"IP:PORT\" texts", "\"" + text + "\"");
            continue;
        }
        gates.push_back(gate.value());
    }
}

} // namespace

result<client_settings> read_client_settings(const std::string& path)
{
    BOOST_OUTCOME_TRY(settings_reader reader, settings_reader::open(path));
    client_settings settings;
    settings.operator_name = reader.required_string("operator");
    settings.platform = drivers::read_platform_settings(reader);
    settings.record_store.address = reader.optional_address(
        "platform.record_store_address",
        settings.platform.object_store.address);
    settings.record_store.port =
        static_cast<std::uint16_t>(reader.optional_integer(
            "platform.record_store_port",
            settings.platform.object_store.port,
            1,
            max_port));
    read_gates(reader, settings.gates);
    settings.charts = reader.optional_string("charts", "charts");
    BOOST_OUTCOME_TRY(reader.finish());
    return settings;
}

result<net::endpoint> parse_endpoint(std::string_view text)
{
    const error failure = make_error(
        error_kind::invalid_input,
        "expected IP:PORT, found \"" + std::string(text) + "\"");
    std::optional<net::endpoint> endpoint = net::split_endpoint(text);
    if (!endpoint)
    {
        return failure;
    }
    std::string& address = endpoint->address;
    if (address.starts_with('[') && address.ends_with(']'))
    {
        address = address.substr(1, address.size() - 2);
    }
    boost::system::error_code code;
    boost::asio::ip::make_address(address, code);
    if (code)
    {
        return failure;
    }
    return *endpoint;
}

} // namespace chicory::control
