#include "servers/node/node_memory.hpp"

#include <charconv>
#include <string>
#include <system_error>
#include <utility>

namespace chicory::node
{

body_lease::body_lease(std::shared_ptr<node_memory> source)
    : memory(std::move(source))
{
}

body_lease::body_lease(body_lease&& other) noexcept
    : memory(std::move(other.memory)), held(std::exchange(other.held, 0))
{
}

body_lease::~body_lease()
{
    // Null after a move; then nothing is held.
    if (this->memory != nullptr)
    {
        this->memory->budget.release_body(this->held);
    }
}

bool body_lease::add(std::size_t bytes)
{
    if (!this->memory->budget.reserve_body(bytes))
    {
        return false;
    }
    this->held += bytes;
    return true;
}

void body_lease::release_body()
{
    if (this->held > serving::request_overhead)
    {
        this->memory->budget.release_body(
            this->held - serving::request_overhead);
        this->held = serving::request_overhead;
    }
}

unread_lease::unread_lease(std::shared_ptr<node_memory> source)
    : memory(std::move(source))
{
}

unread_lease::~unread_lease()
{
    this->set(0);
}

void unread_lease::set(std::size_t bytes)
{
    if (bytes == this->held)
    {
        return;
    }
    const bool had_capacity = this->memory->budget.has_response_capacity();
    this->memory->budget.change_unread(this->held, bytes);
    this->held = bytes;
    if (!had_capacity && this->memory->budget.has_response_capacity())
    {
        for (boost::asio::steady_timer* timer : this->memory->paused)
        {
            timer->cancel();
        }
    }
}

pause_entry::pause_entry(
    std::shared_ptr<node_memory> source, boost::asio::steady_timer& timer)
    : memory(std::move(source)), waiting(timer)
{
    this->memory->paused.insert(&timer);
}

pause_entry::~pause_entry()
{
    this->memory->paused.erase(&this->waiting);
}

std::size_t find_declared_length(const net::http_request& head)
{
    const auto found = head.headers.find("content-length");
    if (found == head.headers.end())
    {
        return 0;
    }
    const std::string& text = found->second;
    std::size_t length = 0;
    const auto [rest, code] =
        std::from_chars(text.data(), text.data() + text.size(), length);
    return code == std::errc() ? length : 0;
}

} // namespace chicory::node
