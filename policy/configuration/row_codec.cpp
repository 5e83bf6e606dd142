#include "policy/configuration/row_codec.hpp"

#include "policy/configuration/json_fields.hpp"
#include "policy/configuration/row_keys.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace chicory::configuration
{

namespace json = boost::json;

namespace
{

/// Maximum length, in bytes, of a found value in an error text.
constexpr std::size_t max_found_length = 200;

/// Visits all fields of a route except its name and revision. Encoding and
/// decoding share this list.
template <class Visitor, class Route>
void visit_route(Visitor& visit, Route& value)
{
    visit("member", value.member);
    visit("pool", value.pool);
    visit("key_digests", value.key_digests);
    visit("max_in_progress", value.max_in_progress);
    visit("default_deadline_ms", value.default_deadline_ms);
    visit("retry_budget_percent", value.retry_budget_percent);
}

/// Visits all fields of a pool except its name and revision. Encoding and
/// decoding share this list.
template <class Visitor, class Pool>
void visit_pool(Visitor& visit, Pool& value)
{
    visit("service", value.service);
    visit("kind", value.kind);
    visit("slots_per_runner", value.slots_per_runner);
    visit("harm_weight", value.harm_weight);
    visit("wanted_models", value.wanted_models);
    visit("wanted_versions", value.wanted_versions);
    visit("wanted_adapters", value.wanted_adapters);
    visit("wanted_roles", value.wanted_roles);
    visit("engines_check_fencing", value.engines_check_fencing);
}

/// Writes the visited fields into a JSON object.
class field_writer
{
public:
    explicit field_writer(std::string_view name)
    {
        this->fields["name"] = name;
    }

    template <class Value>
    void operator()(std::string_view field, const Value& value)
    {
        this->fields[field] = json::value_from(value);
    }

    void operator()(std::string_view field, const pool_kind& value)
    {
        this->fields[field] = find_name(pool_kind_names, value);
    }

    void operator()(
        std::string_view field,
        const std::map<runner_role, std::int64_t>& value)
    {
        json::object counts;
        for (const auto& [role, runners] : value)
        {
            counts[find_name(runner_role_names, role)] = runners;
        }
        this->fields[field] = std::move(counts);
    }

    std::string text() const
    {
        return json::serialize(this->fields);
    }

private:
    json::object fields;
};

/// Reads the visited fields and records their names.
class field_reader
{
public:
    field_reader(std::string_view key, std::string_view text)
        : fields(key, text)
    {
    }

    /// Checks that the name in the text, if present, matches the name in the
    /// key.
    void check_name(const std::string& name)
    {
        std::string found = name;
        (*this)("name", found);
        if (found != name)
        {
            this->fields.fail("name", "\"" + name + "\", as in the key", found);
        }
    }

    template <class Value>
    void operator()(std::string_view field, Value& target)
    {
        this->names.push_back(field);
        this->fields.read(field, target);
    }

    void operator()(std::string_view field, pool_kind& target)
    {
        std::string name(find_name(pool_kind_names, target));
        (*this)(field, name);
        const std::optional<pool_kind> kind = find_value(pool_kind_names, name);
        if (!kind)
        {
            this->fields.fail(field, "model_engine or plain_service", name);
        }
        target = kind.value_or(target);
    }

    void operator()(
        std::string_view field, std::map<runner_role, std::int64_t>& target)
    {
        std::map<std::string, std::int64_t> counts;
        (*this)(field, counts);
        for (const auto& [name, runners] : counts)
        {
            const std::optional<runner_role> role =
                find_value(runner_role_names, name);
            if (!role)
            {
                this->fields.fail(field, "mixed, prefill or decode", name);
                return;
            }
            target[*role] = runners;
        }
    }

    /// Returns success or the first error. A field that was not visited is an
    /// error.
    result<void> finish()
    {
        this->fields.allow_only(this->names);
        return this->fields.finish();
    }

private:
    json_fields fields;
    std::vector<std::string_view> names;
};

} // namespace

error make_field_error(
    std::string_view key,
    std::string_view field,
    std::string_view expected,
    std::string_view found)
{
    std::string text = "row ";
    text.append(key).append(", field ").append(field);
    text.append(": expected ").append(expected);
    text.append(", found ").append(found.substr(0, max_found_length));
    return make_error(error_kind::invalid_input, std::move(text));
}

std::string encode_route(const route& value)
{
    field_writer writer(value.name);
    visit_route(writer, value);
    return writer.text();
}

result<route> decode_route(
    std::string_view name, std::string_view text, std::int64_t row_version)
{
    route value;
    value.name = name;
    value.revision = row_version;
    field_reader reader(route_key(name), text);
    reader.check_name(value.name);
    visit_route(reader, value);
    BOOST_OUTCOME_TRY(reader.finish());
    return value;
}

std::string encode_pool(const pool& value)
{
    field_writer writer(value.name);
    visit_pool(writer, value);
    return writer.text();
}

result<pool> decode_pool(
    std::string_view name, std::string_view text, std::int64_t row_version)
{
    pool value;
    value.name = name;
    value.revision = row_version;
    field_reader reader(pool_key(name), text);
    reader.check_name(value.name);
    visit_pool(reader, value);
    BOOST_OUTCOME_TRY(reader.finish());
    return value;
}

std::string encode_revision(const revision_row& value)
{
    json::object fields;
    fields["revision"] = value.revision;
    fields["operation_id"] = value.operation_id;
    return json::serialize(fields);
}

result<revision_row>
decode_revision(std::string_view text, std::int64_t row_version)
{
    revision_row value;
    value.row_version = row_version;
    json_fields fields(revision_key, text);
    fields.read("revision", value.revision);
    fields.read("operation_id", value.operation_id);
    if (value.revision <= 0)
    {
        fields.fail(
            "revision", "a number above 0", std::to_string(value.revision));
    }
    BOOST_OUTCOME_TRY(fields.finish());
    return value;
}

} // namespace chicory::configuration
