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
