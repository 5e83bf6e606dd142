#ifndef CHICORY_POLICY_SERVING_ITEM_PROGRESS_HPP
#define CHICORY_POLICY_SERVING_ITEM_PROGRESS_HPP

#include "policy/serving/event_splitter.hpp"
#include "policy/serving/job_record.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace chicory::serving
{

/// Text of one item over all its runs. A run that ends early leaves the whole
/// events so far, and the next one goes on behind the last of them. Answers
/// the load pattern of online bursts that interrupt items again and again.
class item_progress
{
public:
    /// Begins a run; bytes of an unfinished event are dropped.
    void begin_run();

    /// Forgets the text, so that the next run begins with the first event.
    void restart();

    /// Takes bytes of the run. Returns false when an event does not follow
    /// the one before; the run must end then, and nothing of it is taken
    /// from that event on.
    bool take(std::string_view bytes);

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
};

/// What is to be done with an item after a run that failed.
enum class failure_verdict
{
    run_again,
    give_up,
};

/// Judges an item by the failures of all its runs on all nodes.
failure_verdict
judge_failures(const item_failures& failures, std::int64_t max_attempts);

} // namespace chicory::serving

#endif
