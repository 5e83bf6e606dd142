#ifndef CHICORY_SERVERS_GATE_RUNNER_OWNER_HPP
#define CHICORY_SERVERS_GATE_RUNNER_OWNER_HPP

#include "backend/backend.hpp"
#include "core/core.hpp"
#include "policy/online/online.hpp"
#include "servers/dispatch/dispatch.hpp"
#include "servers/gate/owned_run.hpp"
#include "wire/wire.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicory::gate
{

/// Runs attempts on the runners that this gate owns. Each owned runner has an
/// online::runner_queue, which decides what is sent to its backend server and
/// when.
class runner_owner
{
public:
    /// Called with messages that are to be sent to all other gates.
    using notice_hook = std::function<void(const wire::message&)>;

    runner_owner(
        boost::asio::any_io_executor executor,
        dispatching::fleet_cache& fleet,
        backend::backend_server& servers,
        online::quarantine& suspects,
        metrics& counters,
        std::string own_vm);

    void set_notice_hook(notice_hook hook);

    /// Starts the timer that checks deadlines and reads the load of the owned
    /// runners.
    void start();

    /// Refuses new attempts from now on, unless no other gate is in service.
    /// Attempts in progress continue.
    void drain();

    /// Handles a message from a gate or a batch process; `reply` receives the
    /// messages in response to it.
    void handle_message(const wire::message& value, const reply_hook& reply);

    /// Returns the number of attempts queued or running.
    std::size_t in_progress() const;

private:
    using run_pointer = std::shared_ptr<owned_run>;

    struct owned_runner
    {
        owned_runner(
            std::int64_t initial_slots, std::int64_t initial_harm_weight)
            : queue(initial_slots, initial_harm_weight), slots(initial_slots),
              harm_weight(initial_harm_weight)
        {
        }

        online::runner_queue queue;
        std::int64_t slots;
        std::int64_t harm_weight;
        /// Incarnation in the runner's load reports; zero before the first
        /// report.
        std::uint64_t incarnation = 0;
        bool dead = false;
        /// True while a load report is being read.
        bool is_reading_load = false;
        int failed_reports = 0;
        /// True while load reports fail but a response is still arriving. The
        /// runner then gets no new runs, and its current runs continue.
        bool unreachable = false;
        std::int64_t leaving_reports = 0;
    };

    /// A completed run, whose response may have to be sent again.
    struct completed_run
    {
        run_pointer run;
        time_point expires_at;
    };

    void accept(const wire::dispatch& request, const reply_hook& reply);
    void cancel(const wire::cancel_attempt& request);
    void resume(const wire::resume_response& request, const reply_hook& reply);
    void reply_to_probe(const wire::probe& probe, const reply_hook& reply);
    std::optional<reason>
    find_refusal_reason(const wire::dispatch& request) const;
    bool owns(const membership::vm& runner) const;
    bool is_unreachable(const std::string& runner) const;
    bool has_recent_progress(const std::string& runner) const;
    void count_failed_report(const std::string& name, owned_runner& owned);
    owned_runner& find_or_add_runner(
        const std::string& name, const configuration::pool& pool);
    void apply(const online::queue_actions& actions);
    void send(const std::string& id);
    void cancel_sent(const std::string& id, reason why);
    void refuse(const online::refuse_run& refusal);
    void fail_lost_run(const std::string& id);
    void finish(const run_pointer& ended, online::run_result end);
    void on_runner_died(const std::string& name, bool crashed);
    void announce_leaving(const std::string& name);
    void broadcast(const std::vector<online::crash_notice>& notices);
    void tick();
    void watch_runners();
    duration get_head_timeout(const wire::dispatch& request) const;
    boost::asio::awaitable<void> watch();
    boost::asio::awaitable<void> execute(run_pointer started);
    boost::asio::awaitable<void> fetch(run_pointer resumed);
    boost::asio::awaitable<online::run_result> forward(run_pointer started);
    boost::asio::awaitable<bool> reopen_stream(run_pointer broken);
    boost::asio::awaitable<void> cancel_on_runner(run_pointer run);
    boost::asio::awaitable<void>
    read_load(std::string name, net::endpoint server);
    void handle_load_report(
        const std::string& name, const backend::load_report& report);

    boost::asio::any_io_executor executor;
    dispatching::fleet_cache& fleet;
    backend::backend_server& servers;
    online::quarantine& suspects;
    metrics& counters;
    std::string own_vm;
    notice_hook on_notice;
    boost::asio::steady_timer timer;
    bool draining = false;
    std::map<std::string, run_pointer> runs;
    std::map<std::string, owned_runner> runners;
    std::deque<completed_run> completed_runs;
};

} // namespace chicory::gate

#endif
