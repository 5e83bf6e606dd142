#include "policy/serving/serving.hpp"
#include "tests/support/mutate.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <random>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

/// Saves the unsaved events and returns the piece as decoded from its encoded
/// text, as the store does.
item_piece save_unsaved_events(item_progress& progress)
{
    const std::optional<item_piece> piece = progress.unsaved();
    EXPECT_TRUE(piece.has_value());
    progress.on_saved(*piece);
    return decode_piece(encode_piece(*piece)).value();
}

item_piece make_piece()
{
    item_piece piece;
    piece.first = 3;
    piece.digest_before = 0xfedcba9876543210;
    piece.events = 2;
    piece.last_id = "5";
    piece.text = "line\n\n\"quoted\" \xc3\xa9";
    piece.worked = 1500ms;
    return piece;
}

TEST(item_piece_test, decodes_what_was_encoded)
{
    const item_piece piece = make_piece();
    EXPECT_EQ(decode_piece(encode_piece(piece)).value(), piece);
}

TEST(item_piece_fuzz_test, a_damaged_piece_is_an_error_or_a_piece)
{
    const std::string valid = encode_piece(make_piece());
    std::mt19937_64 generator(20261204);
    const std::uint64_t rounds = testing_support::fuzz_rounds();
    for (std::uint64_t round = 0; round < rounds; ++round)
    {
        const result<item_piece> read =
            decode_piece(testing_support::mutate(valid, generator));
        if (read)
        {
            EXPECT_GE(read.value().first, 0);
            EXPECT_GT(read.value().events, 0);
        }
        else
        {
            EXPECT_EQ(read.error().kind, error_kind::invalid_input);
        }
    }
}

// Guards against text that is lost or repeated when all nodes lose power with
// items in progress.
TEST(item_progress_test, continues_from_saved_pieces)
{
    item_progress before;
    EXPECT_FALSE(before.unsaved());
    before.begin_run();
    EXPECT_TRUE(before.append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    const item_piece first = save_unsaved_events(before);
    EXPECT_FALSE(before.unsaved());
    EXPECT_TRUE(before.append("id: 3\ndata:\n\nid: 4\nda"));
    const item_piece second = save_unsaved_events(before);
    EXPECT_EQ(second.first, 2);
    EXPECT_EQ(second.events, 1);
    item_progress after;
    after.restore({first, second});
    EXPECT_EQ(after.text(), "a\nb\n");
    EXPECT_EQ(after.text(), before.text());
    EXPECT_EQ(after.events(), 3);
    EXPECT_EQ(after.last_event_id(), "3");
    EXPECT_FALSE(after.unsaved());
    after.begin_run();
    EXPECT_TRUE(after.append("id: 4\ndata: d\n\n"));
    EXPECT_EQ(after.text(), "a\nb\n\nd");
    EXPECT_EQ(save_unsaved_events(after).first, 3);
    EXPECT_EQ(after.saved_pieces(), (std::vector<std::int64_t>{0, 2, 3}));
}

// Guards against joining pieces of different texts. A write that was regarded
// as failed may take effect later and replace a longer piece.
TEST(item_progress_test, a_piece_of_another_text_is_ignored)
{
    item_progress one;
    one.begin_run();
    EXPECT_TRUE(one.append("id: 1\ndata: a\n\n"));
    const item_piece first = save_unsaved_events(one);
    item_progress other = one;
    EXPECT_TRUE(one.append("id: 2\ndata: b\n\n"));
    const item_piece second = save_unsaved_events(one);
    EXPECT_TRUE(one.append("id: 3\ndata: c\n\n"));
    const item_piece third = save_unsaved_events(one);
    EXPECT_TRUE(other.append("id: 2\ndata: x\n\n"));
    const item_piece replaced = save_unsaved_events(other);
    item_progress mixed;
    mixed.restore({first, replaced, third});
    EXPECT_EQ(mixed.text(), "a\nx");
    EXPECT_EQ(mixed.last_event_id(), "2");
    item_progress gap;
    gap.restore({first, third});
    EXPECT_EQ(gap.text(), "a");
    item_progress whole;
    whole.restore({first, second, third});
    EXPECT_EQ(whole.text(), "a\nb\nc");
}

TEST(item_progress_test, a_restarted_text_is_not_saved)
{
    item_progress progress;
    progress.begin_run();
    EXPECT_TRUE(progress.append("id: 1\ndata: a\n\n"));
    save_unsaved_events(progress);
    progress.restart();
    EXPECT_TRUE(progress.append("id: 1\ndata: b\n\n"));
    EXPECT_FALSE(progress.unsaved());
    EXPECT_EQ(progress.saved_pieces(), (std::vector<std::int64_t>{0}));
}

} // namespace

} // namespace chicory::serving
