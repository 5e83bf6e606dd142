#ifndef CHICORY_TESTS_STANDINS_GENERATED_RESPONSE_HPP
#define CHICORY_TESTS_STANDINS_GENERATED_RESPONSE_HPP

#include <cstdint>
#include <string>

namespace chicory::standin
{

/// Format of a response body.
enum class response_format
{
    completion,
    chat,
    plain,
};

/// Returns the response format for a path of the backend server's interface.
response_format get_response_format(const std::string& path);

/// The response to one request. It depends only on the request body and the
/// path, so that a test can check every byte that a caller receives.
class generated_response
{
public:
    generated_response(const std::string& path, const std::string& body);

    /// Returns true if the request body asks for server-sent events.
    bool is_streamed() const;

    /// Returns the number of tokens of the response.
    std::int64_t token_count() const;

    /// Returns the bytes to send when token `index` is ready: an event for a
    /// stream, otherwise an empty string.
    std::string token_bytes(std::int64_t index) const;

    /// Returns the bytes to send after the last token: the end of the stream,
    /// or the whole JSON document.
    std::string end_bytes() const;

    /// Returns all bytes of the response.
    std::string all_bytes() const;

private:
    std::string token(std::int64_t index) const;

    response_format format;
    std::string digest;
    bool streamed = false;
    std::int64_t tokens;
};

} // namespace chicory::standin

#endif
