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

/// Tables of the store that hold jobs, their submissions and the texts of their
/// results.
inline constexpr std::string_view job_table = "jobs";
inline constexpr std::string_view body_table = "job_bodies";
inline constexpr std::string_view text_table = "job_texts";
/// Table of the saved pieces of the texts of running items.
inline constexpr std::string_view piece_table = "job_pieces";

/// Key of the record that serialises the acceptance of jobs on a route. No job
/// can have this id.
inline constexpr std::string_view limit_key = "/limit";

/// Returns the error of a call about a job that does not exist, or that the
/// caller may not learn of.
error make_missing_job_error(const std::string& id);

/// Returns the partition that holds the jobs of a route.
std::string make_partition(const std::string& route);

/// Returns the name of the object that holds a large submission. Two
/// organisations that submit jobs under the same id use different objects,
/// because an object may be stored before it is known who has the id.
std::string make_object_name(const serving::job_record& job);

/// Returns the range of a job's records in a table, from the text at a position
/// on. A submission is the text at position zero.
ports::record_range make_part_range(
    std::string_view table,
    const std::string& partition,
    const std::string& id,
    std::int64_t position);

/// Splits a text into records with values of at most `value_bytes` bytes.
std::vector<ports::record_write> make_part_writes(
    std::string_view table,
    const std::string& id,
    std::int64_t position,
    std::string_view text,
    std::size_t value_bytes);

/// Joins the records of the text at a position. `values` maps keys to values.
/// Returns nothing when a record is missing.
std::optional<std::string> join_parts(
    const std::map<std::string, const std::string*>& values,
    const std::string& id,
    std::int64_t position,
    std::int64_t parts);

/// Returns the key of the piece of an item's text that starts after
/// `first_event` events. The keys of a job's pieces sort by item, then by
/// event.
std::string make_piece_key(
    const std::string& id, std::int64_t item, std::int64_t first_event);

/// Makes the records that hold pieces of the texts of a job's items.
std::vector<ports::record_write> make_piece_writes(
    const std::string& id,
    const std::vector<std::pair<std::int64_t, serving::item_piece>>& pieces);

/// Returns the number of the item that a piece of a job belongs to, or nothing
/// when the key has another format.
std::optional<std::int64_t>
parse_piece_item(const std::string& id, std::string_view key);

} // namespace chicory::node

#endif
