#ifndef CHICORY_POLICY_BATCH_ITEM_RECORD_HPP
#define CHICORY_POLICY_BATCH_ITEM_RECORD_HPP

#include "core/core.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chicory::batch
{

/// State of an item. Its transitions are defined in charts/item.toml.
enum class item_state
{
    waiting,
    marked,
    running,
    spaced,
    completed,
    failed,
    outcome_unknown,
    split_off,
    abandoned,
};

inline constexpr enum_table<item_state, 9> item_state_names = {{
    {item_state::waiting, "waiting"},
    {item_state::marked, "marked"},
    {item_state::running, "running"},
    {item_state::spaced, "spaced"},
    {item_state::completed, "completed"},
    {item_state::failed, "failed"},
    {item_state::outcome_unknown, "outcome_unknown"},
    {item_state::split_off, "split_off"},
    {item_state::abandoned, "abandoned"},
}};

/// Event that changes the state of an item.
enum class item_event
{
    mark,
    send,
    answer,
    not_run,
    yield,
    attempt_failed,
    give_up,
    lost_track,
    split,
    abandon,
};

inline constexpr enum_table<item_event, 10> item_event_names = {{
    {item_event::mark, "mark"},
    {item_event::send, "send"},
    {item_event::answer, "answer"},
    {item_event::not_run, "not_run"},
    {item_event::yield, "yield"},
    {item_event::attempt_failed, "attempt_failed"},
    {item_event::give_up, "give_up"},
    {item_event::lost_track, "lost_track"},
    {item_event::split, "split"},
    {item_event::abandon, "abandon"},
}};

/// Request for one item, decoded from a line of a submission.
struct item_request
{
    /// Position of the item in the job.
    std::uint64_t index = 0;
    std::string custom_id;
    /// Path of the request at the backend server.
    std::string url;
    /// JSON body of the request.
    std::string body;
    /// Route named in the line; empty if there is none.
    std::string route;
    /// True when the item must run at most once.
    bool not_repeatable = false;
    /// Digest of the first bytes of the prompt. Items with equal digests share
    /// a cached prefix.
    std::uint64_t prefix = 0;
};

/// Decodes a line of a submission. Error: internal for an invalid line, which
/// should have been rejected with the submission.
result<item_request> decode_item(std::string_view line, std::uint64_t index);

/// Decodes the items of a chunk from the lines of its source, each paired with
/// its position in the source. `first` is the position in the job of the first
/// line. An empty list of members selects all lines. Error: internal for an
/// invalid line and for a member without a line.
result<std::vector<std::pair<std::uint64_t, item_request>>> decode_items(
    std::string_view lines,
    std::uint64_t first,
    const std::vector<std::uint64_t>& members);

/// Final result of an item.
struct item_record
{
    std::uint64_t index = 0;
    std::string custom_id;
    /// `completed`, `failed` or `outcome_unknown`.
    item_state state = item_state::waiting;
    /// HTTP status of the response; zero if there was none.
    std::int64_t status = 0;
    std::string body;
    /// Reason why the item was not completed.
    std::string reason;
    /// Number of attempts that may have run.
    std::uint64_t attempts = 0;

    bool operator==(const item_record&) const = default;
};

/// Returns a result as one line of JSON without the newline.
std::string encode(const item_record& record);

/// Decodes a line of a result object. Error: internal, naming the expected
/// field.
result<item_record> decode_item_record(std::string_view line);

} // namespace chicory::batch

#endif
