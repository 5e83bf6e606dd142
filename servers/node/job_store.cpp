#include "servers/node/job_store.hpp"

#include "net/net.hpp"

#include <boost/asio/as_tuple.hpp>
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
/// Largest submission that is stored in records; a larger one is stored as an
/// object. The store accepts 1 MB in a call, and base64 makes values a third
/// larger on the wire.
constexpr std::size_t max_body_bytes = 600000;
/// Time during which a submission is retried.
constexpr std::chrono::milliseconds submit_limit(3000);
constexpr std::chrono::milliseconds refused_submit_limit(900);
constexpr std::chrono::milliseconds retry_pause(60);
constexpr std::chrono::milliseconds version_poll_interval(10);
constexpr std::chrono::milliseconds version_wait_limit(600);
/// Delays between two calls for changes of jobs. While a reader waits for
/// results of a job, the delay adds less than the first value to the wait.
/// Otherwise this node must know within a second what another node has shown to
/// a caller.
constexpr std::chrono::milliseconds awaited_coalesce_delay(150);
constexpr std::chrono::milliseconds idle_coalesce_delay(600);
/// Time between two removals of old jobs from the view, which looks at each
/// job.
constexpr std::chrono::seconds forget_interval(1);
/// Maximum size of the texts that a node caches for reads.
constexpr std::size_t max_cached_bytes = 32 << 20;

/// Returns the key of a job in the cache of texts. It contains the partition,
/// because another organisation may use the id of a forgotten job on another
/// route.
std::string make_cache_key(const std::string& partition, const std::string& id)
{
    return partition + "/" + id;
}

} // namespace

job_store::job_store(
    asio::io_context& io,
    ports::record_store& record_store,
    ports::object_store& object_store,
    std::int64_t record_bytes,
    duration initial_result_lifetime,
    std::uint64_t seed)
    : context(io), records(record_store), objects(object_store),
      value_bytes(static_cast<std::size_t>(record_bytes)),
      result_lifetime(initial_result_lifetime),
      view(
          [this](const std::string& id)
          {
              this->notify(id);
          }),
      watch(
          io,
          record_store,
          std::string(job_table),
          {[this](const std::vector<ports::record>& found, std::int64_t version)
           {
               this->view.apply_snapshot(found, version);
               this->notify_change();
           },
           [this](const ports::record& changed)
           {
               this->view.apply(changed);
               this->forget_old_jobs(read_monotonic_clock());
               this->notify_change();
           },
           [](bool) {},
           [this](const ports::record& found)
           {
               const result<serving::job_record> job =
                   serving::decode_job(found.key, found.value, found.version);
               return !job || !this->may_forget(job.value());
           }},
          seed,
          {awaited_coalesce_delay, idle_coalesce_delay}),
      texts(
          max_cached_bytes,
          [this](const std::string& key)
          {
              const serving::job_record* job =
                  this->find(key.substr(key.find('/') + 1));
              return job == nullptr ? 0 : job->accepted_ms;
          })
{
}

void job_store::start()
{
    this->watch.start();
}

void job_store::set_change_hook(std::function<void()> hook)
{
    this->on_change = std::move(hook);
}

void job_store::notify(const std::string& id)
{
    const auto found = this->waiters.find(id);
    if (found == this->waiters.end())
    {
        return;
    }
    for (asio::steady_timer* timer : found->second)
    {
        timer->cancel();
    }
}

bool job_store::may_forget(const serving::job_record& job) const
{
    return serving::may_forget(
        job, this->records.clock_ms(), this->result_lifetime);
}

void job_store::forget_old_jobs(time_point now)
{
    if (now < this->next_forget)
    {
        return;
    }
    this->next_forget = now + duration(forget_interval);
    this->view.forget(
        [this](const serving::job_record& job)
        {
            return this->may_forget(job);
        });
}

void job_store::notify_change()
{
    if (this->on_change)
    {
        this->on_change();
    }
}

const serving::job_record* job_store::find(const std::string& id) const
{
    const known_job* known = this->view.find(id);
    return known == nullptr ? nullptr : &known->record;
}

std::vector<const serving::job_record*> job_store::all() const
{
    return this->view.all();
}

bool job_store::is_fresh() const
{
    return this->watch.is_fresh(read_monotonic_clock());
}

duration job_store::age_of(const serving::job_record& job) const
{
    return serving::job_age(job, this->records.clock_ms());
}

asio::awaitable<result<std::optional<ports::record>>> job_store::read_record(
    std::string partition, std::string table, std::string key)
{
    ports::record_range range{table, partition, key, key + '\0'};
    result<ports::record_page> page =
        co_await this->records.read(std::move(range));
    if (!page)
    {
        co_return page.error();
    }
    std::optional<ports::record> found;
    for (ports::record& entry : page.value().records)
    {
        if (entry.key == key)
        {
            found = std::move(entry);
        }
    }
    co_return found;
}

asio::awaitable<result<void>>
job_store::wait_for_version(std::string partition, std::int64_t version)
{
    asio::steady_timer timer(this->context);
    const watch_wait waiting(this->watch);
    const time_point until =
        read_monotonic_clock() + duration(version_wait_limit);
    while (this->view.limit_in(partition).versions.lowest() < version)
    {
        if (read_monotonic_clock() >= until)
        {
            co_return make_error(
                error_kind::unavailable,
                "jobs: expected changes up to version " +
                    std::to_string(version) + ", found them up to " +
                    std::to_string(
                        this->view.limit_in(partition).versions.lowest()));
        }
        timer.expires_after(version_poll_interval);
        co_await timer.async_wait(as_result);
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<void>
job_store::read_clock(std::string partition, std::string id)
{
    // Each response about records carries the clock.
    static_cast<void>(co_await this->read_record(
        std::move(partition), std::string(job_table), std::move(id)));
    this->is_reading_clock = false;
}

asio::awaitable<result<std::int64_t>> job_store::wait_for_clock(
    std::string partition, std::string id, time_point until)
{
    asio::steady_timer timer(this->context);
    while (true)
    {
        if (const std::optional<std::int64_t> now_ms = this->records.clock_ms())
        {
            co_return *now_ms;
        }
        if (read_monotonic_clock() >= until)
        {
            co_return make_error(
                error_kind::unavailable,
                "jobs: expected the clock of the store, found no response");
        }
        // The read may take longer than this call may wait, so it runs on its
        // own, and submissions share it.
        if (!std::exchange(this->is_reading_clock, true))
        {
            net::spawn_guarded(
                this->context.get_executor(),
                "reading the clock of the store",
                this->read_clock(partition, id));
        }
        timer.expires_after(version_poll_interval);
        co_await timer.async_wait(as_result);
    }
}

std::optional<submit_outcome>
job_store::find_submitted(const serving::job_record& job) const
{
    const serving::job_record* known = this->find(job.id);
    if (known == nullptr)
    {
        return std::nullopt;
    }
    return known->organisation == job.organisation ? submit_outcome::accepted
                                                   : submit_outcome::id_in_use;
}

asio::awaitable<submit_outcome>
job_store::submit(serving::job_record job, std::string body, token_limit limit)
{
    if (const std::optional<submit_outcome> known = this->find_submitted(job);
        known == submit_outcome::id_in_use)
    {
        co_return *known;
    }
    const std::optional<std::string> limited_organisation =
        limit.per_organisation ? std::optional(job.organisation) : std::nullopt;
    const std::int64_t max_waiting_tokens = limit.max_tokens;
    const std::string partition = make_partition(job.route);
    const time_point started = read_monotonic_clock();
    asio::steady_timer timer(this->context);
    std::vector<ports::record_write> body_writes;
    if (body.size() > max_body_bytes)
    {
        const result<void> stored =
            co_await this->objects.put(make_object_name(job), body);
        if (!stored)
        {
            co_return submit_outcome::unavailable;
        }
    }
    else
    {
        body_writes =
            make_part_writes(body_table, job.id, 0, body, this->value_bytes);
        job.body_records = static_cast<std::int64_t>(body_writes.size());
    }
    bool may_exist = false;
    while (true)
    {
        if (const std::optional<submit_outcome> known =
                this->find_submitted(job))
        {
            co_return *known;
        }
        const result<std::int64_t> store_now_ms = co_await this->wait_for_clock(
            partition, job.id, started + duration(refused_submit_limit));
        if (!store_now_ms)
        {
            // No transaction has been sent: that needs the clock.
            co_return submit_outcome::unavailable;
        }
        job.accepted_ms = store_now_ms.value();
        ports::record_transaction request;
        request.partition = partition;
        request.conditions.push_back({std::string(job_table), job.id, 0});
        request.writes = body_writes;
        request.writes.push_back(
            {std::string(job_table), job.id, serving::encode_job(job)});
        const known_limit last = this->view.limit_in(partition);
        const std::int64_t required =
            this->view.version_to_require(last.versions);
        if (max_waiting_tokens > 0)
        {
            const std::int64_t waiting_tokens =
                this->view.waiting_tokens_in(partition, limited_organisation) +
                serving::waiting_tokens(job);
            if (waiting_tokens > max_waiting_tokens)
            {
                if (!may_exist)
                {
                    co_return submit_outcome::over_limit;
                }
                if (read_monotonic_clock() - started > duration(submit_limit))
                {
                    co_return submit_outcome::unknown;
                }
                // An earlier try may have been performed, or may be yet. The
                // feed brings its record; another try could exceed the limit.
                const watch_wait waiting(this->watch);
                timer.expires_after(retry_pause);
                co_await timer.async_wait(as_result);
                continue;
            }
            request.conditions.push_back(
                {std::string(job_table), std::string(limit_key), required});
            request.writes.push_back(
                {std::string(job_table), std::string(limit_key), job.id});
        }
        const result<ports::record_outcome> outcome =
            co_await this->records.transact(std::move(request));
        const duration spent = read_monotonic_clock() - started;
        if (outcome && outcome.value().committed)
        {
            job.version = outcome.value().version;
            if (max_waiting_tokens > 0)
            {
                this->view.adopt_limit(
                    partition,
                    {job.id,
                     serving::version_range::of_write(required, job.version)});
            }
            const serving::version_range versions =
                serving::version_range::of_write(0, job.version);
            this->view.adopt(partition, std::move(job), versions);
            this->notify_change();
            co_return submit_outcome::accepted;
        }
        if (outcome)
        {
            known_limit newest;
            for (const ports::record& found : outcome.value().conflicts)
            {
                if (found.key == limit_key)
                {
                    newest = {
                        found.value,
                        serving::version_range::of_read(found.version)};
                    continue;
                }
                this->view.apply(found);
            }
            if (const std::optional<submit_outcome> known =
                    this->find_submitted(job))
            {
                co_return *known;
            }
            const bool is_behind =
                max_waiting_tokens > 0 && newest.versions.lowest() != required;
            if (is_behind)
            {
                this->view.apply_limit_refusal(
                    partition, last.versions, newest);
                static_cast<void>(co_await this->wait_for_version(
                    partition, newest.versions.lowest()));
            }
            if (read_monotonic_clock() - started > duration(submit_limit))
            {
                co_return may_exist ? submit_outcome::unknown
                                    : submit_outcome::unavailable;
            }
            if (!is_behind)
            {
                // No other job was accepted meanwhile: the row under the job's
                // id is no job, and another try is not likely to succeed.
                timer.expires_after(retry_pause);
                co_await timer.async_wait(as_result);
            }
            continue;
        }
        if (outcome.error().kind == error_kind::outcome_unknown)
        {
            may_exist = true;
        }
        else if (!may_exist && spent > duration(refused_submit_limit))
        {
            co_return submit_outcome::unavailable;
        }
        if (spent > duration(submit_limit))
        {
            co_return may_exist ? submit_outcome::unknown
                                : submit_outcome::unavailable;
        }
        timer.expires_after(retry_pause);
        co_await timer.async_wait(as_result);
    }
}

asio::awaitable<result<std::string>> job_store::find_partition(std::string id)
{
    if (const known_job* known = this->view.find(id))
    {
        co_return known->partition;
    }
    const result<std::vector<std::string>> partitions =
        co_await this->records.list_partitions(std::string(job_table));
    if (!partitions)
    {
        co_return partitions.error();
    }
    for (const std::string& partition : partitions.value())
    {
        const result<std::optional<ports::record>> found =
            co_await this->read_record(partition, std::string(job_table), id);
        if (!found)
        {
            co_return found.error();
        }
        if (found.value())
        {
            this->view.apply(*found.value());
            co_return partition;
        }
    }
    co_return make_missing_job_error(id);
}

asio::awaitable<result<serving::job_record>> job_store::look_up(std::string id)
{
    const result<std::string> partition = co_await this->find_partition(id);
    if (!partition)
    {
        co_return partition.error();
    }
    const result<std::optional<ports::record>> found =
        co_await this->read_record(
            partition.value(), std::string(job_table), id);
    if (!found)
    {
        co_return found.error();
    }
    if (!found.value())
    {
        co_return make_missing_job_error(id);
    }
    this->view.apply(*found.value());
    const serving::job_record* known = this->find(id);
    if (known == nullptr)
    {
        co_return make_error(
            error_kind::unavailable, "the record of job " + id + " is damaged");
    }
    co_return *known;
}

asio::awaitable<result<known_job>> job_store::find_or_look_up(std::string id)
{
    if (const known_job* known = this->view.find(id))
    {
        co_return *known;
    }
    const result<serving::job_record> read = co_await this->look_up(id);
    if (!read)
    {
        co_return read.error();
    }
    const known_job* known = this->view.find(id);
    if (known == nullptr)
    {
        co_return make_error(
            error_kind::unavailable,
            "job " + id + ": expected its record, found it removed");
    }
    co_return *known;
}

asio::awaitable<result<serving::job_record>>
job_store::change(std::string id, change_function make_change, duration limit)
{
    const time_point until = read_monotonic_clock() + limit;
    asio::steady_timer timer(this->context);
    bool may_be_committed = false;
    while (true)
    {
        const result<known_job> known = co_await this->find_or_look_up(id);
        if (!known)
        {
            co_return known.error();
        }
        const serving::job_record before = known.value().record;
        const serving::version_range versions = known.value().versions;
        const std::string partition = known.value().partition;
        std::optional<job_change> next = make_change(before);
        if (!next)
        {
            co_return before;
        }
        if (next->record.accepted_ms <= 0)
        {
            // Without a time of acceptance, the job would never expire.
            next->record.accepted_ms = this->records.clock_ms().value_or(0);
        }
        ports::record_transaction request;
        request.partition = partition;
        const std::int64_t required = this->view.version_to_require(versions);
        request.conditions.push_back({std::string(job_table), id, required});
        request.writes = std::move(next->writes);
        request.writes.push_back(
            {std::string(job_table), id, serving::encode_job(next->record)});
        const result<ports::record_outcome> outcome =
            co_await this->records.transact(std::move(request));
        if (outcome && outcome.value().committed)
        {
            next->record.version = outcome.value().version;
            this->view.adopt(
                partition,
                next->record,
                serving::version_range::of_write(
                    required, next->record.version));
            this->notify_change();
            co_return next->record;
        }
        if (outcome)
        {
            this->view.apply_refusal(id, versions, outcome.value().conflicts);
            if (const known_job* now = this->view.find(id);
                now == nullptr || !(now->versions == versions))
            {
                continue;
            }
            // The refusal brought nothing new. The record may be gone.
            const result<serving::job_record> read = co_await this->look_up(id);
            if (!read && read.error().kind == error_kind::not_found)
            {
                this->view.remove(id, versions);
                co_return read.error();
            }
        }
        may_be_committed =
            may_be_committed ||
            (!outcome && outcome.error().kind == error_kind::outcome_unknown);
        if (read_monotonic_clock() >= until)
        {
            co_return make_error(
                may_be_committed ? error_kind::outcome_unknown
                                 : error_kind::unavailable,
                "job " + id + ": the store took no change in time");
        }
        timer.expires_after(retry_pause);
        co_await timer.async_wait(as_result);
        if (may_be_committed)
        {
            static_cast<void>(co_await this->look_up(id));
        }
    }
}

asio::awaitable<result<job_store::pieces_by_item>>
job_store::read_pieces(std::string id)
{
    const known_job* known = this->view.find(id);
    if (known == nullptr)
    {
        co_return make_missing_job_error(id);
    }
    ports::record_range range =
        make_part_range(piece_table, known->partition, id, 0);
    pieces_by_item found;
    while (true)
    {
        const result<ports::record_page> page =
            co_await this->records.read(range);
        if (!page)
        {
            co_return page.error();
        }
        for (const ports::record& entry : page.value().records)
        {
            const std::optional<std::int64_t> item =
                parse_piece_item(id, entry.key);
            result<serving::item_piece> piece =
                serving::decode_piece(entry.value);
            if (item && piece)
            {
                found[*item].push_back(std::move(piece.value()));
                continue;
            }
            log_event(
                event::job_record_rejected,
                {{"job", id},
                 {"key", entry.key},
                 {"error", piece ? "no item" : piece.error().text}});
        }
        if (!page.value().has_more || page.value().records.empty())
        {
            co_return found;
        }
        range.from = page.value().records.back().key + '\0';
    }
}

asio::awaitable<result<void>>
job_store::save_pieces(std::string id, std::vector<ports::record_write> pieces)
{
    const known_job* known = this->view.find(id);
    if (known == nullptr)
    {
        co_return make_missing_job_error(id);
    }
    ports::record_transaction request;
    request.partition = known->partition;
    request.conditions.push_back(
        {std::string(job_table),
         id,
         this->view.version_to_require(known->versions)});
    const serving::version_range versions = known->versions;
    request.writes = std::move(pieces);
    const result<ports::record_outcome> outcome =
        co_await this->records.transact(std::move(request));
    if (!outcome)
    {
        co_return outcome.error();
    }
    if (!outcome.value().committed)
    {
        this->view.apply_refusal(id, versions, outcome.value().conflicts);
        co_return make_error(
            error_kind::conflict,
            "job " + id + ": its record has changed in the store");
    }
    co_return boost::outcome_v2::success();
}

std::vector<ports::record_write> job_store::make_text_writes(
    const std::string& id, std::int64_t position, std::string_view text) const
{
    return make_part_writes(text_table, id, position, text, this->value_bytes);
}

void job_store::cache_text(
    const std::string& id, std::int64_t position, std::string text)
{
    if (const known_job* known = this->view.find(id))
    {
        this->texts.insert(
            make_cache_key(known->partition, id), position, std::move(text));
    }
}

asio::awaitable<result<std::vector<std::string>>> job_store::load_texts(
    const serving::job_record& job, std::string partition, std::size_t position)
{
    ports::record_range range = make_part_range(
        text_table, partition, job.id, static_cast<std::int64_t>(position));
    const result<ports::record_page> page =
        co_await this->records.read(std::move(range));
    if (!page)
    {
        co_return page.error();
    }
    std::map<std::string, const std::string*> values;
    for (const ports::record& entry : page.value().records)
    {
        values[entry.key] = &entry.value;
    }
    std::vector<std::string> loaded;
    for (std::size_t next = position; next < job.listed.size(); ++next)
    {
        const std::int64_t at = static_cast<std::int64_t>(next);
        std::optional<std::string> text =
            join_parts(values, job.id, at, job.listed[next].text_records);
        if (!text)
        {
            break;
        }
        loaded.push_back(*text);
        this->texts.insert(
            make_cache_key(partition, job.id), at, std::move(*text));
    }
    co_return loaded;
}

asio::awaitable<result<std::vector<std::string>>>
job_store::read_texts(std::string id, std::int64_t from, std::size_t byte_limit)
{
    const result<known_job> known = co_await this->find_or_look_up(id);
    if (!known)
    {
        co_return known.error();
    }
    const serving::job_record job = known.value().record;
    const std::string partition = known.value().partition;
    const std::string cache_key = make_cache_key(partition, id);
    std::vector<std::string> found;
    std::size_t bytes = 0;
    // Texts of the last read, from this position on.
    std::vector<std::string> loaded;
    std::size_t loaded_from = 0;
    for (std::size_t position = static_cast<std::size_t>(from);
         position < job.listed.size();
         ++position)
    {
        const std::int64_t at = static_cast<std::int64_t>(position);
        const bool is_empty = job.listed[position].text_records == 0;
        const auto is_loaded = [&]
        {
            return position >= loaded_from &&
                   position - loaded_from < loaded.size();
        };
        if (!is_empty && !is_loaded() &&
            this->texts.find(cache_key, at) == nullptr)
        {
            result<std::vector<std::string>> read =
                co_await this->load_texts(job, partition, position);
            if (!read)
            {
                co_return read.error();
            }
            loaded = std::move(read.value());
            loaded_from = position;
        }
        const std::string empty;
        const std::string* text =
            is_empty ? &empty : this->texts.find(cache_key, at);
        if (text == nullptr && is_loaded())
        {
            text = &loaded[position - loaded_from];
        }
        if (text == nullptr)
        {
            if (!found.empty())
            {
                break;
            }
            co_return make_error(
                error_kind::unavailable,
                "job " + id + ": expected the text at position " +
                    std::to_string(position) + ", found none");
        }
        if (!found.empty() && bytes + text->size() > byte_limit)
        {
            break;
        }
        bytes += text->size();
        found.push_back(*text);
    }
    co_return found;
}

asio::awaitable<result<std::string>> job_store::read_body(std::string id)
{
    const result<known_job> known = co_await this->find_or_look_up(id);
    if (!known)
    {
        co_return known.error();
    }
    const std::int64_t parts = known.value().record.body_records;
    if (parts == 0)
    {
        co_return co_await this->objects.get(
            make_object_name(known.value().record));
    }
    ports::record_range range =
        make_part_range(body_table, known.value().partition, id, 0);
    const result<ports::record_page> page =
        co_await this->records.read(std::move(range));
    if (!page)
    {
        co_return page.error();
    }
    if (static_cast<std::int64_t>(page.value().records.size()) != parts)
    {
        co_return make_error(
            error_kind::unavailable,
            "job " + id + ": expected " + std::to_string(parts) +
                " records of its submission, found " +
                std::to_string(page.value().records.size()));
    }
    std::string body;
    for (const ports::record& part : page.value().records)
    {
        body += part.value;
    }
    co_return body;
}

asio::awaitable<result<std::vector<platform::job_item>>>
job_store::read_items(std::string id)
{
    const result<std::string> body = co_await this->read_body(std::move(id));
    if (!body)
    {
        co_return body.error();
    }
    result<std::vector<platform::job_item>> items =
        platform::read_accepted_submission(body.value());
    if (!items)
    {
        co_return make_error(error_kind::unavailable, items.error().text);
    }
    co_return items;
}

asio::awaitable<void>
job_store::wait_for_results(std::string id, std::size_t count, time_point until)
{
    asio::steady_timer timer(this->context);
    const watch_wait waiting(this->watch);
    this->waiters[id].insert(&timer);
    while (read_monotonic_clock() < until)
    {
        const serving::job_record* job = this->find(id);
        if (job == nullptr || job->listed.size() > count)
        {
            break;
        }
        timer.expires_after(until - read_monotonic_clock());
        co_await timer.async_wait(as_result);
    }
    std::set<asio::steady_timer*>& timers = this->waiters[id];
    timers.erase(&timer);
    if (timers.empty())
    {
        this->waiters.erase(id);
    }
}

} // namespace chicory::node
