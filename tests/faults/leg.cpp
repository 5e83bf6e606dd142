#include "tests/faults/leg.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace chicory::faults
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds release_check_interval(5);
constexpr double max_percent = 100.0;

} // namespace

leg::leg(leg_settings initial_settings, std::uint64_t seed)
    : own_settings(std::move(initial_settings)), generator(seed)
{
}

const leg_settings& leg::settings() const
{
    return this->own_settings;
}

void leg::set(const fault& applied)
{
    switch (applied.kind)
    {
    case fault_kind::delay:
        this->delay = applied;
        break;
    case fault_kind::loss:
        this->loss_percent = applied.percent;
        break;
    case fault_kind::reorder:
        this->reorder_percent = applied.percent;
        break;
    case fault_kind::refuse:
        this->refusing = true;
        break;
    case fault_kind::cut:
        this->cut = true;
        break;
    default:
        break;
    }
}

void leg::heal()
{
    this->delay = fault{};
    this->loss_percent = 0.0;
    this->reorder_percent = 0.0;
    this->refusing = false;
    this->cut = false;
    for (const std::shared_ptr<rule>& holding_rule : this->rules)
    {
        holding_rule->released = true;
    }
    this->rules.clear();
}

void leg::add_rule(std::shared_ptr<rule> added)
{
    this->rules.push_back(std::move(added));
}

std::vector<std::shared_ptr<rule>>
leg::match(direction flow, std::string& tail, const std::string& piece)
{
    std::vector<std::shared_ptr<rule>> matched;
    std::size_t max_text_size = 1;
    for (const std::shared_ptr<rule>& candidate : this->rules)
    {
        max_text_size = std::max(max_text_size, candidate->text.size());
        if (candidate->flow != flow || candidate->remaining_matches < 0)
        {
            continue;
        }
        const std::size_t overlap_size = std::min(
            tail.size(), std::max<std::size_t>(candidate->text.size(), 1) - 1);
        const std::string seen =
            tail.substr(tail.size() - overlap_size) + piece;
        if (seen.find(candidate->text) == std::string::npos)
        {
            continue;
        }
        ++candidate->hits;
        if (candidate->remaining_matches > 0 &&
            --candidate->remaining_matches == 0)
        {
            candidate->remaining_matches = -1;
        }
        matched.push_back(candidate);
    }
    tail += piece;
    tail.erase(0, tail.size() - std::min(tail.size(), max_text_size));
    return matched;
}

std::chrono::milliseconds leg::draw_delay()
{
    std::uniform_int_distribution<std::int64_t> distribution(
        0, this->delay.jitter.count());
    return this->delay.delay +
           std::chrono::milliseconds(distribution(this->generator));
}

bool leg::draw(double percent)
{
    std::uniform_real_distribution<double> distribution(0.0, max_percent);
    return distribution(this->generator) < percent;
}

bool leg::draw_loss()
{
    return this->draw(this->loss_percent);
}

bool leg::draw_reorder()
{
    return this->draw(this->reorder_percent);
}

bool leg::is_refusing() const
{
    return this->refusing;
}

bool leg::is_cut() const
{
    return this->cut;
}

asio::awaitable<void> wait(std::chrono::milliseconds length)
{
    if (length.count() == 0)
    {
        co_return;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(length);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> wait_for_release(std::shared_ptr<rule> holding_rule)
{
    while (!holding_rule->released)
    {
        co_await wait(release_check_interval);
    }
}

} // namespace chicory::faults
