#ifndef CHICORY_TESTS_FAULTS_LEG_HPP
#define CHICORY_TESTS_FAULTS_LEG_HPP

#include "net/net.hpp"
#include "tests/faults/fault.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chicory::faults
{

/// Settings of a leg: its name, the endpoint it listens on, its target, and the
/// groups that it connects.
struct leg_settings
{
    std::string name;
    net::endpoint local;
    net::endpoint target;
    std::string from_group;
    std::string to_group;
};

/// The permanent faults and the rules of one leg. It has no sockets.
class leg
{
public:
    leg(leg_settings initial_settings, std::uint64_t seed);

    const leg_settings& settings() const;

    /// Applies a permanent fault (delay, loss, reorder, refuse, cut). Other
    /// kinds are ignored.
    void set(const fault& applied);

    /// Removes all faults and rules, and releases held bytes.
    void heal();

    /// Adds a rule.
    void add_rule(std::shared_ptr<rule> added);

    /// Returns the rules that match a piece of bytes and counts the matches.
    /// `tail` contains the last bytes of the previous pieces, so that a text
    /// across two pieces is found.
    std::vector<std::shared_ptr<rule>>
    match(direction flow, std::string& tail, const std::string& piece);

    /// Returns a random delay for the next piece.
    std::chrono::milliseconds draw_delay();

    /// Returns whether the next piece is lost, at random.
    bool draw_loss();

    /// Returns whether the next datagram is delayed so that the following
    /// datagram overtakes it, at random.
    bool draw_reorder();

    bool is_refusing() const;
    bool is_cut() const;

private:
    bool draw(double percent);

    leg_settings own_settings;
    fault delay;
    double loss_percent = 0.0;
    double reorder_percent = 0.0;
    bool refusing = false;
    bool cut = false;
    std::vector<std::shared_ptr<rule>> rules;
    std::mt19937_64 generator;
};

/// Waits until a rule that holds back bytes is released.
boost::asio::awaitable<void>
wait_for_release(std::shared_ptr<rule> holding_rule);

/// Waits for a duration.
boost::asio::awaitable<void> wait(std::chrono::milliseconds length);

/// A leg with its sockets.
class running_leg
{
public:
    virtual ~running_leg() = default;

    /// Binds the socket and starts to forward traffic. Fails with `unavailable`
    /// if the endpoint cannot be bound.
    virtual result<void> start() = 0;

    /// Returns the bound port.
    virtual std::uint16_t port() const = 0;

    /// Returns the number of open connections (TCP) or known senders (UDP).
    virtual std::size_t open_count() const = 0;

    /// Applies a reset or silence to the open connections or the known senders.
    /// Other kinds are ignored.
    virtual void apply_now(fault_kind kind) = 0;

    /// Returns the faults and rules of this leg.
    virtual leg& rules() = 0;
};

/// Returns a leg that forwards TCP connections.
std::shared_ptr<running_leg> make_tcp_leg(
    boost::asio::any_io_executor executor,
    leg_settings settings,
    std::uint64_t seed);

/// Returns a leg that forwards UDP datagrams.
std::shared_ptr<running_leg> make_udp_leg(
    boost::asio::any_io_executor executor,
    leg_settings settings,
    std::uint64_t seed);

} // namespace chicory::faults

#endif
