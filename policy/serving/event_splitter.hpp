#ifndef CHICORY_POLICY_SERVING_EVENT_SPLITTER_HPP
#define CHICORY_POLICY_SERVING_EVENT_SPLITTER_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::serving
{

/// One whole event of a stream.
struct stream_event
{
    /// Text of its id line; empty when it has none.
    std::string id;
    /// Its data lines, joined by line feeds.
    std::string data;
};

/// Cuts a stream of events after whole events, so that a stream that breaks
/// within one can go on elsewhere without a gap.
class event_splitter
{
public:
    /// Takes bytes as they arrive and returns the part that ends with a whole
    /// event; the rest is kept for later.
    std::string cut(std::string_view bytes);

    /// Like `cut`, and notes the ids of the whole events.
    std::string cut_and_track_id(std::string_view bytes);

    /// Id of the last whole event that `cut_and_track_id` saw; empty before the
    /// first with an id.
    const std::string& last_id() const;

    /// Bytes of an event that is not whole yet.
    std::size_t unfinished_bytes() const;

    /// Drops the bytes of an event that is not whole.
    void drop_unfinished();

private:
    std::string buffer;
    std::string tracked_id;
};

/// Reads whole events.
std::vector<stream_event> read_events(std::string_view whole);

} // namespace chicory::serving

#endif
