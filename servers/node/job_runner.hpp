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
/// takes over jobs whose owners are gone.
class job_runner
{
public:
    /// Tells the nodes that take work.
    using nodes_hook = std::function<std::vector<serving::live_node>()>;

    /// Tells the incarnation by which the other nodes know this one.
    using incarnation_hook = std::function<std::uint64_t()>;

    job_runner(
        boost::asio::io_context& io,
        run_services shared_services,
        job_store& its_ledger,
        std::string vm_id,
        incarnation_hook its_incarnation,
        nodes_hook live);

    void start();

    /// Ends all work, so that other nodes take it over.
    void leave();

    /// Keeps the items of a job that this node has just accepted.
    void
    on_accepted(const std::string& job, std::vector<platform::job_item> items);

    /// Returns the items of a job that runs here, or null.
    const std::vector<platform::job_item>*
    find_items(const std::string& job) const;

private:
    struct finished_item
    {
        std::int64_t item = 0;
        serving::item_state state = serving::item_state::completed;
        std::string text;
        /// Pieces of the text that the store keeps no longer than this.
        std::vector<std::int64_t> pieces;
    };
    struct active_job
    {
        std::string id;
        std::vector<platform::job_item> items;
        std::map<std::int64_t, std::shared_ptr<item_execution>> runs;
        /// Failures of items, those before this node took the job included.
        std::map<std::int64_t, serving::item_failures> failures;
        std::vector<finished_item> finished;
        /// What was saved of items that do not run here yet.
        job_store::pieces_by_item saved;
        time_point next_save;
        bool saving = false;
        bool failures_changed = false;
        bool committing = false;
        bool stopped = false;
    };

    /// Time that a change of a job is tried, and between two reads of one that
    /// could not be read.
    static constexpr std::chrono::milliseconds commit_limit{1500};
    static constexpr std::chrono::milliseconds load_retry{200};
    /// Work on an item that the loss of its node may cost at most, while the
    /// store serves. A save is one call for all items of a job.
    static constexpr std::chrono::milliseconds save_interval{1000};

    void schedule();
    void tick();
    void review(time_point now);
    void review_owned(const serving::job_record& job);
    void stop(active_job& job);
    void launch();
    void launch_item(
        const std::shared_ptr<active_job>& job,
        std::int64_t item,
        const serving::serving_route& route,
        duration left);
    std::size_t count_waiting() const;
    static bool is_finished(const active_job& job, std::int64_t item);
    /// Returns the route of a job, or null when the job or its route is gone.
    std::shared_ptr<const serving::serving_route>
    find_route(const serving::job_record* job) const;
    boost::asio::awaitable<void> take_over(std::string id);
    boost::asio::awaitable<void> load(std::string id);
    boost::asio::awaitable<void>
    run_item(std::shared_ptr<active_job> job, std::int64_t item);
    boost::asio::awaitable<void> commit(std::shared_ptr<active_job> job);
    std::optional<job_change>
    make_change(const active_job& job, const serving::job_record& record) const;
    void give_up_old(active_job& job, const serving::job_record& record);
    void request_commit(const std::shared_ptr<active_job>& job);
    /// Pieces of the items that run, with the items they belong to.
    using unsaved_pieces =
        std::vector<std::pair<std::int64_t, serving::item_piece>>;
    static unsaved_pieces collect_unsaved(const active_job& job);
    /// Returns the pieces of an item to remove when it is listed.
    static std::vector<std::int64_t>
    list_pieces(const active_job& job, const serving::item_progress& progress);
    void request_save(time_point now, const std::shared_ptr<active_job>& job);
    boost::asio::awaitable<void>
    save(std::shared_ptr<active_job> job, unsaved_pieces pieces);
    /// Gives a job of this node, which is leaving, to another one with all
    /// that was done.
    boost::asio::awaitable<void> hand_over(
        std::shared_ptr<active_job> job,
        unsaved_pieces pieces,
        serving::live_node successor);

    boost::asio::io_context& context;
    boost::asio::steady_timer timer;
    run_services services;
    job_store& ledger;
    std::string self;
    incarnation_hook own_incarnation;
    nodes_hook live_nodes;
    std::map<std::string, std::shared_ptr<active_job>> active;
    std::map<std::string, std::vector<platform::job_item>> accepted_items;
    /// Jobs that are being loaded or taken over.
    std::set<std::string> busy;
    serving::job_ownership ownership;
    bool leaving = false;
    bool scheduled = false;
};

} // namespace chicory::node

#endif
