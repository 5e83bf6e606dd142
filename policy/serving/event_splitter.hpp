#ifndef CHICORY_POLICY_SERVING_EVENT_SPLITTER_HPP
#define CHICORY_POLICY_SERVING_EVENT_SPLITTER_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::serving
{

/// A complete event of an event stream.
struct stream_event
{
    /// Value of the id line; empty if there is none.
    std::string id;
    /// Values of the data lines, joined by line feeds.
    std::string data;
};

/// Splits an event stream at event boundaries, so that a stream that breaks
/// within an event can be resumed from another runner without a gap.
class event_splitter
{
public:
    /// Appends received bytes and returns all complete events so far. The rest
    /// is buffered.
    std::string cut(std::string_view bytes);

    /// Begins a run that continues after the last recorded event. Bytes of an
    /// incomplete event of the previous run are discarded.
    void begin_run();

    /// Works like `cut` and also records the ids of the complete events.
    /// Returns nothing if the first event of a run does not follow the last one
    /// of the runs before, because a runner may begin anew or skip events, or
    /// if an id holds control characters, because it is sent in a header when
    /// the run is resumed.
    std::optional<std::string> cut_and_track_id(std::string_view bytes);

    /// Returns the id of the last complete event that `cut_and_track_id`
    /// returned; empty if no event had an id yet.
    const std::string& last_id() const;

    /// Returns whether the run returned an event. Comments are no events.
    bool run_has_event() const;

    /// Returns the number of buffered bytes, which belong to an incomplete
    /// event.
    std::size_t unfinished_bytes() const;

    /// Discards the bytes of an incomplete event.
    void drop_unfinished();

private:
    std::string buffer;
    std::string tracked_id;
    /// True until the first event of a run.
    bool is_run_start = true;
};

/// Returns whether an event may follow another one, by their ids. Ids are
/// consecutive numbers; the first event of a text may have any number.
bool may_follow(const std::string& previous_id, const std::string& next_id);

/// Parses complete events.
std::vector<stream_event> read_events(std::string_view whole);

} // namespace chicory::serving

#endif
