#include "policy/batch/lifecycle.hpp"

#include <cstdlib>
#include <iostream>

namespace chicory::batch
{

void stop_on_impossible_step(const error& failure)
{
    std::cerr << "broken invariant: " << failure.text << std::endl;
    std::abort();
}

result<lifecycles> load_lifecycles(const std::string& folder)
{
    BOOST_OUTCOME_TRY(
        job_lifecycle job,
        job_lifecycle::load(
            folder + "/job.toml", job_state_names, job_event_names));
    BOOST_OUTCOME_TRY(
        chunk_lifecycle chunk,
        chunk_lifecycle::load(
            folder + "/chunk.toml", chunk_state_names, chunk_event_names));
    BOOST_OUTCOME_TRY(
        item_lifecycle item,
        item_lifecycle::load(
            folder + "/item.toml", item_state_names, item_event_names));
    return lifecycles{std::move(job), std::move(chunk), std::move(item)};
}

} // namespace chicory::batch
