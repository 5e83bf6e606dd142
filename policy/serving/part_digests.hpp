#ifndef CHICORY_POLICY_SERVING_PART_DIGESTS_HPP
#define CHICORY_POLICY_SERVING_PART_DIGESTS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::serving
{

/// Digests of the parts of a prompt that other requests may share.
using part_digests = std::vector<std::uint64_t>;

/// Maximum number of parts of a request that are traced, so that a slot request
/// fits into one datagram.
inline constexpr std::size_t max_traced_parts = 32;

/// Returns the digests of the first parts of a prompt, each once. `host` is the
/// host of the request's route and is part of each digest, so that requests of
/// different members have no digest in common, whatever values callers choose.
part_digests
digest_parts(std::string_view host, const std::vector<std::string>& parts);

/// Returns digests of a request and of its parts that no request of another
/// organisation has, to be added to its parts. A quarantine applies to requests
/// that have everything in common that the crashes have, and so only to the
/// organisation under which runners crashed, unless they crashed under several.
/// Returns nothing without an organisation.
part_digests digest_for_organisation(
    std::string_view organisation,
    std::uint64_t request_digest,
    const part_digests& parts);

/// Returns digests in hexadecimal form, separated by commas, for logs.
std::string to_text(const part_digests& digests);

} // namespace chicory::serving

#endif
