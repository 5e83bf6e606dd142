#include "servers/node/text_cache.hpp"

#include <limits>
#include <utility>

namespace chicory::node
{

text_cache::text_cache(std::size_t limit, accepted_hook hook)
    : most_bytes(limit), accepted(std::move(hook))
{
}

void text_cache::keep(
    const std::string& job, std::int64_t position, std::string text)
{
    job_texts& kept = this->jobs[job];
    const std::size_t size = text.size();
    if (!kept.by_position.try_emplace(position, std::move(text)).second)
    {
        return;
    }
    kept.bytes += size;
    this->bytes += size;
    this->drop();
}

const std::string*
text_cache::find(const std::string& job, std::int64_t position) const
{
    const auto kept = this->jobs.find(job);
    if (kept == this->jobs.end())
    {
        return nullptr;
    }
    const auto text = kept->second.by_position.find(position);
    return text == kept->second.by_position.end() ? nullptr : &text->second;
}

void text_cache::drop()
{
    while (this->bytes > this->most_bytes && this->jobs.size() > 1)
    {
        // The job that was accepted first is read least.
        auto oldest = this->jobs.begin();
        std::int64_t oldest_ms = std::numeric_limits<std::int64_t>::max();
        for (auto entry = this->jobs.begin(); entry != this->jobs.end();
             ++entry)
        {
            const std::int64_t accepted_ms = this->accepted(entry->first);
            if (accepted_ms < oldest_ms)
            {
                oldest = entry;
                oldest_ms = accepted_ms;
            }
        }
        this->bytes -= oldest->second.bytes;
        this->jobs.erase(oldest);
    }
}

} // namespace chicory::node
