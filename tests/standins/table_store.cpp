#include "tests/standins/table_store.hpp"

#include "core/core.hpp"

#include <utility>

namespace chicory::standin
{

namespace json = boost::json;

namespace
{

const json::array& find_array(const json::value& request, const char* name)
{
    static const json::array none;
    const json::value* const found = request.as_object().if_contains(name);
    return found == nullptr ? none : found->as_array();
}

std::string get_text(const json::value& source, const char* name)
{
    return json::value_to<std::string>(source.at(name));
}

} // namespace

json::object table_store::to_json(const std::string& key) const
{
    const auto found = this->rows.find(key);
    json::object fields;
    fields["key"] = key;
    if (found == this->rows.end())
    {
        fields["value"] = nullptr;
        fields["version"] = 0;
        return fields;
    }
    fields["value"] = found->second.value;
    fields["version"] = found->second.version;
    return fields;
}

json::value table_store::read(const json::value& request)
{
    ++this->reads;
    const std::string key = get_text(request, "key");
    if (this->rows.count(key) == 0)
    {
        return nullptr;
    }
    return this->to_json(key);
}

json::object table_store::scan(const json::value& request)
{
    ++this->reads;
    const std::string prefix = get_text(request, "prefix");
    const std::string after = get_text(request, "after");
    const std::int64_t limit = request.at("limit").to_number<std::int64_t>();
    json::array found;
    auto position = after < prefix ? this->rows.lower_bound(prefix)
                                   : this->rows.upper_bound(after);
    while (position != this->rows.end() &&
           position->first.starts_with(prefix) &&
           std::cmp_less(found.size(), limit))
    {
        found.push_back(this->to_json(position->first));
        ++position;
    }
    return json::object{{"rows", std::move(found)}};
}

json::array table_store::find_conflicts(const json::array& conditions)
{
    json::array conflicts;
    for (const json::value& condition : conditions)
    {
        json::object current = this->to_json(get_text(condition, "key"));
        if (current.at("version").as_int64() !=
            condition.at("version").to_number<std::int64_t>())
        {
            conflicts.push_back(std::move(current));
        }
    }
    return conflicts;
}

json::array table_store::write(const json::array& rows_to_write)
{
    json::array versions;
    for (const json::value& change : rows_to_write)
    {
        const std::string key = get_text(change, "key");
        ++this->writes;
        ++this->last_version;
        versions.push_back(this->last_version);
        const json::value* const value =
            change.as_object().if_contains("value");
        if (value == nullptr || value->is_null())
        {
            this->rows.erase(key);
            continue;
        }
        this->rows[key] =
            row{json::value_to<std::string>(*value), this->last_version};
    }
    return versions;
}

json::object table_store::transact(const json::value& request)
{
    const json::array& changes = find_array(request, "writes");
    json::array conflicts =
        this->find_conflicts(find_array(request, "conditions"));
    const bool committed = conflicts.empty();
    json::object outcome;
    outcome["committed"] = committed;
    outcome["versions"] = committed ? this->write(changes) : json::array();
    outcome["conflicts"] = std::move(conflicts);
    json::object entry;
    entry["at_ms"] = read_wall_clock_ms();
    entry["committed"] = committed;
    entry["versions"] = outcome["versions"];
    entry["conditions"] = find_array(request, "conditions");
    entry["writes"] = changes;
    this->transactions.push_back(std::move(entry));
    return outcome;
}

json::object table_store::log() const
{
    return json::object{
        {"transactions", this->transactions},
        {"reads", this->reads},
        {"writes", this->writes}};
}

} // namespace chicory::standin
