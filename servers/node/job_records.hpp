#ifndef CHICORY_SERVERS_NODE_JOB_RECORDS_HPP
#define CHICORY_SERVERS_NODE_JOB_RECORDS_HPP

#include "policy/serving/serving.hpp"
#include "ports/ports.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chicory::node
{

/// Tables of the store that hold jobs, their submissions and their texts.
inline constexpr std::string_view job_table = "jobs";
inline constexpr std::string_view body_table = "job_bodies";
inline constexpr std::string_view text_table = "job_texts";
/// Pieces of the texts of items that run.
inline constexpr std::string_view piece_table = "job_pieces";

/// Key of the record that orders the acceptances of a route. No job has such
/// an id.
inline constexpr std::string_view limit_key = "/limit";

/// Returns the partition that holds the jobs of a route.
std::string make_partition(const std::string& route);

/// Returns the name of the object that holds a large submission.
std::string make_object_name(const std::string& id);

/// Returns the range of a job's records in a table, from the text at a
/// position on; a submission is the one at position zero.
ports::record_range make_part_range(
    std::string_view table,
    const std::string& partition,
    const std::string& id,
    std::int64_t position);

/// Splits a text into records with values of at most `value_bytes`.
std::vector<ports::record_write> make_part_writes(
    std::string_view table,
    const std::string& id,
    std::int64_t position,
    std::string_view text,
    std::size_t value_bytes);

/// Joins the records of the text at a position, given by key; nothing when
/// one of them is missing.
std::optional<std::string> join_parts(
    const std::map<std::string, const std::string*>& values,
    const std::string& id,
    std::int64_t position,
    std::int64_t parts);

/// Returns the key of the piece of an item's text behind so many events. The
/// keys of a job's pieces are in the order of items and events.
std::string make_piece_key(
    const std::string& id, std::int64_t item, std::int64_t first_event);

/// Makes the records that hold pieces of the texts of a job's items.
std::vector<ports::record_write> make_piece_writes(
    const std::string& id,
    const std::vector<std::pair<std::int64_t, serving::item_piece>>& pieces);

/// Returns the item that a piece of a job belongs to, or nothing for a key of
/// another form.
std::optional<std::int64_t>
read_piece_item(const std::string& id, std::string_view key);

} // namespace chicory::node

#endif
