#include "tests/policy/batch/batch_model.hpp"

#include <rapidcheck.h>

namespace chicory::batch
{

const lifecycles& charts()
{
    static const lifecycles loaded =
        load_lifecycles(std::string(CHICORY_SOURCE_DIR) + "/charts").value();
    return loaded;
}

bool is_not_repeatable(std::uint64_t index)
{
    return index % 3 == 0;
}

world::world()
{
    this->job.record.id = "j";
    this->job.record.items = item_count;
    this->job.record.chunks = chunk_count;
    this->table.apply(plan_acceptance(charts(), this->job.record));
    this->job.version = this->table.read(job_row_key("j")).version;
    this->job.open_version = this->table.read(open_row_key("j")).version;
}

std::string world::next_operation()
{
    return "op" + std::to_string(++this->operations);
}

stored_chunk world::read_chunk(const std::string& name) const
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

std::vector<std::string> world::chunk_names() const
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
world::read_items(const chunk_record& record) const
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

void world::lease(fake_process& process, const std::string& name)
{
    stored_chunk chunk = this->read_chunk(name);
    if (chunk.record.state == chunk_state::committed ||
        process.held.contains(name) || process.commits.holds("j", name))
    {
        return;
    }
    const write_plan plan =
        plan_lease(charts(), chunk, this->job, "p", this->next_operation());
    if (!this->table.apply(plan).empty())
    {
        return;
    }
    chunk.version = this->table.read(chunk_row_key("j", name)).version;
    held_chunk held;
    held.chunk = chunk;
    held.run = std::make_unique<chunk_run>(
        charts().item,
        run_settings{},
        chunk.record,
        this->read_items(chunk.record),
        1);
    process.held[name] = std::move(held);
}

void world::mark(fake_process& process, held_chunk& held)
{
    const std::vector<std::uint64_t> marks =
        held.run->find_items_to_mark(2, this->now);
    if (marks.empty())
    {
        return;
    }
    const chunk_record marked =
        held.run->record().marked(marks, this->next_operation());
    if (!this->table.apply(plan_mark(charts(), held.chunk, this->job, marked))
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

void world::send(held_chunk& held)
{
    for (const item_attempt& attempt : held.run->start_attempts(2, this->now))
    {
        held.sent.push_back(attempt);
    }
}

void world::answer(held_chunk& held, std::uint32_t how)
{
    if (held.sent.empty())
    {
        return;
    }
    const item_attempt attempt = held.sent.back();
    held.sent.pop_back();
    const std::uint64_t position = attempt.position;
    const std::uint32_t number = attempt.attempt;
    int& runs = this->runs.at(attempt.request->index);
    switch (how % 5)
    {
    case 0:
        held.run->on_not_run(position, number, "full", this->now);
        return;
    case 1:
        ++runs;
        held.run->on_attempt_failed(position, number, "broke", this->now);
        return;
    case 2:
        ++runs;
        held.run->on_preempted(position, number, this->now);
        return;
    default:
        ++runs;
        held.run->on_response(position, number, 200, "answer", this->now);
        return;
    }
}

void world::finish(fake_process& process, const std::string& name)
{
    held_chunk& held = process.held.at(name);
    if (!held.run->is_complete())
    {
        return;
    }
    run_outcome outcome = held.run->finish(this->next_operation());
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

void world::commit(fake_process& process, call_fault fault)
{
    const std::optional<commit_action> action = process.commits.next(this->now);
    if (!action)
    {
        return;
    }
    if (const auto* store = std::get_if<store_results>(&*action))
    {
        const bool lost = fault == call_fault::down;
        if (!lost)
        {
            this->objects[store->name] = store->bytes;
        }
        const write_outcome fate = fault == call_fault::none
                                       ? write_outcome::done
                                   : lost ? write_outcome::no_effect
                                          : write_outcome::unknown;
        process.commits.on_stored(store->id, fate, this->now);
    }
    else if (const auto* chunks = std::get_if<commit_chunks>(&*action))
    {
        std::vector<found_row> conflicts;
        const write_outcome fate =
            this->table.transact(chunks->plan, fault, conflicts);
        process.commits.on_transaction(chunks->ids, fate, conflicts, this->now);
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

void world::cancel()
{
    const std::optional<write_plan> plan =
        plan_cancel(charts(), this->job, this->next_operation(), 0);
    if (!plan)
    {
        return;
    }
    RC_ASSERT(this->table.apply(*plan).empty());
    this->rows_at_cancel = this->table.rows;
}

void world::deliver_delayed()
{
    if (!this->table.delayed.empty())
    {
        const write_plan plan = this->table.delayed.back();
        this->table.delayed.pop_back();
        this->table.apply(plan);
    }
}

void world::step(std::uint32_t code)
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
        this->deliver_delayed();
    }
    else if (action <= 4)
    {
        this->lease(process, name);
    }
    else if (action <= 7)
    {
        this->commit(process, fault);
    }
    else if (action == 8 && code % 64 == 0)
    {
        this->cancel();
    }
    else if (held != process.held.end())
    {
        this->work(process, held->second, name, code);
    }
}

void world::work(
    fake_process& process,
    held_chunk& held,
    const std::string& name,
    std::uint32_t code)
{
    switch (code % 6)
    {
    case 0:
        this->finish(process, name);
        return;
    case 1:
        this->mark(process, held);
        return;
    case 2:
    case 3:
        this->send(held);
        return;
    default:
        this->answer(held, code / 6);
        return;
    }
}

void world::settle()
{
    this->processes.at(0) = fake_process();
    for (int round = 0; round < 60; ++round)
    {
        this->now += std::chrono::seconds(40);
        for (fake_process& process : this->processes)
        {
            this->drive(process);
        }
        this->deliver_delayed();
        for (const std::string& name : this->chunk_names())
        {
            this->lease(this->processes.at(0), name);
        }
    }
}

void world::drive(fake_process& process)
{
    for (const std::string& name : this->chunk_names())
    {
        if (process.held.contains(name))
        {
            this->mark(process, process.held.at(name));
        }
        if (process.held.contains(name))
        {
            held_chunk& held = process.held.at(name);
            this->send(held);
            while (!held.sent.empty())
            {
                this->answer(held, 3);
            }
            this->finish(process, name);
        }
    }
    this->commit(process, call_fault::none);
}

std::vector<int> world::count_results() const
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
