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

/// Outcome of the execution of an item.
enum class item_outcome
{
    /// The text is complete.
    completed,
    /// The runner responded that the run failed.
    failed,
    /// The runner responded that the item can never be done.
    impossible,
    /// The execution was stopped by its owner.
    stopped,
    /// No runner can run the item at present; `held_for` says why.
    held,
};

/// Executes one item over all its runs: gets a slot, sends the item, and
/// continues at another runner with the text so far when the run is preempted
/// or the runner fails.
class item_execution
{
public:
    /// Returns whether one more item of a service that runners refused may wait
    /// for a slot.
    using place_hook = std::function<bool(const std::string& service)>;

    /// `shared_holds` must outlive the execution.
    item_execution(
        boost::asio::io_context& io,
        run_services shared_services,
        const platform::job_item& initial_item,
        std::string initial_job,
        std::string route_name,
        std::string initial_organisation,
        std::string initial_service,
        time_point initial_accepted_at,
        const std::vector<serving::item_piece>& saved,
        serving::item_holds& shared_holds,
        serving::item_key initial_key,
        place_hook may_wait);

    /// Executes the item until it has one of the outcomes of `item_outcome`.
    /// May be called again after `failed` and `held`.
    boost::asio::awaitable<item_outcome> execute();

    /// Makes the next run a trial of an item that was held.
    void begin_trial(const serving::item_requirement& held);

    /// Returns why the last call of `execute` returned `held`.
    serving::hold_reason held_for() const;

    /// Returns whether that call was a trial.
    bool was_on_trial() const;

    /// Returns whether the item is on trial or was refused by a runner since
    /// its last run.
    bool is_uncertain() const;

    /// Makes the item, which is not held any more, like one that no runner has
    /// refused.
    void forget_refusals();

    /// Returns what the item needs of a runner.
    const serving::item_requirement& requirement() const;

    /// Stops the execution. `execute` returns `stopped` shortly afterwards.
    void stop();

    /// Returns whether the item waits for a slot.
    bool is_waiting() const;

    const serving::item_progress& progress() const;

    /// Returns the events that are not saved yet, or nothing when all are
    /// saved.
    std::optional<serving::item_piece> unsaved() const;

    /// Records that the store has saved a piece.
    void on_saved(const serving::item_piece& piece);

private:
    enum class step
    {
        retry,
        completed,
        failed,
        impossible,
        held,
    };

    void preempt();
    void close_run();
    duration expected_work() const;
    slot_requirements
    make_slot_requirements(const serving::serving_route& current);
    /// Returns the name that runners are told, or nothing if their headers are
    /// not concerned with organisations.
    std::optional<std::string> find_shown_organisation() const;
    /// Updates `needed` from the current route. Ends a trial of other needs.
    void update_requirement(const serving::serving_route& current);
    /// Returns the outcome of the use of a slot whose run did not begin.
    serving::slot_outcome
    find_slot_outcome(const runner_outcome& outcome) const;
    /// Records that a runner can run the item, whatever its outcome.
    void record_acceptance();
    /// Records that a runner refused the item, or ran it and answered with
    /// neither a text nor a failure. Returns whether the item is to be held.
    bool record_refusal(serving::hold_reason reason);
    boost::asio::awaitable<step> run_once();
    boost::asio::awaitable<step> handle_response(
        const slot_result& slot, std::unique_ptr<net::http_stream> response);
    boost::asio::awaitable<step> read_text(const slot_result& slot);
    /// Checks the received text against the response limits. Error: malformed.
    result<void> check_limits();
    boost::asio::awaitable<void> pause(duration length);
    boost::asio::awaitable<void> pause_before_retry();
    /// Excludes a runner from the next runs of the item.
    void avoid_runner(const std::string& runner, std::size_t max_avoided);

    boost::asio::io_context& context;
    run_services services;
    const platform::job_item& item;
    std::string job;
    std::string route;
    /// Organisation of the job; empty if it has none.
    std::string organisation;
    serving::item_holds& holds;
    serving::item_key key;
    place_hook may_wait_refused;
    serving::item_requirement needed;
    /// What the item needed when it was held, if it is on trial.
    std::optional<serving::item_requirement> trial;
    /// Consecutive refusals by runners that were not full.
    int refusals = 0;
    bool is_held = false;
    bool held_after_trial = false;
    serving::hold_reason hold_cause = serving::hold_reason::refused;
    /// Time at which the item's job was accepted.
    time_point accepted_at;
    std::int64_t output_tokens;
    serving::item_progress text;
    /// Total time of the item's finished runs, including those before the last
    /// saved piece, and the start of the current run.
    duration worked = duration::zero();
    std::optional<time_point> run_started;
    /// Number of consecutive runs without progress that the runner closed or
    /// answered with something else than a stream.
    int fruitless_runs = 0;
    /// Set while the item waits for its next run, so that `stop` can end the
    /// wait.
    boost::asio::steady_timer* pause_timer = nullptr;
    net::http_cancellation* send_cancellation = nullptr;
    std::unique_ptr<net::http_stream> stream;
    slot_cancellation slot_wait_cancellation;
    std::vector<std::string> avoided_runners;
    bool stopped = false;
    bool preempted = false;
    bool has_slot = false;
    /// True after a runner responded that the item failed.
    bool has_failed_run = false;
};

} // namespace chicory::node

#endif
