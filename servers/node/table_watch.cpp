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
/// Wait of one call for changes; a connection that went silent is noticed
/// soon after it.
constexpr std::chrono::milliseconds follow_time(1000);
/// An answer to a wait for changes comes at least this often.
constexpr std::chrono::milliseconds fresh_time(1300);
constexpr std::chrono::milliseconds shortest_pause(50);
constexpr std::chrono::milliseconds longest_pause(500);
/// Doublings of the pause after failures.
constexpr int most_doublings = 4;

} // namespace

table_watch::table_watch(
    asio::io_context& io,
    ports::record_store& source,
    std::string name,
    table_watch_hooks wanted,
    std::uint64_t seed,
    coalesce_delays gather)
    : context(io), store(source), table(std::move(name)),
      hooks(std::move(wanted)), generator(seed), gathering(gather),
      gather_timer(io)
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
    ++this->waiting;
    // What was gathered for nobody ends; a shorter time begins.
    this->gather_timer.cancel();
}

void table_watch::end_wait()
{
    --this->waiting;
}

asio::awaitable<void> table_watch::gather()
{
    const time_point begun = read_monotonic_clock();
    while (true)
    {
        const duration wanted =
            this->waiting > 0 ? this->gathering.awaited : this->gathering.idle;
        const duration left = begun + wanted - read_monotonic_clock();
        if (left <= duration::zero())
        {
            break;
        }
        this->gather_timer.expires_after(left);
        co_await this->gather_timer.async_wait(as_result);
    }
    this->gathered = read_monotonic_clock() - begun;
}

bool table_watch::is_current() const
{
    return this->complete && this->reached;
}

bool table_watch::is_fresh(time_point now) const
{
    return this->is_current() && now - this->last_answer < duration(fresh_time);
}

duration table_watch::choose_pause()
{
    const int doublings = std::min(this->failures, most_doublings);
    const duration bound = std::min<duration>(
        longest_pause, duration(shortest_pause) * (1 << doublings));
    std::uniform_int_distribution<std::int64_t> spread(
        bound.count() / 2, bound.count());
    return duration(spread(this->generator));
}

void table_watch::set_contact(bool now_reached, const std::string& why)
{
    if (now_reached == this->reached)
    {
        return;
    }
    this->reached = now_reached;
    log_event(
        now_reached ? event::table_service_back
                    : event::table_service_unavailable,
        {{"table", this->table}, {"error", why}});
    this->hooks.on_contact(now_reached);
}

asio::awaitable<void> table_watch::run()
{
    asio::steady_timer timer(this->context);
    while (true)
    {
        // Not a conditional expression: GCC 12 loses awaitables in those.
        result<void> done = boost::outcome_v2::success();
        if (this->complete)
        {
            done = co_await this->follow();
        }
        else
        {
            done = co_await this->read_all();
        }
        if (done)
        {
            this->failures = 0;
            this->set_contact(true, "");
            continue;
        }
        if (done.error().kind == error_kind::not_found)
        {
            this->complete = false;
            continue;
        }
        ++this->failures;
        this->set_contact(false, done.error().text);
        timer.expires_after(this->choose_pause());
        co_await timer.async_wait(as_result);
    }
}

asio::awaitable<result<void>> table_watch::read_all()
{
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
            // Changes from the first page on are followed afterwards.
            if (first_version == 0)
            {
                first_version = page.value().version;
            }
            for (ports::record& found : page.value().records)
            {
                records.push_back(std::move(found));
            }
            if (!page.value().has_more || records.empty())
            {
                break;
            }
            range.from = records.back().key + '\0';
        }
    }
    if (first_version == 0)
    {
        // An empty table has no partition to read; the version of any read
        // tells from where changes are to be followed.
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
    this->complete = true;
    this->last_answer = read_monotonic_clock();
    co_return boost::outcome_v2::success();
}

asio::awaitable<result<void>> table_watch::follow()
{
    // An answer comes at least once in `fresh_time`, gathering included.
    const duration wait =
        duration(follow_time) - std::min(duration(follow_time), this->gathered);
    this->gathered = duration::zero();
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
    this->last_answer = read_monotonic_clock();
    if (!page.value().records.empty())
    {
        co_await this->gather();
    }
    co_return boost::outcome_v2::success();
}

} // namespace chicory::node
