#include "policy/configuration/row_keys.hpp"

namespace chicory::configuration
{

std::string route_key(std::string_view name)
{
    return std::string(route_prefix).append(name);
}

std::string pool_key(std::string_view name)
{
    return std::string(pool_prefix).append(name);
}

std::string history_key(std::int64_t revision)
{
    const std::string digits = std::to_string(revision);
    std::string key(history_prefix);
    for (int length = static_cast<int>(digits.size()); length < history_digits;
         ++length)
    {
        key.push_back('0');
    }
    return key + digits;
}

} // namespace chicory::configuration
