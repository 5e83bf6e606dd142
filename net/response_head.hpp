#ifndef CHICORY_NET_RESPONSE_HEAD_HPP
#define CHICORY_NET_RESPONSE_HEAD_HPP

#include "core/core.hpp"

#include <string_view>
#include <vector>

namespace chicory::net
{

/// Returns whether a status announces that the response follows.
bool is_informational_status(int status);

/// Checks that a head whose syntax is correct begins a response to a request of
/// this client, whoever sent it: a backend server, the store or another node.
/// `transfer_codings` are the values of the `Transfer-Encoding` headers. Error:
/// malformed with the value that was expected and the one that was found. The
/// request may have run nevertheless, and the connection must be closed.
result<void> check_response_head(
    int status, const std::vector<std::string_view>& transfer_codings);

} // namespace chicory::net

#endif
