// Decodes frames of calls with bodies of 1, 4 and 16 KB.
#include <cstdint>
#include <string>

#include <benchmark/benchmark.h>

#include "connection/FrameCodec.h"

namespace tarragontray {

namespace {

constexpr std::int64_t kScaleStep = 4;
constexpr std::int64_t kMaxScale = 16;
constexpr std::size_t kBytesPerScale = 1024;

std::string
SampleFrame(std::int64_t aScale)
{
  Call call;
  call.m_id = CallId(9);
  call.m_operation = OperationId("purchase-17");
  call.m_caller = ClientAccountId("mesqel-gate");
  call.m_service = { ClientAccountId("mesqel-gate"),
                     ServiceName("box-office") };
  call.m_route = RouteName("purchase");
  call.m_timeRemaining = std::chrono::milliseconds(250);
  call.m_http = { "POST",
                  "/purchases",
                  { { "host", "10.0.0.1" } },
                  std::string(static_cast<std::size_t>(aScale) * kBytesPerScale,
                              'x') };
  std::string bytes;
  AppendFrame(bytes, call);
  return bytes;
}

void
FrameDecode(benchmark::State& aState)
{
  const std::string frame = SampleFrame(aState.range(0));
  const auto payload = std::string_view(frame).substr(kFrameHeaderBytes);
  for ([[maybe_unused]] auto step : aState) {
    auto message = DecodeMessage(payload, "10.0.0.1:8001");
    if (!message) {
      aState.SkipWithError("the frame was not decoded");
      break;
    }
    benchmark::DoNotOptimize(message);
  }
}

BENCHMARK(FrameDecode)->RangeMultiplier(kScaleStep)->Range(1, kMaxScale);

} // namespace

} // namespace tarragontray

BENCHMARK_MAIN();
