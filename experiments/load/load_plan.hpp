#ifndef CHICORY_EXPERIMENTS_LOAD_LOAD_PLAN_HPP
#define CHICORY_EXPERIMENTS_LOAD_LOAD_PLAN_HPP

#include "core/core.hpp"
#include "experiments/load/arrivals.hpp"
#include "net/net.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chicory::load
{

/// Stream of online requests of one member.
struct online_source
{
    std::string name = "online";
    std::string route;
    std::string key;
    std::string path = "/v1/completions";
    arrival_settings arrivals;
    std::int64_t tokens = 8;
    bool streaming = true;
    duration deadline = std::chrono::seconds(10);
    /// Prefix of every prompt.
    std::string prompt = "hello";
    /// Maximum number of times that the caller sends a refused, failed or
    /// broken request again.
    std::int64_t resends = 0;
    /// True to send an idempotency key with each request.
    bool keyed = false;
};

/// A batch job of one member.
struct batch_source
{
    std::string name = "batch";
    std::string route;
    std::string key;
    std::int64_t items = 100;
    std::int64_t tokens = 32;
    /// Time at which the job is submitted, relative to the start of the load.
    duration start{0};
    std::string prompt = "draft";
};

/// Load that is sent to a fleet.
struct load_plan
{
    /// Gates from which the addresses of gates and batch processes are fetched.
    std::vector<net::endpoint> entries;
    /// Time span in which online requests arrive.
    duration length = std::chrono::seconds(10);
    /// Time for which batch jobs are polled after the last online request.
    duration batch_patience = std::chrono::seconds(60);
    std::uint64_t seed = 1;
    std::vector<online_source> online;
    std::vector<batch_source> batches;
    /// True to print progress to standard error.
    bool show_progress = false;
};

/// Parses an online source from `name=value,...`. Error: invalid_input when a
/// name is unknown or a value is malformed; the text contains the field.
result<online_source> parse_online_source(const std::string& text);

/// Parses a batch source from `name=value,...`. Errors are those of
/// `parse_online_source`.
result<batch_source> parse_batch_source(const std::string& text);

} // namespace chicory::load

#endif
