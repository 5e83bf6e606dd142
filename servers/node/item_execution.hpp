#ifndef CHICORY_SERVERS_NODE_ITEM_EXECUTION_HPP
#define CHICORY_SERVERS_NODE_ITEM_EXECUTION_HPP

#include "platform/platform.hpp"
#include "policy/serving/serving.hpp"
#include "servers/node/run_services.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicory::node
{

/// How the work on an item went.
enum class item_end
{
    /// The whole text is there.
    completed,
    /// The runner answered that the run failed.
    failed,
    /// The runner answered that the item can never be done.
    impossible,
    /// The work was stopped from outside.
    stopped,
};

/// Runs one item until it ends: gets a slot, sends the item, and goes on
/// elsewhere with the text so far when it has to yield or a runner is lost.
class item_execution
{
public:
    item_execution(
        boost::asio::io_context& io,
        run_services shared_services,
        const platform::job_item& its_item,
        std::string its_job,
        std::string route_name,
        time_point due_at,
        time_point given_up_at,
        const std::vector<serving::item_piece>& saved);

    /// Works until the item ends in one of the ways of `item_end`. May be
    /// called again after `failed`.
    boost::asio::awaitable<item_end> work();

    /// Stops the work soon.
    void stop();

    /// Returns whether the item has no slot now.
    bool is_waiting() const;

    const serving::item_progress& progress() const;

    /// Returns what was not saved yet; nothing when that is no event.
    std::optional<serving::item_piece> unsaved() const;

    /// Takes that the store keeps a piece.
    void on_saved(const serving::item_piece& piece);

private:
    enum class step
    {
        again,
        completed,
        failed,
        impossible,
    };

    void yield();
    void close_run();
    duration expected_work() const;
    boost::asio::awaitable<step> run_once();
    boost::asio::awaitable<step> take_answer(
        const slot_result& slot, std::unique_ptr<net::http_stream> answer);
    boost::asio::awaitable<step> read_text(const slot_result& slot);
    /// Error: malformed when more came than is taken.
    result<void> check_bounds();
    boost::asio::awaitable<void> pause(duration length);
    boost::asio::awaitable<void> pause_before_retry();

    boost::asio::io_context& context;
    run_services services;
    const platform::job_item& item;
    std::string job;
    std::string route;
    time_point due;
    time_point gives_up_at;
    std::int64_t output_tokens;
    serving::item_progress text;
    /// Time that runs of the item have taken, those before the last saved
    /// piece included, and when the one in progress began.
    duration worked = duration::zero();
    std::optional<time_point> run_began;
    /// Runs in a row at whose runner the connection closed without progress.
    int closed_runs = 0;
    /// Set while the item waits for its next run, so that a stop ends that.
    boost::asio::steady_timer* pausing = nullptr;
    net::http_cancellation* sending = nullptr;
    std::unique_ptr<net::http_stream> stream;
    slot_cancellation waiting;
    std::vector<std::string> avoided;
    bool stopped = false;
    bool yielding = false;
    bool has_slot = false;
    /// True after a runner answered that the item failed.
    bool has_failed = false;
};

} // namespace chicory::node

#endif
