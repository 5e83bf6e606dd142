#include "policy/serving/job_record.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <set>
#include <utility>

namespace chicory::serving
{

namespace json = boost::json;

namespace
{

json::array to_json(const std::vector<std::int64_t>& numbers)
{
    json::array list;
    for (const std::int64_t number : numbers)
    {
        list.push_back(number);
    }
    return list;
}

std::string to_string(const json::value& source)
{
    return std::string(source.as_string());
}

listed_result read_listed(const json::value& source)
{
    const json::array& fields = source.as_array();
    listed_result listed;
    listed.item = fields.at(0).to_number<std::int64_t>();
    listed.state = fields.at(1).to_number<std::int64_t>() == 0
                       ? item_state::completed
                       : item_state::errored;
    listed.text_records = fields.at(2).to_number<std::int64_t>();
    return listed;
}

job_record read_job(const json::object& fields)
{
    job_record job;
    job.route = to_string(fields.at("route"));
    if (const json::value* name = fields.if_contains("organisation"))
    {
        job.organisation = to_string(*name);
    }
    job.owner = to_string(fields.at("owner"));
    job.owner_incarnation =
        fields.at("owner_incarnation").to_number<std::uint64_t>();
    job.accepted_ms = fields.at("accepted_ms").to_number<std::int64_t>();
    job.body_records = fields.at("body_records").to_number<std::int64_t>();
    job.ended = fields.at("ended").as_bool();
    for (const json::value& count : fields.at("tokens").as_array())
    {
        job.tokens.push_back(count.to_number<std::int64_t>());
    }
    for (const json::value& entry : fields.at("listed").as_array())
    {
        job.listed.push_back(read_listed(entry));
    }
    for (const json::value& entry : fields.at("failures").as_array())
    {
        const json::array& counts = entry.as_array();
        job.failures[counts.at(0).to_number<std::int64_t>()] = {
            counts.at(1).to_number<std::int64_t>(),
            counts.at(2).to_number<std::int64_t>()};
    }
    return job;
}

/// Returns whether each result belongs to an item of the job, and to a
/// different one than all other results.
bool is_consistent(const job_record& job)
{
    std::set<std::int64_t> seen;
    const std::int64_t total = static_cast<std::int64_t>(job.tokens.size());
    return std::all_of(
        job.listed.begin(),
        job.listed.end(),
        [&](const listed_result& entry)
        {
            return entry.item >= 0 && entry.item < total &&
                   seen.insert(entry.item).second;
        });
}

} // namespace

std::string encode_job(const job_record& job)
{
    json::array listed;
    for (const listed_result& entry : job.listed)
    {
        listed.push_back(json::array{
            entry.item,
            entry.state == item_state::completed ? 0 : 1,
            entry.text_records});
    }
    json::array failures;
    for (const auto& [item, counts] : job.failures)
    {
        failures.push_back(json::array{item, counts.failed, counts.impossible});
    }
    json::object fields{
        {"route", job.route},
        {"owner", job.owner},
        {"owner_incarnation", job.owner_incarnation},
        {"accepted_ms", job.accepted_ms},
        {"body_records", job.body_records},
        {"ended", job.ended},
        {"tokens", to_json(job.tokens)},
        {"listed", std::move(listed)},
        {"failures", std::move(failures)}};
    // Left out where there are no organisations, so that the record stays as
    // earlier versions wrote it.
    if (!job.organisation.empty())
    {
        fields["organisation"] = job.organisation;
    }
    return json::serialize(fields);
}

result<job_record>
decode_job(std::string_view id, std::string_view text, std::int64_t version)
{
    boost::system::error_code code;
    const json::value parsed =
        json::parse(boost::core::string_view(text.data(), text.size()), code);
    try
    {
        job_record job = read_job(parsed.as_object());
        job.id = id;
        job.version = version;
        if (is_consistent(job))
        {
            return job;
        }
    }
    catch (const std::exception&)
    {
        // Missing fields and wrong types are reported below, like any other
        // invalid text.
    }
    return make_error(
        error_kind::invalid_input,
        "job " + std::string(id) +
            ": expected a job record that lists each item at most once, "
            "found " +
            std::to_string(text.size()) + " bytes of other content");
}

duration
job_age(const job_record& job, std::optional<std::int64_t> store_now_ms)
{
    if (!store_now_ms || job.accepted_ms <= 0)
    {
        return duration::zero();
    }
    return std::chrono::milliseconds(
        std::max<std::int64_t>(0, *store_now_ms - job.accepted_ms));
}

bool may_forget(
    const job_record& job,
    std::optional<std::int64_t> store_now_ms,
    duration lifetime)
{
    return !is_open(job) && job_age(job, store_now_ms) > lifetime;
}

bool is_open(const job_record& job)
{
    return !job.ended && job.listed.size() < job.tokens.size();
}

bool is_listed(const job_record& job, std::int64_t item)
{
    return std::any_of(
        job.listed.begin(),
        job.listed.end(),
        [item](const listed_result& entry)
        {
            return entry.item == item;
        });
}

std::vector<std::int64_t> unlisted_items(const job_record& job)
{
    std::set<std::int64_t> listed;
    for (const listed_result& entry : job.listed)
    {
        listed.insert(entry.item);
    }
    std::vector<std::int64_t> waiting;
    for (std::size_t item = 0; item < job.tokens.size(); ++item)
    {
        if (!listed.contains(static_cast<std::int64_t>(item)))
        {
            waiting.push_back(static_cast<std::int64_t>(item));
        }
    }
    return waiting;
}

std::int64_t waiting_tokens(const job_record& job)
{
    std::int64_t sum = 0;
    if (!job.ended)
    {
        for (const std::int64_t item : unlisted_items(job))
        {
            sum += job.tokens[static_cast<std::size_t>(item)];
        }
    }
    return sum;
}

} // namespace chicory::serving
