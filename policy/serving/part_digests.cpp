#include "policy/serving/part_digests.hpp"

#include "core/core.hpp"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace chicory::serving
{

part_digests
digest_parts(std::string_view host, const std::vector<std::string>& parts)
{
    part_digests digests;
    const std::uint64_t host_digest = hash_bytes(host);
    for (const std::string& part : parts)
    {
        if (digests.size() == max_traced_parts)
        {
            break;
        }
        const std::uint64_t digest = hash_bytes(part, host_digest);
        if (std::find(digests.begin(), digests.end(), digest) == digests.end())
        {
            digests.push_back(digest);
        }
    }
    return digests;
}

part_digests digest_for_organisation(
    std::string_view organisation,
    std::uint64_t request_digest,
    const part_digests& parts)
{
    part_digests digests;
    if (organisation.empty())
    {
        return digests;
    }
    digests.reserve(parts.size() + 1);
    if (request_digest != 0)
    {
        digests.push_back(hash_bytes(organisation, request_digest));
    }
    for (const std::uint64_t part : parts)
    {
        digests.push_back(hash_bytes(organisation, part));
    }
    return digests;
}

std::string to_text(const part_digests& digests)
{
    std::string text;
    for (const std::uint64_t digest : digests)
    {
        std::array<char, 20> digits{};
        std::snprintf(digits.data(), digits.size(), "%016" PRIx64, digest);
        text += text.empty() ? "" : ",";
        text += digits.data();
    }
    return text;
}

} // namespace chicory::serving
