#include "tests/standins/generated_response.hpp"

#include "core/core.hpp"

#include <boost/json.hpp>

namespace chicory::standin
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t default_tokens = 16;
constexpr std::size_t digest_digits = 8;

const char* object_name(response_format format, bool streamed)
{
    if (format == response_format::chat)
    {
        return streamed ? "chat.completion.chunk" : "chat.completion";
    }
    return format == response_format::plain ? "service_result"
                                            : "text_completion";
}

} // namespace

response_format get_response_format(const std::string& path)
{
    if (path.ends_with("/chat/completions"))
    {
        return response_format::chat;
    }
    return path.ends_with("/completions") ? response_format::completion
                                          : response_format::plain;
}

generated_response::generated_response(
    const std::string& path, const std::string& body)
    : format(get_response_format(path)),
      digest(sha256_hex(body).substr(0, digest_digits)), tokens(default_tokens)
{
    boost::system::error_code failed;
    const json::value parsed = json::parse(body, failed);
    if (failed || !parsed.is_object())
    {
        return;
    }
    const json::object& fields = parsed.get_object();
    if (const json::value* const field = fields.if_contains("max_tokens");
        field != nullptr && field->is_int64())
    {
        this->tokens = field->get_int64();
    }
    if (const json::value* const field = fields.if_contains("stream");
        field != nullptr && field->is_bool())
    {
        this->streamed = field->get_bool();
    }
}

bool generated_response::is_streamed() const
{
    return this->streamed;
}

std::int64_t generated_response::token_count() const
{
    return this->tokens;
}

std::string generated_response::token(std::int64_t index) const
{
    return "t" + std::to_string(index) + "-" + this->digest + " ";
}

std::string generated_response::token_bytes(std::int64_t index) const
{
    if (!this->streamed)
    {
        return {};
    }
    json::object choice;
    choice["index"] = 0;
    if (this->format == response_format::chat)
    {
        choice["delta"] = json::object{{"content", this->token(index)}};
    }
    else
    {
        choice["text"] = this->token(index);
    }
    json::object event;
    event["id"] = "cmpl-" + this->digest;
    event["object"] = object_name(this->format, true);
    event["choices"] = json::array{choice};
    return "data: " + json::serialize(event) + "\n\n";
}

std::string generated_response::end_bytes() const
{
    if (this->streamed)
    {
        return "data: [DONE]\n\n";
    }
    std::string text;
    for (std::int64_t index = 0; index < this->tokens; ++index)
    {
        text += this->token(index);
    }
    json::object choice;
    choice["index"] = 0;
    if (this->format == response_format::chat)
    {
        choice["message"] =
            json::object{{"role", "assistant"}, {"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    choice["finish_reason"] = "stop";
    json::object document;
    document["id"] = "cmpl-" + this->digest;
    document["object"] = object_name(this->format, false);
    document["choices"] = json::array{choice};
    document["usage"] = json::object{{"completion_tokens", this->tokens}};
    return json::serialize(document);
}

std::string generated_response::all_bytes() const
{
    std::string bytes;
    for (std::int64_t index = 0; index < this->tokens; ++index)
    {
        bytes += this->token_bytes(index);
    }
    return bytes + this->end_bytes();
}

} // namespace chicory::standin
