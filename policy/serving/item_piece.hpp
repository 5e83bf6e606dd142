#ifndef CHICORY_POLICY_SERVING_ITEM_PIECE_HPP
#define CHICORY_POLICY_SERVING_ITEM_PIECE_HPP

#include "core/core.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace chicory::serving
{

/// Whole events of an item's text in a row, as the store keeps them while the
/// item runs. Only the node that owns the job writes pieces.
struct item_piece
{
    /// Events of the item before the piece.
    std::int64_t first = 0;
    /// Digest of the text before the piece. A piece that follows another text,
    /// such as one that an earlier run went on with, does not belong to it.
    std::uint64_t digest_before = 0;
    /// Events of the piece, and the id of the last of them.
    std::int64_t events = 0;
    std::string last_id;
    /// Data of the events, joined by line feeds.
    std::string text;
    /// Time that runs of the item had taken at the end of the piece.
    duration worked = duration::zero();

    bool operator==(const item_piece&) const = default;
};

/// Encodes a piece.
std::string encode_piece(const item_piece& piece);

/// Decodes a piece. Error: invalid_input for a text that is no piece.
result<item_piece> decode_piece(std::string_view text);

} // namespace chicory::serving

#endif
