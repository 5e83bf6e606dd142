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

/// Text of one item over all its runs. A run that ends early leaves the whole
/// events so far, and the next one goes on behind the last of them. Answers
/// the load patterns of online bursts that interrupt items again and again,
/// and of nodes that are lost, all at once too: what was saved goes on.
class item_progress
{
public:
    /// Goes on from pieces that were saved; those that do not follow the text
    /// before them are left out.
    void restore(const std::vector<item_piece>& saved);

    /// Begins a run; bytes of an unfinished event are dropped.
    void begin_run();

    /// Forgets the text, so that the next run begins with the first event. No
    /// further piece is made, for those that were saved stay.
    void restart();

    /// Returns the events that were not saved yet; nothing when there are none.
    std::optional<item_piece> unsaved() const;

    /// Takes that the store keeps a piece that `unsaved` returned.
    void on_saved(const item_piece& piece);

    /// Numbers of events before each piece that the store keeps, and before
    /// the next one.
    const std::vector<std::int64_t>& saved_pieces() const;
    std::int64_t next_piece() const;

    /// Takes bytes of the run. Returns false when an event does not follow
    /// the one before; the run must end then, and nothing of it is taken
    /// from that event on.
    bool append(std::string_view bytes);

    /// Returns whether the run may end here: no event is unfinished.
    bool is_whole() const;

    /// Bytes of an event that is not whole yet.
    std::size_t unfinished_bytes() const;

    /// Id of the last event taken; empty before the first.
    const std::string& last_event_id() const;

    /// Data of all events, joined by line feeds.
    const std::string& text() const;

    std::int64_t events() const;

private:
    event_splitter splitter;
    std::string joined;
    std::string last_id;
    std::int64_t count = 0;
    std::vector<std::int64_t> saved;
    std::int64_t saved_events = 0;
    std::size_t saved_bytes = 0;
    bool may_save = true;
};

/// What is to be done with an item after a run that failed.
enum class failure_decision
{
    run_again,
    give_up,
};

/// Judges an item by the failures of all its runs on all nodes.
failure_decision
judge_failures(const item_failures& failures, std::int64_t max_attempts);

} // namespace chicory::serving

#endif
