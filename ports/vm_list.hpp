#ifndef CHICORY_PORTS_VM_LIST_HPP
#define CHICORY_PORTS_VM_LIST_HPP

#include "core/core.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chicory::ports
{

/// One entry of the platform's VM list, with the texts that the platform sends.
/// `role` is "entry" or "runner", `state` is "live" or "leaving".
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

/// Port to the platform's list of live and leaving VMs. The list lags behind
/// the actual state of the VMs.
class vm_list
{
public:
    virtual ~vm_list() = default;

    /// Reads the whole list. Errors: unavailable, timeout.
    virtual boost::asio::awaitable<result<std::vector<listed_vm>>> read() = 0;
};

} // namespace chicory::ports

#endif
