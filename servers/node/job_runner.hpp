#ifndef CHICORY_SERVERS_NODE_JOB_RUNNER_HPP
#define CHICORY_SERVERS_NODE_JOB_RUNNER_HPP

#include "servers/node/item_execution.hpp"
#include "servers/node/job_store.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chicory::node
{

/// Runs the items of the jobs that this node owns, commits their results, and
/// takes over jobs whose owners have failed or left.
class job_runner
{
public:
    /// Returns the live nodes that can own jobs.
    using nodes_hook = std::function<std::vector<serving::live_node>()>;

    /// Returns the incarnation of this node that the other nodes know.
    using incarnation_hook = std::function<std::uint64_t()>;

    job_runner(
        boost::asio::io_context& io,
        run_services shared_services,
        job_store& initial_store,
        std::string vm_id,
        incarnation_hook get_incarnation,
        nodes_hook get_live_nodes);

    void start();

    /// Stops all work and hands the jobs over to other nodes.
    void leave();

    /// Stores the items of a job that this node has just accepted.
    void
    on_accepted(const std::string& job, std::vector<platform::job_item> items);

    /// Returns the items of a job that runs on this node, or null.
    const std::vector<platform::job_item>*
    find_items(const std::string& job) const;

private:
    struct finished_item
    {
        std::int64_t item = 0;
        serving::item_state state = serving::item_state::completed;
        std::string text;
        /// Saved pieces of the text, to be removed from the store when the item
        /// is listed.
        std::vector<std::int64_t> pieces;
    };
    struct active_job
    {
        std::string id;
        std::string organisation;
        std::vector<platform::job_item> items;
        std::map<std::int64_t, std::shared_ptr<item_execution>> executions;
        /// Executions of items that were refused and do not run now, apart from
        /// those with text to save. They are kept apart, so that no tick passes
        /// them.
        std::map<std::int64_t, std::shared_ptr<item_execution>> suspended;
        /// Items to start when there is a place for them.
        std::set<std::int64_t> unstarted;
        /// Those that may prove to be impossible for the runners.
        std::set<std::int64_t> uncertain;
        /// Items that no runner can run at present, and those that are to be
        /// tried, with what they need.
        std::map<std::int64_t, serving::item_requirement> held;
        std::set<std::int64_t> trials;
        /// Services of the route for which the items were examined.
        std::vector<serving::service_share> services;
        /// Failures of items, including those before this node took over the
        /// job.
        std::map<std::int64_t, serving::item_failures> failures;
        std::vector<finished_item> finished;
        /// Saved pieces of items that have not been started on this node yet.
        job_store::pieces_by_item saved;
        time_point next_save;
        bool saving = false;
        bool failures_changed = false;
        bool committing = false;
        bool stopped = false;
    };

    /// Time during which a change of a job is retried, and delay before a job
    /// that could not be read is read again.
    static constexpr std::chrono::milliseconds commit_limit{1500};
    static constexpr std::chrono::milliseconds load_retry{200};
    /// Maximum work on an item that is lost when its node fails, while the
    /// store is reachable. One call saves the pieces of all items of a job.
    static constexpr std::chrono::milliseconds save_interval{1000};

    void schedule_reconcile();
    void tick();
    void reconcile(time_point now);
    void load_if_inactive(const serving::job_record& job);
    void stop(active_job& job);
    /// A job with items to start, with its route.
    struct startable_job
    {
        bool late = false;
        duration time_left = duration::zero();
        std::shared_ptr<active_job> job;
        std::shared_ptr<const serving::serving_route> route;
    };
    std::vector<startable_job> find_startable_jobs() const;
    void start_items();
    /// Starts items of one of the two sets of a job while there are places.
    void start_items_of(
        const startable_job& next,
        bool uncertain,
        serving::item_admission& admission);
    /// Starts an item, or continues one that was held.
    void start_item(
        const startable_job& next,
        std::int64_t item,
        const serving::item_requirement& needed);
    serving::item_requirement make_requirement(
        const active_job& job,
        std::int64_t item,
        const serving::serving_route& route) const;
    void hold_item(
        active_job& job,
        std::int64_t item,
        const serving::item_requirement& needed,
        serving::hold_reason reason,
        bool is_new);
    /// Returns the execution of an item that was refused and does not run now,
    /// or null.
    static item_execution*
    find_suspended(const active_job& job, std::int64_t item);
    /// Forgets that an item is held or on trial.
    void forget_hold(active_job& job, std::int64_t item);
    /// Releases the items that runners may be able to run now.
    void release_items(time_point now);
    /// Applies changes of the configuration and of the runners to held items.
    void update_holds(time_point now);
    /// Examines the items of jobs again whose routes lead to other services
    /// now.
    void examine_moved_items();
    void report_holds(time_point now);
    /// Returns the items of this node that wait for slots.
    serving::item_admission count_waiting() const;
    static bool is_finished(const active_job& job, std::int64_t item);
    /// Returns the route of a job, or null when the job or its route does not
    /// exist.
    std::shared_ptr<const serving::serving_route>
    find_route(const serving::job_record* job) const;
    boost::asio::awaitable<void> take_over(std::string id);
    boost::asio::awaitable<void> load(std::string id);
    boost::asio::awaitable<void>
    run_item(std::shared_ptr<active_job> job, std::int64_t item);
    boost::asio::awaitable<void> commit(std::shared_ptr<active_job> job);
    std::optional<job_change>
    make_change(const active_job& job, const serving::job_record& record) const;
    void fail_expired_items(active_job& job, const serving::job_record& record);
    void request_commit(const std::shared_ptr<active_job>& job);
    /// Pieces of the running items, with the numbers of their items.
    using unsaved_pieces =
        std::vector<std::pair<std::int64_t, serving::item_piece>>;
    static unsaved_pieces collect_unsaved(const active_job& job);
    /// Returns the pieces of an item to remove from the store when it is
    /// listed.
    static std::vector<std::int64_t> list_pieces_to_remove(
        const active_job& job, const serving::item_progress& progress);
    void request_save(time_point now, const std::shared_ptr<active_job>& job);
    boost::asio::awaitable<void>
    save(std::shared_ptr<active_job> job, unsaved_pieces pieces);
    /// Hands a job of this node, which is leaving, over to another node, with
    /// its uncommitted results and unsaved pieces.
    boost::asio::awaitable<void> hand_over(
        std::shared_ptr<active_job> job,
        unsaved_pieces pieces,
        serving::live_node successor);

    boost::asio::io_context& context;
    boost::asio::steady_timer timer;
    run_services services;
    job_store& store;
    std::string self;
    incarnation_hook own_incarnation;
    nodes_hook live_nodes;
    std::map<std::string, std::shared_ptr<active_job>> active;
    std::map<std::string, std::vector<platform::job_item>> accepted_items;
    /// Jobs that are being loaded or taken over.
    std::set<std::string> in_transition;
    serving::job_ownership ownership;
    serving::item_holds holds;
    std::int64_t seen_configuration = -1;
    std::uint64_t seen_runners_version = 0;
    /// Runners of each service, to notice changes.
    std::map<std::string, std::uint64_t> seen_runners;
    std::map<std::string, serving::hold_counts> reported_holds;
    time_point next_hold_report;
    int uncertain_starts_left = 0;
    bool leaving = false;
    bool reconcile_scheduled = false;
};

} // namespace chicory::node

#endif
