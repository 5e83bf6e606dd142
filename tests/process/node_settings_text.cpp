#include "tests/process/node_settings_text.hpp"

#include "tests/process/http_call.hpp"

#include <sstream>

namespace chicory::process
{

std::string make_node_settings(
    const net::endpoint& requests,
    const net::endpoint& readiness,
    std::uint16_t store_port,
    const std::string& log_level)
{
    std::ostringstream text;
    text << "[vm]\nid = \"vm-1\"\nregion = \"r1\"\nzone = \"z1\"\n"
         << "address = \"127.0.0.1\"\nseeds = []\n[listen]\n"
         << "requests = \"" << requests.address << ':' << requests.port
         << "\"\nreadiness = \"" << readiness.address << ':' << readiness.port
         << "\"\nentry_addresses = \"127.0.0.1:" << find_free_port()
         << "\"\nfirst_internal_port = " << find_free_port()
         << "\n[store]\naddress = \"127.0.0.1:" << store_port
         << "\"\n[log]\nlevel = \"" << log_level << "\"\n";
    return text.str();
}

} // namespace chicory::process
