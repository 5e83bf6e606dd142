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
        this->is_inconsistent = true;
        return {};
    }
    const auto buffered = this->buffered_frames.find(offset);
    const std::uint64_t buffered_size =
        buffered == this->buffered_frames.end() ? 0 : buffered->second.size();
    if (buffered_size >= bytes.size())
    {
        return {};
    }
    const bool in_order = offset <= this->delivered;
    if (!in_order && this->buffered_bytes + bytes.size() > max_buffered_bytes)
    {
        return {};
    }
    this->buffered_bytes += bytes.size() - buffered_size;
    this->buffered_frames[offset] = std::string(bytes);
    return this->extract_ready();
}

std::string response_assembler::extract_ready()
{
    std::string ready;
    while (!this->buffered_frames.empty())
    {
        const auto first = this->buffered_frames.begin();
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
        this->buffered_bytes -= bytes.size();
        this->buffered_frames.erase(first);
    }
    return ready;
}

void response_assembler::end(
    std::uint32_t frame_attempt, std::uint64_t response_length)
{
    if (frame_attempt != this->attempt)
    {
        return;
    }
    std::uint64_t received_length = this->delivered;
    if (!this->buffered_frames.empty())
    {
        const auto& [offset, bytes] = *this->buffered_frames.rbegin();
        received_length = std::max(received_length, offset + bytes.size());
    }
    const bool differs = this->length && *this->length != response_length;
    if (differs || received_length > response_length)
    {
        this->is_inconsistent = true;
        return;
    }
    this->length = response_length;
}

response_state response_assembler::state() const
{
    if (this->is_inconsistent)
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
