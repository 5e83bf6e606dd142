#ifndef CHICORY_TESTS_FAULTS_FAULT_HPP
#define CHICORY_TESTS_FAULTS_FAULT_HPP

#include "core/core.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace chicory::faults
{

/// Kind of a fault that the proxy applies to traffic.
enum class fault_kind
{
    /// Only counts the matches of a rule.
    note,
    /// Delays each piece by `delay` plus a random time of up to `jitter`.
    delay,
    /// Drops datagrams; on TCP, delays a piece by the time of one
    /// retransmission.
    loss,
    /// Changes the order of datagrams.
    reorder,
    /// Closes new connections immediately.
    refuse,
    /// Resets open connections.
    reset,
    /// Stops all traffic on open connections; new connections work.
    silence,
    /// Stops all traffic on open and on new connections.
    cut,
    /// Holds back the piece and all following pieces until the rule is
    /// released.
    hold,
};

inline constexpr enum_table<fault_kind, 9> fault_kind_names = {{
    {fault_kind::note, "note"},
    {fault_kind::delay, "delay"},
    {fault_kind::loss, "loss"},
    {fault_kind::reorder, "reorder"},
    {fault_kind::refuse, "refuse"},
    {fault_kind::reset, "reset"},
    {fault_kind::silence, "silence"},
    {fault_kind::cut, "cut"},
    {fault_kind::hold, "hold"},
}};

/// A fault with its parameters.
struct fault
{
    fault_kind kind = fault_kind::note;
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds jitter{0};
    /// Percentage of the pieces that are lost or reordered.
    double percent = 0.0;
};

/// Direction of bytes through a leg.
enum class direction
{
    request,
    response,
};

inline constexpr enum_table<direction, 2> direction_names = {{
    {direction::request, "request"},
    {direction::response, "response"},
}};

/// Applies a fault when bytes that contain a given text pass.
struct rule
{
    std::int64_t id = 0;
    std::string leg;
    direction flow = direction::request;
    std::string text;
    fault effect;
    /// True to apply the fault after the bytes were forwarded.
    bool after = false;
    /// Number of matches that still apply the fault; zero means no limit, and a
    /// negative value means that the rule is used up.
    std::int64_t remaining_matches = 1;
    std::int64_t hits = 0;
    bool released = false;
};

} // namespace chicory::faults

#endif
