#include "tests/policy/batch/batch_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace chicory::batch
{

RC_GTEST_PROP(batch_model, each_item_ends_exactly_once, ())
{
    const auto codes = *rc::gen::scale(
        8.0,
        rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::inRange<std::uint32_t>(0, 100000000)));
    batch_simulation model;
    for (const std::uint32_t code : codes)
    {
        model.run_random_step(code);
    }
    model.run_to_completion();
    for (std::uint64_t index = 0; index < item_count; ++index)
    {
        if (is_not_repeatable(index))
        {
            RC_ASSERT(model.run_counts[index] <= 1);
        }
    }
    const std::vector<int> counts = model.count_results();
    RC_TAG(model.rows_at_cancel.has_value());
    if (model.rows_at_cancel)
    {
        for (const auto& [key, row] : *model.rows_at_cancel)
        {
            RC_ASSERT(model.table.read(key).version == row.version);
        }
        RC_ASSERT(model.table.rows.size() == model.rows_at_cancel->size());
        return;
    }
    for (const int count : counts)
    {
        RC_ASSERT(count == 1);
    }
    std::vector<stored_chunk> chunks;
    for (const std::string& name : model.chunk_names())
    {
        chunks.push_back(model.read_chunk(name));
    }
    RC_ASSERT(
        plan_finish(get_charts(), model.job, chunks, "op", 0).has_value());
    RC_ASSERT(
        model.job.record.completed + model.job.record.failed +
            model.job.record.outcome_unknown ==
        item_count);
}

} // namespace chicory::batch
