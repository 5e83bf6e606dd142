#include "servers/node/table_watch.hpp"

#include "net/net.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// The store responds to a call for changes at least this often, with the
/// default wait.
constexpr std::chrono::milliseconds max_response_age(1300);
constexpr std::chrono::milliseconds min_retry_pause(50);
constexpr std::chrono::milliseconds max_retry_pause(500);
/// Maximum number of doublings of the pause after failures.
constexpr int max_doublings = 4;

} // namespace

table_watch::table_watch(
    asio::io_context& io,
    ports::record_store& source,
    std::string name,
    table_watch_hooks initial_hooks,
    std::uint64_t seed,
    coalesce_delays initial_delays,
    duration initial_follow_wait)
    : context(io), store(source), table(std::move(name)),
      hooks(std::move(initial_hooks)), generator(seed), delays(initial_delays),
      follow_wait(initial_follow_wait), coalesce_timer(io)
{
}

void table_watch::start()
{
    net::spawn_loop(
        this->context.get_executor(),
        "watch of table " + this->table,
        [this]
        {
            return this->run();
        });
}

void table_watch::begin_wait()
{
    ++this->waiter_count;
    // Ends the longer idle delay; the shorter one applies from now on.
    this->coalesce_timer.cancel();
}

void table_watch::end_wait()
{
    --this->waiter_count;
}

asio::awaitable<void> table_watch::coalesce()
{
    const time_point started = read_monotonic_clock();
    while (true)
    {
        const duration delay =
            this->waiter_count > 0 ? this->delays.awaited : this->delays.idle;
        const duration left = started + delay - read_monotonic_clock();
        if (left <= duration::zero())
        {
            break;
        }
        this->coalesce_timer.expires_after(left);
        co_await this->coalesce_timer.async_wait(as_result);
    }
    this->coalesced_time = read_monotonic_clock() - started;
}

bool table_watch::is_current() const
{
    return this->has_snapshot && this->reachable;
}

bool table_watch::is_fresh(time_point now) const
{
    return this->is_current() &&
           now - this->last_response < duration(max_response_age);
}

duration table_watch::choose_retry_pause()
{
    const int doublings = std::min(this->failures, max_doublings);
    const duration bound = std::min<duration>(
        max_retry_pause, duration(min_retry_pause) * (1 << doublings));
    std::uniform_int_distribution<std::int64_t> distribution(
        bound.count() / 2, bound.count());
    return duration(distribution(this->generator));
}

void table_watch::report_confirmed(boot_time_point sent) const
{
    if (this->hooks.on_confirmed)
    {
        this->hooks.on_confirmed(sent);
    }
}

void table_watch::set_reachable(bool now_reachable, const std::string& why)
{
    if (now_reachable == this->reachable)
    {
        return;
    }
    this->reachable = now_reachable;
    log_event(
        now_reachable ? event::table_service_back
                      : event::table_service_unavailable,
        {{"table", this->table}, {"error", why}});
    this->hooks.on_reachability_changed(now_reachable);
}

asio::awaitable<void> table_watch::run()
{
    asio::steady_timer timer(this->context);
    while (true)
    {
        // This is not a conditional expression, because GCC 12 loses awaitables
        // in those.
        result<void> done = boost::outcome_v2::success();
        if (this->has_snapshot)
        {
            done = co_await this->follow();
        }
        else
        {
            done = co_await this->read_snapshot();
        }
        if (done)
        {
            this->failures = 0;
            this->set_reachable(true, "");
            continue;
        }
        if (done.error().kind == error_kind::not_found)
        {
            this->has_snapshot = false;
            continue;
        }
        ++this->failures;
        this->set_reachable(false, done.error().text);
        timer.expires_after(this->choose_retry_pause());
        co_await timer.async_wait(as_result);
    }
}

asio::awaitable<result<void>> table_watch::read_snapshot()
{
    const boot_time_point sent = read_boot_clock();
    const result<std::vector<std::string>> partitions =
        co_await this->store.list_partitions(this->table);
    if (!partitions)
    {
        co_return partitions.error();
    }
    std::vector<ports::record> records;
    std::int64_t first_version = 0;
    for (const std::string& partition : partitions.value())
    {
        ports::record_range range{this->table, partition, "", ""};
        while (true)
        {
            result<ports::record_page> page = co_await this->store.read(range);
            if (!page)
            {
                co_return page.error();
            }
            // Changes after the version of the first page are followed later.
            if (first_version == 0)
            {
                first_version = page.value().version;
            }
            if (page.value().has_more && !page.value().records.empty())
            {
                range.from = page.value().records.back().key + '\0';
            }
            const bool is_last =
                !page.value().has_more || page.value().records.empty();
            for (ports::record& found : page.value().records)
            {
                if (!this->hooks.is_needed || this->hooks.is_needed(found))
                {
                    records.push_back(std::move(found));
                }
            }
            if (is_last)
            {
                break;
            }
        }
    }
    if (first_version == 0)
    {
        // An empty table has no partition to read. The version of any read is
        // where following the changes starts.
        ports::record_range range{this->table, "", "", ""};
        const result<ports::record_page> page =
            co_await this->store.read(std::move(range));
        if (!page)
        {
            co_return page.error();
        }
        records = page.value().records;
        first_version = page.value().version;
    }
    this->hooks.on_snapshot(records, first_version);
    this->version = first_version;
    this->has_snapshot = true;
    this->last_response = read_monotonic_clock();
    this->report_confirmed(sent);
    co_return boost::outcome_v2::success();
}

asio::awaitable<result<void>> table_watch::follow()
{
    // The delay counts towards the wait, so that a response comes at least once
    // in `max_response_age`.
    const duration wait =
        this->follow_wait - std::min(this->follow_wait, this->coalesced_time);
    this->coalesced_time = duration::zero();
    const boot_time_point sent = read_boot_clock();
    result<ports::record_page> page =
        co_await this->store.follow(this->table, this->version, wait);
    if (!page)
    {
        co_return page.error();
    }
    for (const ports::record& changed : page.value().records)
    {
        this->hooks.on_change(changed);
    }
    this->version = std::max(this->version, page.value().version);
    this->last_response = read_monotonic_clock();
    if (!page.value().has_more)
    {
        this->report_confirmed(sent);
    }
    if (!page.value().records.empty())
    {
        co_await this->coalesce();
    }
    co_return boost::outcome_v2::success();
}

} // namespace chicory::node
