#ifndef CHICORY_SERVERS_NODE_TEXT_CACHE_HPP
#define CHICORY_SERVERS_NODE_TEXT_CACHE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace chicory::node
{

/// Caches result texts that a node has read or written. Evicts the jobs that
/// were accepted first.
class text_cache
{
public:
    /// Returns the time at which a job was accepted, in milliseconds, or zero
    /// for an unknown job.
    using accepted_ms_hook = std::function<std::int64_t(const std::string&)>;

    /// Evicts whole jobs while the texts exceed `limit` bytes, but always
    /// retains one job.
    text_cache(std::size_t limit, accepted_ms_hook hook);

    /// Adds a text. An existing text at the same position stays.
    void
    insert(const std::string& job, std::int64_t position, std::string text);

    /// Returns a text, or null. The pointer is valid until the next call of
    /// `insert`.
    const std::string*
    find(const std::string& job, std::int64_t position) const;

private:
    struct job_texts
    {
        std::map<std::int64_t, std::string> by_position;
        std::size_t bytes = 0;
    };

    void evict();

    std::size_t max_bytes;
    accepted_ms_hook get_accepted_ms;
    std::map<std::string, job_texts> jobs;
    std::size_t bytes = 0;
};

} // namespace chicory::node

#endif
