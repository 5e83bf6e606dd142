#ifndef CHICORY_POLICY_SERVING_ITEM_PROGRESS_HPP
#define CHICORY_POLICY_SERVING_ITEM_PROGRESS_HPP

#include "policy/serving/event_splitter.hpp"
#include "policy/serving/item_piece.hpp"
#include "policy/serving/job_record.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::serving
{

/// Text of one item, accumulated over all its runs. A run that ends early
/// contributes its complete events, and the next run continues after the last
/// of them. Designed for bursts of online requests that repeatedly interrupt
/// items, and for nodes that fail, possibly all of them: an item continues from
/// its saved pieces.
class item_progress
{
public:
    /// Restores the text from saved pieces. Pieces that do not continue the
    /// text before them are ignored.
    void restore(const std::vector<item_piece>& saved);

    /// Begins a run and discards the bytes of an incomplete event.
    void begin_run();

    /// Clears the text, so that the next run begins with the first event. No
    /// further pieces are created, because the pieces saved before remain in
    /// the store.
    void restart();

    /// Returns the events that have not been saved yet, or nothing if all are
    /// saved.
    std::optional<item_piece> unsaved() const;

    /// Records that a piece returned by `unsaved` is in the store.
    void on_saved(const item_piece& piece);

    /// Returns the positions of all pieces in the store. The position of a
    /// piece is the number of events before it.
    const std::vector<std::int64_t>& saved_pieces() const;
    /// Returns the position of the next piece.
    std::int64_t next_piece() const;

    /// Appends bytes of the run. Returns false if an event does not follow the
    /// previous one. That event and all later ones are discarded, and the run
    /// must end.
    bool append(std::string_view bytes);

    /// Returns whether the text is whole if the run ends here: the run returned
    /// events, and none is incomplete.
    bool is_whole() const;

    /// Returns the number of bytes of an incomplete event.
    std::size_t unfinished_bytes() const;

    /// Returns the id of the last event; empty if there is none.
    const std::string& last_event_id() const;

    /// Returns the data of all events, joined by line feeds.
    const std::string& text() const;

    /// Returns the number of events.
    std::int64_t events() const;

private:
    event_splitter splitter;
    std::string joined;
    std::string last_id;
    std::int64_t count = 0;
    /// Number of events before the current run.
    std::int64_t run_start = 0;
    std::vector<std::int64_t> saved;
    std::int64_t saved_events = 0;
    std::size_t saved_bytes = 0;
    bool may_save = true;
};

/// What to do with an item after a failed run.
enum class failure_decision
{
    run_again,
    give_up,
};

/// Decides whether an item runs again, given the failures of all its runs on
/// all nodes. An item is given up after `max_attempts` failed runs, or as soon
/// as a runner responded that the item can never be completed.
failure_decision
judge_failures(const item_failures& failures, std::int64_t max_attempts);

} // namespace chicory::serving

#endif
