#ifndef CHICORY_TESTS_STANDINS_GENERATED_RESPONSE_HPP
#define CHICORY_TESTS_STANDINS_GENERATED_RESPONSE_HPP

#include <cstdint>
#include <string>

namespace chicory::standin
{

/// Which shape an answer has.
enum class response_format
{
    completion,
    chat,
    plain,
};

/// Returns the shape that a path of the backend server's interface asks for.
response_format get_response_format(const std::string& path);

/// The answer to one request body. It depends only on the body and the path,
/// so that every byte a caller receives can be checked.
class generated_response
{
public:
    generated_response(const std::string& path, const std::string& body);

    /// True when the body asks for server-sent events.
    bool is_streamed() const;

    /// Number of tokens that the answer has.
    std::int64_t token_count() const;

    /// Returns what is sent when token `index` is ready: an event in a
    /// stream, nothing otherwise.
    std::string bytes_of_token(std::int64_t index) const;

    /// Returns what is sent after the last token: the end of the stream, or
    /// the whole JSON document.
    std::string bytes_of_end() const;

    /// Returns all bytes of the answer.
    std::string all_bytes() const;

private:
    std::string token(std::int64_t index) const;

    response_format shape;
    std::string digest;
    bool streamed = false;
    std::int64_t tokens;
};

} // namespace chicory::standin

#endif
