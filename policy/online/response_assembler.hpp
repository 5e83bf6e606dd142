#ifndef CHICORY_POLICY_ONLINE_RESPONSE_ASSEMBLER_HPP
#define CHICORY_POLICY_ONLINE_RESPONSE_ASSEMBLER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chicory::online
{

/// Where an answer stands.
enum class response_state
{
    open,
    complete,
    /// The announced length contradicts the bytes that came.
    inconsistent,
};

/// Puts the frames of one answer in order. Frames of another attempt and
/// bytes that came before are dropped, and the answer is complete only once
/// an explicit end has come and all bytes up to its length were given out.
class response_assembler
{
public:
    /// Bytes kept ahead of a gap; more are dropped and fetched by a resume.
    static constexpr std::uint64_t max_bytes_ahead = 4ULL << 20U;

    explicit response_assembler(std::uint32_t attempt);

    /// Takes a frame and returns the bytes that are next in order, which may
    /// be none. Bytes are returned once.
    std::string
    add(std::uint32_t frame_attempt,
        std::uint64_t offset,
        std::string_view bytes);

    /// Takes the explicit end with the length of the whole answer.
    void end(std::uint32_t frame_attempt, std::uint64_t length);

    response_state state() const;

    /// Returns the offset from which the answer has to be resumed.
    std::uint64_t resume_offset() const;

private:
    std::string take_ready();

    std::uint32_t attempt;
    std::uint64_t delivered = 0;
    std::uint64_t bytes_ahead = 0;
    std::optional<std::uint64_t> length;
    bool contradicted = false;
    std::map<std::uint64_t, std::string> ahead;
};

} // namespace chicory::online

#endif
