// Encodes and decodes datagrams with 1, 4 and 16 member records.
#include <cstdint>
#include <string>

#include <benchmark/benchmark.h>

#include "connection/DatagramCodec.h"

namespace tarragontray {

namespace {

constexpr std::int64_t kScaleStep = 4;
constexpr std::int64_t kMaxScale = 16;
constexpr std::uint32_t kFirstIp = 0x0A000001;
constexpr std::uint16_t kPort = 8001;

Datagram
Sample(std::int64_t aRecords)
{
  Datagram datagram;
  datagram.m_kind = DatagramKind::Ping;
  datagram.m_from = VmId("dc1-box-office-0");
  datagram.m_probe = 17;
  datagram.m_digest = StateDigest{ 1, { 2, Revision(3) }, 4 };
  for (std::int64_t number = 0; number < aRecords; ++number) {
    MemberRecord record;
    record.m_vm = VmId("dc1-box-office-" + std::to_string(number));
    record.m_dataCentre = DataCentreId("dc1");
    record.m_region = RegionId("addis");
    record.m_peerAddress =
      NetworkAddress(kFirstIp + static_cast<std::uint32_t>(number), kPort);
    record.m_incarnation = Incarnation(1'796'000'000'000'000);
    record.m_upstream = { { ClientAccountId("mesqel-gate"),
                            ServiceName("box-office") },
                          UpstreamVersion("v1"),
                          UpstreamState::Live,
                          SlotCount(12) };
    datagram.m_members.push_back(std::move(record));
  }
  return datagram;
}

void
DatagramEncode(benchmark::State& aState)
{
  const Datagram datagram = Sample(aState.range(0));
  for ([[maybe_unused]] auto step : aState) {
    benchmark::DoNotOptimize(EncodeDatagram(datagram));
  }
}

void
DatagramDecode(benchmark::State& aState)
{
  const std::string bytes = EncodeDatagram(Sample(aState.range(0)));
  for ([[maybe_unused]] auto step : aState) {
    auto datagram = DecodeDatagram(bytes, "10.0.0.1:8001");
    if (!datagram) {
      aState.SkipWithError("the datagram was not decoded");
      break;
    }
    benchmark::DoNotOptimize(datagram);
  }
}

BENCHMARK(DatagramEncode)->RangeMultiplier(kScaleStep)->Range(1, kMaxScale);
BENCHMARK(DatagramDecode)->RangeMultiplier(kScaleStep)->Range(1, kMaxScale);

} // namespace

} // namespace tarragontray

BENCHMARK_MAIN();
