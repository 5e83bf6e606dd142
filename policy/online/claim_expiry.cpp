#include "policy/online/claim_expiry.hpp"

#include <charconv>
#include <utility>

namespace chicory::online
{

namespace
{

constexpr std::size_t part_count = 256;
constexpr std::string_view digits = "0123456789abcdef";

std::string make_prefix(std::size_t part)
{
    std::string prefix(claim_row_prefix);
    prefix += digits[part / digits.size()];
    prefix += digits[part % digits.size()];
    return prefix;
}

template <class Number>
bool parse_number(std::string_view text, Number& number)
{
    const char* const end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, number);
    return code == std::errc() && rest == end;
}

} // namespace

std::string encode(const claim_stamp& stamp)
{
    return stamp.id + "-" + std::to_string(stamp.claimed_at_ms) + "-" +
           std::to_string(stamp.fingerprint);
}

std::optional<claim_stamp> decode_claim_stamp(std::string_view operation)
{
    const std::size_t last = operation.rfind('-');
    if (last == std::string_view::npos || last == 0)
    {
        return std::nullopt;
    }
    const std::size_t middle = operation.rfind('-', last - 1);
    if (middle == std::string_view::npos)
    {
        return std::nullopt;
    }
    claim_stamp stamp;
    stamp.id = std::string(operation.substr(0, middle));
    const std::string_view at = operation.substr(middle + 1, last - middle - 1);
    if (!parse_number(at, stamp.claimed_at_ms) ||
        !parse_number(operation.substr(last + 1), stamp.fingerprint))
    {
        return std::nullopt;
    }
    return stamp;
}

claim_sweep::claim_sweep(claim_sweep_settings settings, std::string own_gate)
    : settings(settings), own_gate(std::move(own_gate))
{
}

std::optional<claim_page>
claim_sweep::next(const std::vector<std::string>& gates)
{
    for (std::size_t checked = 0; checked < part_count; ++checked)
    {
        if (this->is_own(this->part, gates))
        {
            return claim_page{make_prefix(this->part), this->after};
        }
        this->part = (this->part + 1) % part_count;
        this->after.clear();
    }
    return std::nullopt;
}

std::vector<claim_row> claim_sweep::select_expired(
    const std::vector<claim_row>& rows, std::int64_t now_ms)
{
    std::vector<claim_row> expired;
    for (const claim_row& row : rows)
    {
        if (this->is_expired(row, now_ms))
        {
            expired.push_back(row);
        }
    }
    if (rows.size() < this->settings.page)
    {
        this->part = (this->part + 1) % part_count;
        this->after.clear();
    }
    else
    {
        this->after = rows.back().key;
    }
    return expired;
}

duration claim_sweep::pause(std::size_t gates) const
{
    const std::size_t gate_count = gates == 0 ? 1 : gates;
    return this->settings.page_interval * static_cast<std::int64_t>(gate_count);
}

bool claim_sweep::is_own(
    std::size_t number, const std::vector<std::string>& gates) const
{
    std::string owner;
    std::uint64_t owner_weight = 0;
    for (const std::string& gate : gates)
    {
        const std::uint64_t weight = hash_bytes(gate, number);
        const bool has_precedence =
            weight > owner_weight || (weight == owner_weight && gate > owner);
        if (owner.empty() || has_precedence)
        {
            owner = gate;
            owner_weight = weight;
        }
    }
    return owner == this->own_gate;
}

bool claim_sweep::is_expired(const claim_row& row, std::int64_t now_ms) const
{
    const std::optional<claim_stamp> stamp =
        decode_claim_stamp(claim_operation(row.value));
    // A row without a stamp is kept, because its age is unknown.
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->settings.lifetime);
    return stamp && now_ms - stamp->claimed_at_ms >= lifetime.count();
}

} // namespace chicory::online
