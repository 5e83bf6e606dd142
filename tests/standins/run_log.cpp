#include "tests/standins/run_log.hpp"

#include "core/core.hpp"

#include <utility>

namespace chicory::standin
{

namespace json = boost::json;

namespace
{

/// Returns the field `custom_id` of a request body or of its `metadata`, or an
/// empty string if there is none.
std::string find_custom_id(const std::string& body)
{
    boost::system::error_code failed;
    json::value parsed = json::parse(body, failed);
    for (const char* const path : {"/custom_id", "/metadata/custom_id"})
    {
        boost::system::error_code missing;
        const json::value* const found = parsed.find_pointer(path, missing);
        if (found != nullptr && found->is_string())
        {
            return json::value_to<std::string>(*found);
        }
    }
    return {};
}

} // namespace

run_log::run_log(const std::string& file_name)
{
    if (!file_name.empty())
    {
        this->file.open(file_name, std::ios::app);
    }
}

std::size_t run_log::add_run(
    const std::string& run_id, const std::string& path, const std::string& body)
{
    json::object entry;
    entry["run_id"] = run_id;
    entry["path"] = path;
    entry["body_sha256"] = sha256_hex(body);
    entry["custom_id"] = find_custom_id(body);
    entry["outcome"] = "running";
    entry["started_ms"] = read_wall_clock_ms();
    entry["ended_ms"] = 0;
    this->append("started", entry);
    this->runs.push_back(std::move(entry));
    return this->runs.size() - 1;
}

void run_log::end_run(std::size_t index, const std::string& outcome)
{
    json::object& entry = this->runs[index].as_object();
    entry["outcome"] = outcome;
    entry["ended_ms"] = read_wall_clock_ms();
    this->append("ended", entry);
}

void run_log::add_refusal(const std::string& run_id, const std::string& body)
{
    json::object entry;
    entry["run_id"] = run_id;
    entry["custom_id"] = find_custom_id(body);
    entry["outcome"] = "refused";
    entry["started_ms"] = read_wall_clock_ms();
    entry["ended_ms"] = entry["started_ms"];
    this->append("refused", entry);
    this->refusals.push_back(std::move(entry));
}

void run_log::add_order(const json::value& order, bool accepted)
{
    json::object entry = order.as_object();
    entry["taken"] = accepted;
    entry["at_ms"] = read_wall_clock_ms();
    this->append("order", entry);
    this->orders.push_back(std::move(entry));
}

json::object run_log::to_json() const
{
    return json::object{
        {"runs", this->runs},
        {"refusals", this->refusals},
        {"orders", this->orders}};
}

void run_log::append(const std::string& event, json::object fields)
{
    if (!this->file.is_open())
    {
        return;
    }
    fields["event"] = event;
    this->file << json::serialize(fields) << std::endl;
}

} // namespace chicory::standin
