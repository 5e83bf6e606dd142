#include "net/response_head.hpp"

#include "net/http_message.hpp"

#include <string>

namespace chicory::net
{

namespace
{

constexpr int first_status = 100;
constexpr int first_final_status = 200;
constexpr int last_status = 599;
/// The client requests no other protocol, so that no server may switch to one.
constexpr int status_switching_protocols = 101;

} // namespace

bool is_informational_status(int status)
{
    return status >= first_status && status < first_final_status;
}

result<void> check_response_head(
    int status, const std::vector<std::string_view>& transfer_codings)
{
    if (status < first_status || status > last_status ||
        status == status_switching_protocols)
    {
        return make_error(
            error_kind::malformed,
            "expected a status of 100 to 599 other than 101, found " +
                std::to_string(status));
    }
    for (const std::string_view coding : transfer_codings)
    {
        // The client accepts no other coding. Its result would be passed on
        // under the name of the body.
        if (to_lower(coding) != "chunked")
        {
            return make_error(
                error_kind::malformed,
                "expected no transfer coding but chunked, found " +
                    std::string(coding));
        }
    }
    return boost::outcome_v2::success();
}

} // namespace chicory::net
