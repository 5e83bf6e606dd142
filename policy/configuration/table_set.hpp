#ifndef CHICORY_POLICY_CONFIGURATION_TABLE_SET_HPP
#define CHICORY_POLICY_CONFIGURATION_TABLE_SET_HPP

#include "policy/configuration/pool.hpp"
#include "policy/configuration/route.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace chicory::configuration
{

/// The complete configuration at one fleet-wide revision. Revision zero means
/// that no configuration is known.
struct table_set
{
    std::int64_t revision = 0;
    std::map<std::string, route> routes;
    std::map<std::string, pool> pools;

    bool operator==(const table_set&) const = default;
};

} // namespace chicory::configuration

#endif
