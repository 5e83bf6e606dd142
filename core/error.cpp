#include "core/error.hpp"

#include "core/enum_table.hpp"

namespace chicory
{

namespace
{

constexpr enum_table<error_kind, 12> error_kind_names = {{
    {error_kind::invalid_input, "invalid_input"},
    {error_kind::not_found, "not_found"},
    {error_kind::conflict, "conflict"},
    {error_kind::unavailable, "unavailable"},
    {error_kind::timeout, "timeout"},
    {error_kind::unauthenticated, "unauthenticated"},
    {error_kind::forbidden, "forbidden"},
    {error_kind::overloaded, "overloaded"},
    {error_kind::cancelled, "cancelled"},
    {error_kind::outcome_unknown, "outcome_unknown"},
    {error_kind::malformed, "malformed"},
    {error_kind::internal, "internal"},
}};

} // namespace

std::string_view name_of(error_kind kind)
{
    return find_name(error_kind_names, kind);
}

} // namespace chicory
