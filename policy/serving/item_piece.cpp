#include "policy/serving/item_piece.hpp"

#include <boost/json.hpp>

#include <exception>

namespace chicory::serving
{

namespace json = boost::json;

namespace
{

item_piece read_piece(const json::object& fields)
{
    item_piece piece;
    piece.first = fields.at("first").to_number<std::int64_t>();
    piece.digest_before = fields.at("digest_before").to_number<std::uint64_t>();
    piece.events = fields.at("events").to_number<std::int64_t>();
    piece.last_id = fields.at("last_id").as_string();
    piece.text = fields.at("text").as_string();
    piece.worked = duration(fields.at("worked_us").to_number<std::int64_t>());
    return piece;
}

} // namespace

std::string encode_piece(const item_piece& piece)
{
    return json::serialize(json::object{
        {"first", piece.first},
        {"digest_before", piece.digest_before},
        {"events", piece.events},
        {"last_id", piece.last_id},
        {"text", piece.text},
        {"worked_us", piece.worked.count()}});
}

result<item_piece> decode_piece(std::string_view text)
{
    boost::system::error_code code;
    const json::value parsed =
        json::parse(boost::core::string_view(text.data(), text.size()), code);
    try
    {
        item_piece piece = read_piece(parsed.as_object());
        if (piece.first >= 0 && piece.events > 0)
        {
            return piece;
        }
    }
    catch (const std::exception&)
    {
        // Missing fields and wrong types are reported below, like any other
        // invalid text.
    }
    return make_error(
        error_kind::invalid_input,
        "item piece: expected a JSON object with all fields and at least one "
        "event, found " +
            std::to_string(text.size()) + " bytes of other content");
}

} // namespace chicory::serving
