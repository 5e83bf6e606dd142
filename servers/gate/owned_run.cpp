#include "servers/gate/owned_run.hpp"

#include <algorithm>
#include <utility>

namespace chicory::gate
{

owned_run::owned_run(
    wire::dispatch source, net::endpoint runner, reply_hook hook)
    : request(std::move(source)), server(std::move(runner)),
      id(make_id(this->request.request_id, this->request.attempt)),
      reply(std::move(hook))
{
}

std::string
owned_run::make_id(const std::string& request_id, std::uint32_t attempt)
{
    return request_id + "-" + std::to_string(attempt);
}

void owned_run::set_first_offset(std::uint64_t offset)
{
    this->first_offset = offset;
}

void owned_run::send_head(std::int32_t status, std::string content_type)
{
    this->head_sent = true;
    this->head.request_id = this->request.request_id;
    this->head.attempt = this->request.attempt;
    this->head.status = status;
    this->head.content_type = std::move(content_type);
    this->reply(this->head);
}

void owned_run::send_bytes(std::string bytes)
{
    wire::response_frame frame;
    frame.request_id = this->request.request_id;
    frame.attempt = this->request.attempt;
    frame.offset = this->offset();
    this->body += bytes;
    frame.bytes = std::move(bytes);
    this->reply(std::move(frame));
}

void owned_run::send_end()
{
    this->end_sent = true;
    wire::response_end end;
    end.request_id = this->request.request_id;
    end.attempt = this->request.attempt;
    end.length = this->offset();
    this->reply(end);
}

void owned_run::send_failure(
    wire::attempt_outcome outcome, reason why, duration retry_after)
{
    wire::response_failed failure;
    failure.request_id = this->request.request_id;
    failure.attempt = this->request.attempt;
    failure.outcome = outcome;
    failure.reason = std::string(name_of(why));
    failure.retry_after_ms = retry_after.count() / 1000;
    this->reply(std::move(failure));
}

void owned_run::resume(std::uint64_t offset, reply_hook new_reply)
{
    this->reply = std::move(new_reply);
    if (!this->head_sent)
    {
        return;
    }
    this->reply(this->head);
    const std::uint64_t from =
        std::clamp(offset, this->first_offset, this->offset());
    if (from < this->offset())
    {
        wire::response_frame frame;
        frame.request_id = this->request.request_id;
        frame.attempt = this->request.attempt;
        frame.offset = from;
        frame.bytes = this->body.substr(from - this->first_offset);
        this->reply(std::move(frame));
    }
    if (this->end_sent)
    {
        this->send_end();
    }
}

std::uint64_t owned_run::offset() const
{
    return this->first_offset + this->body.size();
}

} // namespace chicory::gate
