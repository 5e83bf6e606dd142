#include "tests/policy/batch/batch_model.hpp"

#include <rapidcheck.h>

namespace chicory::batch
{

const lifecycles& get_charts()
{
    static const lifecycles loaded =
        load_lifecycles(std::string(CHICORY_SOURCE_DIR) + "/charts").value();
    return loaded;
}

bool is_not_repeatable(std::uint64_t index)
{
    return index % 3 == 0;
}

batch_simulation::batch_simulation()
{
    this->job.record.id = "j";
    this->job.record.items = item_count;
    this->job.record.chunks = chunk_count;
    this->table.apply(plan_acceptance(get_charts(), this->job.record));
    this->job.version = this->table.read(job_row_key("j")).version;
    this->job.open_version = this->table.read(open_row_key("j")).version;
}

std::string batch_simulation::make_operation_id()
{
    return "op" + std::to_string(++this->operations);
}

stored_chunk batch_simulation::read_chunk(const std::string& name) const
{
    const found_row row = this->table.read(chunk_row_key("j", name));
    stored_chunk chunk;
    chunk.version = row.version;
    if (row.version != 0)
    {
        chunk.record = decode_chunk(row.value).value();
        return chunk;
    }
    chunk.record.job = "j";
    chunk.record.name = name;
    chunk.record.first = std::stoull(name) * chunk_items;
    chunk.record.items = chunk_items;
    return chunk;
}

std::vector<std::string> batch_simulation::chunk_names() const
{
    std::vector<std::string> names;
    for (std::uint64_t number = 0; number < chunk_count; ++number)
    {
        names.push_back(chunk_name(number));
        const std::string part = names.back() + ".s";
        if (this->table.rows.contains(chunk_row_key("j", part)))
        {
            names.push_back(part);
        }
    }
    return names;
}

std::vector<std::pair<std::uint64_t, item_request>>
batch_simulation::read_items(const chunk_record& record) const
{
    std::vector<std::uint64_t> positions = record.members;
    if (!record.is_straggler())
    {
        for (std::uint64_t each = 0; each < chunk_items; ++each)
        {
            positions.push_back(each);
        }
    }
    std::vector<std::pair<std::uint64_t, item_request>> items;
    for (const std::uint64_t position : positions)
    {
        item_request request;
        request.index = record.first + position;
        request.not_repeatable = is_not_repeatable(request.index);
        items.emplace_back(position, request);
    }
    return items;
}

void batch_simulation::lease_chunk(
    fake_process& process, const std::string& name)
{
    stored_chunk chunk = this->read_chunk(name);
    if (chunk.record.state == chunk_state::committed ||
        process.held.contains(name) || process.commits.holds("j", name))
    {
        return;
    }
    const write_plan plan = plan_lease(
        get_charts(), chunk, this->job, "p", this->make_operation_id());
    if (!this->table.apply(plan).empty())
    {
        return;
    }
    chunk.version = this->table.read(chunk_row_key("j", name)).version;
    held_chunk held;
    held.chunk = chunk;
    held.run = std::make_unique<chunk_run>(
        get_charts().item,
        run_settings{},
        chunk.record,
        this->read_items(chunk.record),
        1);
    process.held[name] = std::move(held);
}

void batch_simulation::mark_items(fake_process& process, held_chunk& held)
{
    const std::vector<std::uint64_t> marks =
        held.run->find_items_to_mark(2, this->now);
    if (marks.empty())
    {
        return;
    }
    const chunk_record marked =
        held.run->record().marked(marks, this->make_operation_id());
    if (!this->table
             .apply(plan_mark(get_charts(), held.chunk, this->job, marked))
             .empty())
    {
        process.held.erase(std::string(held.chunk.record.name));
        return;
    }
    held.chunk.record = marked;
    held.chunk.version =
        this->table.read(chunk_row_key("j", marked.name)).version;
    held.run->on_marked(marks, marked);
}

void batch_simulation::send_items(held_chunk& held)
{
    for (const item_attempt& attempt : held.run->start_attempts(2, this->now))
    {
        held.sent.push_back(attempt);
    }
}

void batch_simulation::end_attempt(held_chunk& held, std::uint32_t outcome_code)
{
    if (held.sent.empty())
    {
        return;
    }
    const item_attempt attempt = held.sent.back();
    held.sent.pop_back();
    const std::uint64_t position = attempt.position;
    const std::uint32_t number = attempt.attempt;
    int& run_count = this->run_counts.at(attempt.request->index);
    switch (outcome_code % 5)
    {
    case 0:
        held.run->on_not_run(position, number, "full", this->now);
        return;
    case 1:
        ++run_count;
        held.run->on_attempt_failed(position, number, "broke", this->now);
        return;
    case 2:
        ++run_count;
        held.run->on_preempted(position, number, this->now);
        return;
    default:
        ++run_count;
        held.run->on_response(position, number, 200, "answer", this->now);
        return;
    }
}

void batch_simulation::finish_chunk(
    fake_process& process, const std::string& name)
{
    held_chunk& held = process.held.at(name);
    if (!held.run->is_complete())
    {
        return;
    }
    run_outcome outcome = held.run->finish(this->make_operation_id());
    finished_chunk done;
    done.request.open_key = open_row_key("j");
    done.request.open_version = this->job.open_version;
    done.request.chunk_key = chunk_row_key("j", name);
    done.request.token = held.chunk.version;
    done.request.committed = outcome.committed;
    done.request.stragglers = outcome.stragglers;
    done.results = outcome.results;
    process.commits.push(std::move(done));
    process.held.erase(name);
}

void batch_simulation::run_commit_action(
    fake_process& process, call_fault fault)
{
    const std::optional<commit_action> action = process.commits.next(this->now);
    if (!action)
    {
        return;
    }
    if (const auto* store = std::get_if<store_results>(&*action))
    {
        const bool is_unreachable = fault == call_fault::unreachable;
        if (!is_unreachable)
        {
            this->objects[store->name] = store->bytes;
        }
        const write_outcome outcome =
            fault == call_fault::none ? write_outcome::done
            : is_unreachable          ? write_outcome::no_effect
                                      : write_outcome::unknown;
        process.commits.on_stored(store->id, outcome, this->now);
    }
    else if (const auto* chunks = std::get_if<commit_chunks>(&*action))
    {
        std::vector<found_row> conflicts;
        const write_outcome outcome =
            this->table.transact(chunks->plan, fault, conflicts);
        process.commits.on_transaction(
            chunks->ids, outcome, conflicts, this->now);
    }
    else if (const auto* read = std::get_if<read_back>(&*action))
    {
        std::optional<found_row> row;
        if (fault == call_fault::none)
        {
            row = this->table.read(read->key);
        }
        process.commits.on_read(read->id, row, this->now);
    }
}

void batch_simulation::cancel_job()
{
    const std::optional<write_plan> plan =
        plan_cancel(get_charts(), this->job, this->make_operation_id(), 0);
    if (!plan)
    {
        return;
    }
    RC_ASSERT(this->table.apply(*plan).empty());
    this->rows_at_cancel = this->table.rows;
}

void batch_simulation::apply_delayed_write()
{
    if (!this->table.delayed.empty())
    {
        const write_plan plan = this->table.delayed.back();
        this->table.delayed.pop_back();
        this->table.apply(plan);
    }
}

void batch_simulation::run_random_step(std::uint32_t code)
{
    this->now += std::chrono::milliseconds(300);
    fake_process& process = this->processes.at(code % process_count);
    code /= process_count;
    const std::vector<std::string> names = this->chunk_names();
    const std::string& name = names.at(code % names.size());
    code /= 8;
    const std::uint32_t action = code % 16;
    code /= 16;
    const auto fault = static_cast<call_fault>(code % 4);
    const auto held = process.held.find(name);
    if (action == 0)
    {
        if (code % 8 == 0)
        {
            process = fake_process();
        }
    }
    else if (action == 1)
    {
        this->apply_delayed_write();
    }
    else if (action <= 4)
    {
        this->lease_chunk(process, name);
    }
    else if (action <= 7)
    {
        this->run_commit_action(process, fault);
    }
    else if (action == 8 && code % 64 == 0)
    {
        this->cancel_job();
    }
    else if (held != process.held.end())
    {
        this->advance_chunk(process, held->second, name, code);
    }
}

void batch_simulation::advance_chunk(
    fake_process& process,
    held_chunk& held,
    const std::string& name,
    std::uint32_t code)
{
    switch (code % 6)
    {
    case 0:
        this->finish_chunk(process, name);
        return;
    case 1:
        this->mark_items(process, held);
        return;
    case 2:
    case 3:
        this->send_items(held);
        return;
    default:
        this->end_attempt(held, code / 6);
        return;
    }
}

void batch_simulation::run_to_completion()
{
    this->processes.at(0) = fake_process();
    for (int round = 0; round < 60; ++round)
    {
        this->now += std::chrono::seconds(40);
        for (fake_process& process : this->processes)
        {
            this->advance_process(process);
        }
        this->apply_delayed_write();
        for (const std::string& name : this->chunk_names())
        {
            this->lease_chunk(this->processes.at(0), name);
        }
    }
}

void batch_simulation::advance_process(fake_process& process)
{
    for (const std::string& name : this->chunk_names())
    {
        if (process.held.contains(name))
        {
            this->mark_items(process, process.held.at(name));
        }
        if (process.held.contains(name))
        {
            held_chunk& held = process.held.at(name);
            this->send_items(held);
            while (!held.sent.empty())
            {
                this->end_attempt(held, 3);
            }
            this->finish_chunk(process, name);
        }
    }
    this->run_commit_action(process, call_fault::none);
}

std::vector<int> batch_simulation::count_results() const
{
    std::vector<int> counts(item_count, 0);
    for (const std::string& name : this->chunk_names())
    {
        const chunk_record record = this->read_chunk(name).record;
        if (record.state != chunk_state::committed)
        {
            continue;
        }
        const std::string& lines = this->objects.at(record.results);
        for (std::size_t begin = 0; begin < lines.size();)
        {
            const std::size_t end = lines.find('\n', begin);
            const item_record item =
                decode_item_record(lines.substr(begin, end - begin)).value();
            ++counts.at(item.index);
            begin = end + 1;
        }
    }
    return counts;
}

} // namespace chicory::batch
