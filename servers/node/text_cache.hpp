#ifndef CHICORY_SERVERS_NODE_TEXT_CACHE_HPP
#define CHICORY_SERVERS_NODE_TEXT_CACHE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace chicory::node
{

/// Texts of results that a node has read or written, of the jobs that were
/// accepted last.
class text_cache
{
public:
    /// Returns when a job was accepted, or zero for one that is not known.
    using accepted_hook = std::function<std::int64_t(const std::string&)>;

    /// Whole jobs are dropped while the texts have more than `limit` bytes,
    /// but for the last one.
    text_cache(std::size_t limit, accepted_hook hook);

    /// Keeps a text; one that is there already stays.
    void keep(const std::string& job, std::int64_t position, std::string text);

    /// Returns a text, or null. It stays until the next call of `keep`.
    const std::string*
    find(const std::string& job, std::int64_t position) const;

private:
    struct job_texts
    {
        std::map<std::int64_t, std::string> by_position;
        std::size_t bytes = 0;
    };

    void drop();

    std::size_t most_bytes;
    accepted_hook accepted;
    std::map<std::string, job_texts> jobs;
    std::size_t bytes = 0;
};

} // namespace chicory::node

#endif
