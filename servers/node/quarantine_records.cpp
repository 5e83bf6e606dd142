#include "servers/node/quarantine_records.hpp"

#include "net/net.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view quarantine_table = "quarantine";
constexpr std::chrono::milliseconds retry_interval(300);
/// Quarantines change rarely, so that a call may wait long for the next change.
constexpr std::chrono::seconds follow_wait(5);
/// Longest quarantine that a record may state: one day.
constexpr std::int64_t max_left_ms = 86'400'000;
constexpr int hexadecimal = 16;

std::optional<std::uint64_t> read_trait(std::string_view text)
{
    std::uint64_t trait = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, code] =
        std::from_chars(text.data(), end, trait, hexadecimal);
    if (code != std::errc() || rest != end)
    {
        return std::nullopt;
    }
    return trait;
}

} // namespace

std::string
to_text(const serving::trait_quarantine& quarantine, std::int64_t until_ms)
{
    json::array companions;
    for (const std::uint64_t trait : quarantine.companions)
    {
        companions.push_back(json::string(serving::to_text({trait})));
    }
    return json::serialize(json::object{
        {"companions", companions},
        {"count", quarantine.count},
        {"until_ms", until_ms},
        {"crashes", quarantine.crashes},
        {"crashed_runs", serving::format_crashes(quarantine.grounds.crashes)},
        {"good_runs", quarantine.grounds.good_runs},
        {"share_permille", quarantine.grounds.share_permille},
        {"other_runners", quarantine.grounds.other_runners}});
}

std::optional<serving::trait_quarantine>
read_quarantine(const ports::record& source, std::optional<std::int64_t> now_ms)
{
    const std::optional<std::uint64_t> trait = read_trait(source.key);
    boost::system::error_code code;
    const json::value parsed = json::parse(source.value, code);
    // Without the store's clock, nobody can tell how long a quarantine lasts.
    if (!trait || code || !now_ms)
    {
        return std::nullopt;
    }
    try
    {
        const json::object& fields = parsed.as_object();
        serving::trait_quarantine quarantine;
        quarantine.trait = *trait;
        quarantine.count = fields.at("count").to_number<std::int64_t>();
        // Records of earlier versions lack it.
        if (const json::value* crashes = fields.if_contains("crashes"))
        {
            quarantine.crashes =
                std::max<std::int64_t>(0, crashes->to_number<std::int64_t>());
        }
        const auto until_ms = fields.at("until_ms").to_number<std::int64_t>();
        const std::int64_t left_ms =
            std::clamp<std::int64_t>(until_ms, *now_ms, *now_ms + max_left_ms) -
            *now_ms;
        quarantine.time_left = std::chrono::milliseconds(left_ms);
        for (const json::value& companion : fields.at("companions").as_array())
        {
            const std::optional<std::uint64_t> other =
                read_trait(companion.as_string());
            if (!other ||
                quarantine.companions.size() > serving::max_traced_parts)
            {
                return std::nullopt;
            }
            quarantine.companions.push_back(*other);
        }
        return quarantine;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

quarantine_records::quarantine_records(
    asio::io_context& io,
    ports::record_store& records,
    std::uint64_t seed,
    std::function<void(const serving::quarantine_change&)> hook)
    : context(io), store(records), on_change(std::move(hook)),
      watch(
          io,
          records,
          std::string(quarantine_table),
          {[this](const std::vector<ports::record>& all, std::int64_t)
           {
               this->apply_snapshot(all);
           },
           [this](const ports::record& changed)
           {
               this->apply(changed);
           },
           [](bool) {}},
          seed,
          {},
          follow_wait)
{
}

void quarantine_records::start()
{
    this->watch.start();
}

void quarantine_records::apply(const ports::record& changed)
{
    const std::optional<std::uint64_t> trait = read_trait(changed.key);
    if (trait && changed.deleted)
    {
        this->known.erase(*trait);
        this->on_change({*trait, std::nullopt});
        return;
    }
    const std::optional<serving::trait_quarantine> quarantine =
        read_quarantine(changed, this->store.clock_ms());
    if (!quarantine)
    {
        log_event(
            event::quarantine_record_rejected,
            {{"key", changed.key},
             {"version", changed.version},
             {"bytes", changed.value.size()}});
        return;
    }
    this->known.insert(quarantine->trait);
    this->on_change({quarantine->trait, quarantine});
}

void quarantine_records::apply_snapshot(
    const std::vector<ports::record>& records)
{
    const std::set<std::uint64_t> before = std::exchange(this->known, {});
    for (const ports::record& found : records)
    {
        this->apply(found);
    }
    for (const std::uint64_t trait : before)
    {
        if (!this->known.contains(trait))
        {
            this->on_change({trait, std::nullopt});
        }
    }
}

void quarantine_records::write(const serving::quarantine_change& change)
{
    unwritten_change added;
    added.number = this->next_number++;
    added.change = change;
    if (change.quarantine)
    {
        added.until = read_monotonic_clock() + change.quarantine->time_left;
    }
    this->unwritten[change.trait] = std::move(added);
    if (!std::exchange(this->is_writing, true))
    {
        net::spawn_loop(
            this->context.get_executor(),
            "quarantine records",
            [this]
            {
                return this->write_all();
            });
    }
}

asio::awaitable<void> quarantine_records::write_all()
{
    asio::steady_timer timer(this->context);
    while (!this->unwritten.empty())
    {
        const std::uint64_t trait = this->unwritten.begin()->first;
        const unwritten_change next = this->unwritten.begin()->second;
        const result<void> written = co_await this->write_one(next);
        if (!written && written.error().kind != error_kind::invalid_input)
        {
            timer.expires_after(retry_interval);
            co_await timer.async_wait(as_result);
            continue;
        }
        if (const auto found = this->unwritten.find(trait);
            found != this->unwritten.end() &&
            found->second.number == next.number)
        {
            this->unwritten.erase(found);
        }
    }
    this->is_writing = false;
}

asio::awaitable<result<void>>
quarantine_records::write_one(unwritten_change unwritten)
{
    ports::record_write write;
    write.table = std::string(quarantine_table);
    write.key = serving::to_text({unwritten.change.trait});
    if (unwritten.change.quarantine)
    {
        const std::optional<std::int64_t> store_now = this->store.clock_ms();
        if (!store_now)
        {
            co_return make_error(
                error_kind::unavailable, "quarantine: store not reached yet");
        }
        const duration left = unwritten.until - read_monotonic_clock();
        write.value = to_text(
            *unwritten.change.quarantine, *store_now + left.count() / 1000);
    }
    ports::record_transaction request;
    request.writes.push_back(std::move(write));
    const result<ports::record_outcome> outcome =
        co_await this->store.transact(std::move(request));
    if (!outcome)
    {
        co_return outcome.error();
    }
    co_return boost::outcome_v2::success();
}

} // namespace chicory::node
