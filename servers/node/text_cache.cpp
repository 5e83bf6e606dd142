#include "servers/node/text_cache.hpp"

#include <limits>
#include <utility>

namespace chicory::node
{

text_cache::text_cache(std::size_t limit, accepted_ms_hook hook)
    : max_bytes(limit), get_accepted_ms(std::move(hook))
{
}

void text_cache::insert(
    const std::string& job, std::int64_t position, std::string text)
{
    job_texts& cached = this->jobs[job];
    const std::size_t size = text.size();
    if (!cached.by_position.try_emplace(position, std::move(text)).second)
    {
        return;
    }
    cached.bytes += size;
    this->bytes += size;
    this->evict();
}

const std::string*
text_cache::find(const std::string& job, std::int64_t position) const
{
    const auto cached = this->jobs.find(job);
    if (cached == this->jobs.end())
    {
        return nullptr;
    }
    const auto text = cached->second.by_position.find(position);
    return text == cached->second.by_position.end() ? nullptr : &text->second;
}

void text_cache::evict()
{
    while (this->bytes > this->max_bytes && this->jobs.size() > 1)
    {
        // The job that was accepted first is the least likely to be read again.
        auto oldest = this->jobs.begin();
        std::int64_t oldest_ms = std::numeric_limits<std::int64_t>::max();
        for (auto entry = this->jobs.begin(); entry != this->jobs.end();
             ++entry)
        {
            const std::int64_t accepted_ms =
                this->get_accepted_ms(entry->first);
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
