#ifndef CHICORY_PORTS_OBJECT_STORE_HPP
#define CHICORY_PORTS_OBJECT_STORE_HPP

#include "core/core.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace chicory::ports
{

/// Port to the platform's object store. A name is never written twice with
/// different content, so a write whose response was lost can be repeated.
class object_store
{
public:
    virtual ~object_store() = default;

    /// Stores an object under a name. Errors: unavailable, timeout,
    /// outcome_unknown when the object may have been stored.
    virtual boost::asio::awaitable<result<void>>
    put(std::string name, std::string bytes) = 0;

    /// Reads an object. Errors: not_found, unavailable, timeout.
    virtual boost::asio::awaitable<result<std::string>>
    get(std::string name) = 0;
};

} // namespace chicory::ports

#endif
