// Measures the cost of encoding and decoding one message in nanoseconds, for a
// token frame and for a dispatch with a body of 1024 bytes.

#include "wire/wire.hpp"

#include <chrono>
#include <cstdio>
#include <string>

namespace
{

constexpr int rounds = 200000;

/// Returns the mean time in nanoseconds of encoding and decoding a message, or
/// -1 when a message could not be decoded.
double measure_ns(const chicory::wire::message& value)
{
    const auto start = std::chrono::steady_clock::now();
    std::size_t decoded = 0;
    for (int round = 0; round < rounds; ++round)
    {
        const std::string bytes = chicory::wire::encode(value);
        decoded += chicory::wire::decode(bytes).has_value() ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start;
    return decoded == rounds ? elapsed.count() / rounds : -1.0;
}

} // namespace

int main()
{
    chicory::wire::response_frame frame;
    frame.request_id = "req-0123456789abcdef01234567";
    frame.attempt = 1;
    frame.bytes = std::string(120, 't');
    chicory::wire::dispatch dispatch;
    dispatch.request_id = frame.request_id;
    dispatch.member = "kremstal";
    dispatch.route = "inkasso";
    dispatch.pool = "inkasso-llm";
    dispatch.runner = "runner-01";
    dispatch.path = "/v1/completions";
    dispatch.content_type = "application/json";
    dispatch.body = std::string(1024, 'b');
    std::printf(
        "codec_cost frame_ns=%.0f dispatch_ns=%.0f\n",
        measure_ns(frame),
        measure_ns(dispatch));
    return 0;
}
