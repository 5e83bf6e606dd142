#ifndef CHICORY_POLICY_CONFIGURATION_VALIDATION_HPP
#define CHICORY_POLICY_CONFIGURATION_VALIDATION_HPP

#include "core/core.hpp"
#include "policy/configuration/table_set.hpp"

#include <string_view>

namespace chicory::configuration
{

/// Checks the fields of a route and that its pool is in the tables. Error:
/// invalid_input with the row, the field, the expected and the found value.
result<void> validate_route(const route& value, const table_set& tables);

/// Checks the fields of a pool. Error: as for `validate_route`.
result<void> validate_pool(const pool& value);

/// Checks that no route uses the pool that is to be deleted. Error: conflict
/// with the name of a route that uses it.
result<void>
validate_pool_deletion(std::string_view name, const table_set& tables);

/// Checks all rows of a configuration. Error: as for `validate_route`.
result<void> validate(const table_set& tables);

} // namespace chicory::configuration

#endif
