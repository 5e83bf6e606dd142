#ifndef CHICORY_SERVERS_BATCH_HELD_CHUNK_HPP
#define CHICORY_SERVERS_BATCH_HELD_CHUNK_HPP

#include "policy/batch/batch.hpp"
#include "servers/dispatch/dispatch.hpp"

#include <cstdint>
#include <map>
#include <memory>

namespace chicory::batch
{

/// A chunk that this process has leased, with its attempts in progress.
struct held_chunk
{
    stored_chunk chunk;
    stored_job job;
    std::unique_ptr<chunk_run> run;
    /// Attempts by the position of their item in the chunk.
    std::map<std::uint64_t, std::shared_ptr<dispatching::attempt>> attempts;
    /// True while a write that marks items as started is in progress.
    bool marking = false;
    /// True once the chunk was dropped or completed. Responses that arrive
    /// later are ignored.
    bool dropped = false;
};

} // namespace chicory::batch

#endif
