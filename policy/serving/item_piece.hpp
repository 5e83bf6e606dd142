#ifndef CHICORY_POLICY_SERVING_ITEM_PIECE_HPP
#define CHICORY_POLICY_SERVING_ITEM_PIECE_HPP

#include "core/core.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace chicory::serving
{

/// A sequence of complete events of an item's text, as saved in the store while
/// the item runs. Only the node that owns the job writes pieces.
struct item_piece
{
    /// Number of the item's events before this piece.
    std::int64_t first = 0;
    /// Digest of the text before this piece. A piece with another digest was
    /// written by a different run and does not continue the text.
    std::uint64_t digest_before = 0;
    /// Number of events in the piece, and the id of the last one.
    std::int64_t events = 0;
    std::string last_id;
    /// Data of the events, joined by line feeds.
    std::string text;
    /// Total duration of the item's runs at the end of the piece.
    duration worked = duration::zero();

    bool operator==(const item_piece&) const = default;
};

/// Encodes a piece as JSON text.
std::string encode_piece(const item_piece& piece);

/// Decodes a piece. Error: invalid_input if the text is not a valid piece.
result<item_piece> decode_piece(std::string_view text);

} // namespace chicory::serving

#endif
