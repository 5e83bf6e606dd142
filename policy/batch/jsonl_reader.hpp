#ifndef CHICORY_POLICY_BATCH_JSONL_READER_HPP
#define CHICORY_POLICY_BATCH_JSONL_READER_HPP

#include "core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace chicory::batch
{

/// Limits of a submission and of the chunks cut from it.
struct reader_settings
{
    /// Maximum length of a line in bytes, without the newline.
    std::size_t max_line_bytes = 1024UL * 1024UL;
    /// A chunk ends when it holds this many bytes, regardless of its number of
    /// items.
    std::size_t max_chunk_bytes = 4UL * 1024UL * 1024UL;
    std::uint64_t min_chunk_items = 16;
    std::uint64_t max_chunk_items = 1024;
    /// The number of items in a chunk is the number of items read before it
    /// divided by this, within the limits above.
    std::uint64_t growth_divisor = 16;
    std::uint64_t max_items = 1000000;
};

/// Lines that are stored, leased and committed together.
struct item_chunk
{
    /// Position of the first item of the chunk in the job.
    std::uint64_t first = 0;
    std::uint64_t items = 0;
    /// Lines of the items, each with its newline.
    std::string lines;
};

/// Returns the number of items of the next chunk. The size of the job is
/// unknown while it is read, so chunks grow with the number of items read:
/// small jobs spread over many processes, and large jobs write few rows.
std::uint64_t
find_chunk_items(const reader_settings& settings, std::uint64_t items_read);

/// Validates a submission line by line and splits it into chunks. It holds the
/// unfinished line, the chunk being filled, the finished chunks and eight bytes
/// of digest per item. Digests of 64 bits suffice: among 620,000 items, two
/// different identifiers collide with a probability of 1e-8. In that case the
/// job is rejected and no data is lost.
class jsonl_reader
{
public:
    explicit jsonl_reader(reader_settings settings);

    /// Reads the next bytes. Error: invalid_input, naming the line and the
    /// reason. No further bytes may be fed after an error.
    result<void> feed(std::string_view bytes);

    /// Handles the end of the input. Error: as for feed(), and invalid_input
    /// when the submission has no items.
    result<void> finish();

    /// Returns and removes the finished chunks.
    std::vector<item_chunk> take_chunks();

    /// Returns the number of valid items read.
    std::uint64_t items() const;

    /// Returns the digest of the item lines read. It does not depend on how the
    /// bytes were split between calls.
    std::uint64_t content_digest() const;

    /// Returns the number of bytes of lines and chunks held.
    std::size_t held_bytes() const;

private:
    result<void> process_line(std::string_view line);
    result<std::string> read_custom_id(std::string_view line) const;
    error make_line_error(const std::string& reason) const;
    void finish_chunk();

    reader_settings settings;
    std::string partial_line;
    item_chunk current_chunk;
    std::vector<item_chunk> finished_chunks;
    std::unordered_set<std::uint64_t> custom_ids;
    std::uint64_t line_number = 0;
    std::uint64_t item_count = 0;
    std::uint64_t digest = 0;
};

} // namespace chicory::batch

#endif
