#include "policy/online/response_assembler.hpp"

#include <algorithm>

namespace chicory::online
{

response_assembler::response_assembler(std::uint32_t attempt) : attempt(attempt)
{
}

std::string response_assembler::add(
    std::uint32_t frame_attempt, std::uint64_t offset, std::string_view bytes)
{
    if (frame_attempt != this->attempt || bytes.empty())
    {
        return {};
    }
    const std::uint64_t frame_end = offset + bytes.size();
    if (frame_end <= this->delivered)
    {
        return {};
    }
    if (this->length && frame_end > *this->length)
    {
        this->contradicted = true;
        return {};
    }
    const auto known = this->ahead.find(offset);
    const std::uint64_t held =
        known == this->ahead.end() ? 0 : known->second.size();
    if (held >= bytes.size())
    {
        return {};
    }
    const bool in_order = offset <= this->delivered;
    if (!in_order && this->bytes_ahead + bytes.size() > max_bytes_ahead)
    {
        return {};
    }
    this->bytes_ahead += bytes.size() - held;
    this->ahead[offset] = std::string(bytes);
    return this->take_ready();
}

std::string response_assembler::take_ready()
{
    std::string ready;
    while (!this->ahead.empty())
    {
        const auto first = this->ahead.begin();
        const auto& [offset, bytes] = *first;
        if (offset > this->delivered)
        {
            break;
        }
        const std::uint64_t skip = this->delivered - offset;
        if (skip < bytes.size())
        {
            ready.append(bytes, skip);
            this->delivered += bytes.size() - skip;
        }
        this->bytes_ahead -= bytes.size();
        this->ahead.erase(first);
    }
    return ready;
}

void response_assembler::end(
    std::uint32_t frame_attempt, std::uint64_t answer_length)
{
    if (frame_attempt != this->attempt)
    {
        return;
    }
    std::uint64_t seen = this->delivered;
    if (!this->ahead.empty())
    {
        const auto& [offset, bytes] = *this->ahead.rbegin();
        seen = std::max(seen, offset + bytes.size());
    }
    const bool differs = this->length && *this->length != answer_length;
    if (differs || seen > answer_length)
    {
        this->contradicted = true;
        return;
    }
    this->length = answer_length;
}

response_state response_assembler::state() const
{
    if (this->contradicted)
    {
        return response_state::inconsistent;
    }
    if (this->length && *this->length == this->delivered)
    {
        return response_state::complete;
    }
    return response_state::open;
}

std::uint64_t response_assembler::resume_offset() const
{
    return this->delivered;
}

} // namespace chicory::online
