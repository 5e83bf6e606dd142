#ifndef CHICORY_PORTS_VM_LIST_HPP
#define CHICORY_PORTS_VM_LIST_HPP

#include "core/core.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chicory::ports
{

/// One line of the platform's list, as the platform writes it. `role` is
/// "entry" or "runner", `state` is "live" or "leaving".
struct listed_vm
{
    std::string id;
    std::string role;
    std::string state;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string zone;
    std::string address;
    std::uint16_t http_port = 0;
    std::uint16_t link_port = 0;
    std::uint16_t batch_port = 0;
    std::uint16_t gossip_port = 0;
    std::string service;
};

/// Port to the platform's lagging list of live and leaving VMs.
class vm_list
{
public:
    virtual ~vm_list() = default;

    /// Reads the whole list. Errors: unavailable, timeout.
    virtual boost::asio::awaitable<result<std::vector<listed_vm>>> read() = 0;
};

} // namespace chicory::ports

#endif
