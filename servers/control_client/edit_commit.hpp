#ifndef CHICORY_SERVERS_CONTROL_CLIENT_EDIT_COMMIT_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_EDIT_COMMIT_HPP

#include "servers/control_client/command_report.hpp"
#include "servers/control_client/configuration_store.hpp"

#include <functional>

namespace chicory::control
{

/// Sets the operator, the operation id and the time of an edit.
using edit_hook = std::function<void(configuration::edit&)>;

/// Returns the report of the outcome of an edit.
command_report report_edit(const edit_report& edit_result);

/// Completes an edit by the hook and commits it. The store and the hook must
/// outlive the call.
boost::asio::awaitable<command_report> commit_edit(
    configuration_store& store,
    const edit_hook& complete_edit,
    configuration::edit edit);

} // namespace chicory::control

#endif
