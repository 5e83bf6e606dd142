#ifndef CHICORY_BACKEND_BACKEND_SERVER_HPP
#define CHICORY_BACKEND_BACKEND_SERVER_HPP

#include "core/core.hpp"
#include "net/net.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicory::backend
{

/// A request to a backend server to start a run.
struct run_request
{
    /// Identifies the run on the backend server for `resume` and `cancel`.
    std::string run_id;
    /// Path of the call at the backend server, such as "/v1/completions".
    std::string path;
    std::string content_type = "application/json";
    std::string body;
};

/// A load report of a backend server. It lags behind the actual load.
struct load_report
{
    std::int64_t in_progress = 0;
    std::int64_t slots = 0;
    std::uint64_t incarnation = 0;
    bool leaving = false;
    std::string model;
    /// The following fields are missing when the server does not report them.
    std::optional<std::string> version = std::nullopt;
    std::optional<std::vector<std::string>> adapters = std::nullopt;
    std::optional<std::string> role = std::nullopt;
};

/// An order to an engine, which states the desired state.
struct engine_order
{
    /// Number of the lease under which the order is given.
    std::int64_t fencing_number = 0;
    /// "load_model", "load_adapter", "load_version" or "set_role".
    std::string action;
    /// Name of the model, version, adapter or role.
    std::string argument;
    /// Model to which the version or adapter belongs; empty otherwise.
    std::string model;
};

/// Port to one kind of backend server. Each method has the server's address as
/// a parameter, so one object is used for all servers of the kind.
class backend_server
{
public:
    virtual ~backend_server() = default;

    /// Starts a run. The body of the response is streamed by the server. Status
    /// 503 with header "x-not-run: true" is a refusal that proves that the
    /// request was not run. `limit` bounds the time to the head of the
    /// response.
    virtual boost::asio::awaitable<net::open_outcome>
    run(net::endpoint server, run_request request, duration limit) = 0;

    /// Reads the response of a run again from a byte offset. `limit` bounds the
    /// time to the head of the response. A server that does not know the run
    /// responds with status 404.
    virtual boost::asio::awaitable<net::open_outcome> resume(
        net::endpoint server,
        std::string run_id,
        std::uint64_t offset,
        duration limit) = 0;

    /// Cancels a run. A run that is unknown or has ended is not an error.
    /// Errors: unavailable, outcome_unknown.
    virtual boost::asio::awaitable<result<void>>
    cancel(net::endpoint server, std::string run_id) = 0;

    /// Reads the load report. Errors: unavailable, outcome_unknown; internal
    /// for a report that cannot be parsed.
    virtual boost::asio::awaitable<result<load_report>>
    load(net::endpoint server) = 0;

    /// Sends an order. Errors: conflict when the server refuses an old fencing
    /// number; overloaded when the weight store refused to send the weights to
    /// the server, whose state has not changed; unavailable for any other
    /// status but 200, or when the order was not sent; outcome_unknown when the
    /// response was lost.
    virtual boost::asio::awaitable<result<void>>
    order(net::endpoint server, engine_order order) = 0;
};

/// Returns the HTTP client of backend servers. The client must outlive it.
std::unique_ptr<backend_server> make_http_backend(net::http_client& client);

} // namespace chicory::backend

#endif
