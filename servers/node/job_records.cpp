#include "servers/node/job_records.hpp"

#include <array>
#include <charconv>
#include <cstdio>
#include <system_error>

namespace chicory::node
{

namespace
{

std::string
make_part_key(const std::string& id, std::int64_t position, std::size_t part)
{
    std::array<char, 32> suffix{};
    std::snprintf(
        suffix.data(),
        suffix.size(),
        "/%06lld/%02zu",
        static_cast<long long>(position),
        part);
    return id + suffix.data();
}

} // namespace

error make_missing_job_error(const std::string& id)
{
    return make_error(error_kind::not_found, "there is no job " + id);
}

std::string make_partition(const std::string& route)
{
    std::array<char, 24> name{};
    std::snprintf(
        name.data(),
        name.size(),
        "r%016llx",
        static_cast<unsigned long long>(hash_bytes(route)));
    return name.data();
}

std::string make_object_name(const serving::job_record& job)
{
    if (job.organisation.empty())
    {
        return "job-" + job.id;
    }
    return "org-" + sha256_hex(job.organisation) + "-" + job.id;
}

ports::record_range make_part_range(
    std::string_view table,
    const std::string& partition,
    const std::string& id,
    std::int64_t position)
{
    // The range ends before the first key that sorts after all keys with the
    // prefix "id/".
    return {
        std::string(table),
        partition,
        make_part_key(id, position, 0),
        id + static_cast<char>('/' + 1)};
}

std::vector<ports::record_write> make_part_writes(
    std::string_view table,
    const std::string& id,
    std::int64_t position,
    std::string_view text,
    std::size_t value_bytes)
{
    std::vector<ports::record_write> writes;
    while (!text.empty())
    {
        const std::string_view part = text.substr(0, value_bytes);
        writes.push_back(
            {std::string(table),
             make_part_key(id, position, writes.size()),
             std::string(part)});
        text.remove_prefix(part.size());
    }
    return writes;
}

std::optional<std::string> join_parts(
    const std::map<std::string, const std::string*>& values,
    const std::string& id,
    std::int64_t position,
    std::int64_t parts)
{
    std::string text;
    for (std::int64_t part = 0; part < parts; ++part)
    {
        const auto value = values.find(
            make_part_key(id, position, static_cast<std::size_t>(part)));
        if (value == values.end())
        {
            return std::nullopt;
        }
        text += *value->second;
    }
    return text;
}

std::string make_piece_key(
    const std::string& id, std::int64_t item, std::int64_t first_event)
{
    std::array<char, 40> suffix{};
    std::snprintf(
        suffix.data(),
        suffix.size(),
        "/%06lld/%08lld",
        static_cast<long long>(item),
        static_cast<long long>(first_event));
    return id + suffix.data();
}

std::vector<ports::record_write> make_piece_writes(
    const std::string& id,
    const std::vector<std::pair<std::int64_t, serving::item_piece>>& pieces)
{
    std::vector<ports::record_write> writes;
    writes.reserve(pieces.size());
    for (const auto& [item, piece] : pieces)
    {
        writes.push_back(
            {std::string(piece_table),
             make_piece_key(id, item, piece.first),
             serving::encode_piece(piece)});
    }
    return writes;
}

std::optional<std::int64_t>
parse_piece_item(const std::string& id, std::string_view key)
{
    if (!key.starts_with(id + "/"))
    {
        return std::nullopt;
    }
    key.remove_prefix(id.size() + 1);
    std::int64_t item = 0;
    const auto [rest, code] =
        std::from_chars(key.data(), key.data() + key.size(), item);
    if (code != std::errc() || rest == key.data() + key.size() || *rest != '/')
    {
        return std::nullopt;
    }
    return item;
}

} // namespace chicory::node
