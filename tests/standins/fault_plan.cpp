#include "tests/standins/fault_plan.hpp"

#include <cmath>
#include <optional>
#include <stdexcept>

namespace chicory::standin
{

namespace json = boost::json;

void fault_plan::set(const json::value& request)
{
    const json::object& fields = request.as_object();
    const std::string service =
        json::value_to<std::string>(fields.at("service"));
    const std::string mode = json::value_to<std::string>(fields.at("mode"));
    const std::optional<fault_mode> parsed_mode =
        find_value(fault_mode_names, mode);
    if (!parsed_mode)
    {
        throw std::invalid_argument("mode: unknown value " + mode);
    }
    entry added;
    added.fault.mode = *parsed_mode;
    if (const json::value* const delay = fields.if_contains("delay_ms"))
    {
        added.fault.delay =
            std::chrono::milliseconds(delay->to_number<std::int64_t>());
    }
    if (const json::value* const count = fields.if_contains("count"))
    {
        added.remaining_calls = count->to_number<std::int64_t>();
    }
    if (const json::value* const match = fields.if_contains("match"))
    {
        added.match = json::value_to<std::string>(*match);
    }
    this->entries[service] = added;
}

call_fault
fault_plan::next_fault(const std::string& service, const std::string& text)
{
    const auto found = this->entries.find(service);
    if (found == this->entries.end() ||
        text.find(found->second.match) == std::string::npos)
    {
        return call_fault{};
    }
    call_fault fault = found->second.fault;
    if (fault.mode == fault_mode::slow)
    {
        std::uniform_real_distribution<double> distribution(0.5, 1.5);
        const double drawn = static_cast<double>(fault.delay.count()) *
                             distribution(this->generator);
        fault.delay = std::chrono::milliseconds(std::llround(drawn));
    }
    if (found->second.remaining_calls > 0 &&
        --found->second.remaining_calls == 0)
    {
        this->entries.erase(found);
    }
    return fault;
}

} // namespace chicory::standin
