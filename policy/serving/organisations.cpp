#include "policy/serving/organisations.hpp"

#include <openssl/sha.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <unordered_map>
#include <utility>

namespace chicory::serving
{

namespace
{

/// Owner of a key that entries of several names contain.
constexpr std::size_t no_owner = static_cast<std::size_t>(-1);

struct hash_digest
{
    std::size_t operator()(const key_digest& digest) const
    {
        std::size_t value = 0;
        std::memcpy(&value, digest.data(), sizeof(value));
        return value;
    }
};

/// Returns whether a name can be sent as the value of a header: it is not
/// empty, not too long, and has no control characters and no outer spaces.
bool is_valid_organisation_name(std::string_view name)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char control_delete = 0x7f;
    return !name.empty() && name.size() <= max_organisation_name_bytes &&
           name.front() != ' ' && name.back() != ' ' &&
           std::all_of(
               name.begin(),
               name.end(),
               [](unsigned char letter)
               {
                   return letter >= first_printable && letter != control_delete;
               });
}

bool is_valid_limit(double value)
{
    return std::isfinite(value) && value >= 0;
}

} // namespace

struct organisation_directory::contents
{
    std::vector<organisation> entries;
    /// Index in `entries` by key digest, or `no_owner`.
    std::unordered_map<key_digest, std::size_t, hash_digest> by_key;
    /// Index in `entries` by name. The keys refer to the names in `entries`,
    /// which do not move after construction.
    std::unordered_map<std::string_view, std::size_t> by_name;
    std::vector<std::string> problems;

    void add_problem(std::string text)
    {
        if (this->problems.size() < max_problems)
        {
            this->problems.push_back(std::move(text));
        }
    }

    /// Assigns the keys of an entry to `owner`; `no_owner` if the entry is
    /// invalid.
    void add_keys(const organisation& entry, std::size_t owner)
    {
        for (const key_digest& digest : entry.keys)
        {
            const auto [found, is_new] = this->by_key.emplace(digest, owner);
            if (!is_new && found->second != owner)
            {
                found->second = no_owner;
                this->add_problem(
                    "key " + abbreviate(digest) +
                    ": expected one organisation, found several");
            }
        }
    }
};

std::optional<key_digest> digest_key(std::string_view key)
{
    if (key.empty() || key.size() > max_key_bytes)
    {
        return std::nullopt;
    }
    key_digest digest{};
    static_assert(std::tuple_size_v<key_digest> == SHA256_DIGEST_LENGTH);
    // The one-shot function avoids the look-up of the algorithm that EVP makes
    // on each call, since a configuration may have tens of thousands of keys.
    SHA256(
        reinterpret_cast<const unsigned char*>(key.data()),
        key.size(),
        digest.data());
    return digest;
}

std::string abbreviate(const key_digest& digest)
{
    constexpr std::size_t shown_bytes = 6;
    constexpr std::string_view alphabet = "0123456789abcdef";
    std::string text;
    for (std::size_t at = 0; at < shown_bytes; ++at)
    {
        text.push_back(alphabet[digest.at(at) >> 4U]);
        text.push_back(alphabet[digest.at(at) & 0xFU]);
    }
    return text;
}

organisation_directory::organisation_directory(
    std::vector<organisation> entries)
{
    const auto made = std::make_shared<contents>();
    // Reserved, because the names that `by_name` refers to must not move.
    made->entries.reserve(entries.size());
    made->by_name.reserve(entries.size());
    for (organisation& entry : entries)
    {
        if (!is_valid_organisation_name(entry.name))
        {
            made->add_problem(
                "organisation: expected a name of 1 to " +
                std::to_string(max_organisation_name_bytes) +
                " printable characters, found " +
                std::to_string(entry.name.size()) + " bytes");
            made->add_keys(entry, no_owner);
            continue;
        }
        if (const auto earlier = made->by_name.find(entry.name);
            earlier != made->by_name.end())
        {
            made->add_problem(
                "organisation " + entry.name +
                ": expected a unique name, found it again");
            for (const key_digest& digest : entry.keys)
            {
                const auto known = made->by_key.find(digest);
                if (known == made->by_key.end() ||
                    known->second != earlier->second)
                {
                    made->by_key[digest] = no_owner;
                }
            }
            continue;
        }
        if (!is_valid_limit(entry.rate_per_s) || !is_valid_limit(entry.burst))
        {
            made->add_problem(
                "organisation " + entry.name +
                ": expected a rate and a burst of at least 0");
            entry.rate_per_s =
                is_valid_limit(entry.rate_per_s) ? entry.rate_per_s : 0;
            entry.burst = is_valid_limit(entry.burst) ? entry.burst : 0;
        }
        made->entries.push_back(std::move(entry));
        const std::size_t index = made->entries.size() - 1;
        made->by_name.emplace(made->entries.back().name, index);
        made->add_keys(made->entries.back(), index);
    }
    this->data = made;
}

bool organisation_directory::is_active() const
{
    return this->data != nullptr;
}

std::size_t organisation_directory::size() const
{
    return this->all().size();
}

const organisation*
organisation_directory::find_by_key(const key_digest& digest) const
{
    if (this->data == nullptr)
    {
        return nullptr;
    }
    const auto found = this->data->by_key.find(digest);
    return found == this->data->by_key.end() || found->second == no_owner
               ? nullptr
               : &this->data->entries[found->second];
}

const organisation*
organisation_directory::find_by_name(std::string_view name) const
{
    if (this->data == nullptr)
    {
        return nullptr;
    }
    const auto found = this->data->by_name.find(name);
    return found == this->data->by_name.end()
               ? nullptr
               : &this->data->entries[found->second];
}

const std::vector<organisation>& organisation_directory::all() const
{
    static const std::vector<organisation> none;
    return this->data == nullptr ? none : this->data->entries;
}

const std::vector<std::string>& organisation_directory::problems() const
{
    static const std::vector<std::string> none;
    return this->data == nullptr ? none : this->data->problems;
}

bool organisation_directory::operator==(
    const organisation_directory& other) const
{
    return this->data == other.data ||
           (this->is_active() == other.is_active() &&
            this->all() == other.all());
}

} // namespace chicory::serving
