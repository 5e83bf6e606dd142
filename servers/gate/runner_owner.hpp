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

/// Runs attempts on the runners that this gate owns: binds one
/// online::runner_queue for each of them to the backend servers.
class runner_owner
{
public:
    /// Takes messages that concern every gate.
    using notice_hook = std::function<void(const wire::message&)>;

    runner_owner(
        boost::asio::any_io_executor executor,
        dispatching::fleet_cache& fleet,
        backend::backend_server& servers,
        online::quarantine& suspects,
        metrics& numbers,
        std::string own_vm);

    void set_notice_hook(notice_hook hook);

    /// Starts to watch the owned runners.
    void start();

    /// Refuses new attempts from now on; those in progress go on.
    void drain();

    /// Takes a message from a gate or a batch process.
    void receive(const wire::message& value, const reply_hook& reply);

    /// Returns the number of attempts queued or running.
    std::size_t in_progress() const;

private:
    using run_pointer = std::shared_ptr<owned_run>;

    struct owned_runner
    {
        owned_runner(std::int64_t slots, std::int64_t harm_weight)
            : queue(slots, harm_weight), slots(slots), harm_weight(harm_weight)
        {
        }

        online::runner_queue queue;
        std::int64_t slots;
        std::int64_t harm_weight;
        /// Incarnation that the runner's own reports show; zero for none yet.
        std::uint64_t incarnation = 0;
        bool dead = false;
        /// True while a load report is being read.
        bool reading = false;
        int failed_reports = 0;
        /// True while reports fail though an answer is still coming: then it
        /// gets nothing new, and what is running goes on.
        bool unreachable = false;
        std::int64_t leaving_reports = 0;
    };

    /// An answer that was sent whole and may have to be sent again.
    struct kept_run
    {
        run_pointer run;
        time_point until;
    };

    void accept(const wire::dispatch& request, const reply_hook& reply);
    void cancel(const wire::cancel_attempt& request);
    void resume(const wire::resume_response& request, const reply_hook& reply);
    void answer_probe(const wire::probe& question, const reply_hook& reply);
    std::optional<reason> find_objection(const wire::dispatch& request) const;
    bool owns(const membership::vm& runner) const;
    bool is_unreachable(const std::string& runner) const;
    bool is_answering(const std::string& runner) const;
    void count_failed_report(const std::string& name, owned_runner& owned);
    owned_runner&
    find_runner(const std::string& name, const configuration::pool& pool);
    void apply(const online::queue_actions& actions);
    void send(const std::string& id);
    void cancel_sent(const std::string& id, reason why);
    void refuse(const online::refuse_run& refusal);
    void lose(const std::string& id);
    void finish(const run_pointer& ended, online::run_result end);
    void runner_died(const std::string& name, bool crashed);
    void note_leaving(const std::string& name);
    void broadcast(const std::vector<online::crash_notice>& notices);
    void tick();
    void watch_runners();
    duration head_limit(const wire::dispatch& request) const;
    boost::asio::awaitable<void> watch();
    boost::asio::awaitable<void> execute(run_pointer started);
    boost::asio::awaitable<void> fetch(run_pointer resumed);
    boost::asio::awaitable<online::run_result> forward(run_pointer started);
    boost::asio::awaitable<bool> reopen_stream(run_pointer broken);
    boost::asio::awaitable<void> cancel_on_runner(run_pointer gone);
    boost::asio::awaitable<void>
    read_load(std::string name, net::endpoint server);
    void take_load(const std::string& name, const backend::load_report& report);

    boost::asio::any_io_executor executor;
    dispatching::fleet_cache& fleet;
    backend::backend_server& servers;
    online::quarantine& suspects;
    metrics& numbers;
    std::string own_vm;
    notice_hook on_notice;
    boost::asio::steady_timer timer;
    bool draining = false;
    std::map<std::string, run_pointer> runs;
    std::map<std::string, owned_runner> runners;
    std::deque<kept_run> kept;
};

} // namespace chicory::gate

#endif
