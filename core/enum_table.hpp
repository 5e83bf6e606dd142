#ifndef CHICORY_CORE_ENUM_TABLE_HPP
#define CHICORY_CORE_ENUM_TABLE_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace chicory
{

/// Maps one enumerator to its name.
template <class Enum>
struct enum_entry
{
    Enum value;
    std::string_view name;
};

/// Names of an enumeration, listed in the order of the enumerators.
template <class Enum, std::size_t Size>
using enum_table = std::array<enum_entry<Enum>, Size>;

/// Returns the name of a value, or "unknown" for a value without an entry.
template <class Enum, std::size_t Size>
constexpr std::string_view
find_name(const enum_table<Enum, Size>& table, Enum value)
{
    for (const enum_entry<Enum>& entry : table)
    {
        if (entry.value == value)
        {
            return entry.name;
        }
    }
    return "unknown";
}

/// Returns the value with the given name, or nullopt if no entry has it.
template <class Enum, std::size_t Size>
constexpr std::optional<Enum>
find_value(const enum_table<Enum, Size>& table, std::string_view name)
{
    for (const enum_entry<Enum>& entry : table)
    {
        if (entry.name == name)
        {
            return entry.value;
        }
    }
    return std::nullopt;
}

} // namespace chicory

#endif
