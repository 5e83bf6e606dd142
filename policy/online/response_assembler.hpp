#ifndef CHICORY_POLICY_ONLINE_RESPONSE_ASSEMBLER_HPP
#define CHICORY_POLICY_ONLINE_RESPONSE_ASSEMBLER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chicory::online
{

/// Progress of a response.
enum class response_state
{
    open,
    complete,
    /// The announced length contradicts the bytes received.
    inconsistent,
};

/// Reassembles the frames of one response in order. Frames of other attempts
/// and bytes that were returned before are dropped. The response is complete
/// only after an explicit end was received and all bytes up to its length were
/// returned.
class response_assembler
{
public:
    /// Bytes buffered beyond a gap. Bytes above this limit are dropped and
    /// fetched again by a resume.
    static constexpr std::uint64_t max_buffered_bytes = 4ULL << 20U;

    explicit response_assembler(std::uint32_t attempt);

    /// Adds a frame and returns the bytes that are next in order, possibly
    /// none. Each byte is returned once.
    std::string
    add(std::uint32_t frame_attempt,
        std::uint64_t offset,
        std::string_view bytes);

    /// Records the explicit end of the response and its total length in bytes.
    void end(std::uint32_t frame_attempt, std::uint64_t length);

    response_state state() const;

    /// Returns the offset in bytes from which the response has to be resumed.
    std::uint64_t resume_offset() const;

private:
    std::string extract_ready();

    std::uint32_t attempt;
    std::uint64_t delivered = 0;
    std::uint64_t buffered_bytes = 0;
    std::optional<std::uint64_t> length;
    bool is_inconsistent = false;
    std::map<std::uint64_t, std::string> buffered_frames;
};

} // namespace chicory::online

#endif
