// Benchmarks BuildView with 64, 256 and 1024 nodes.
#include <cstdint>
#include <string>

#include <benchmark/benchmark.h>

#include "process/ViewBuilder.h"

namespace tarragontray {

namespace {

constexpr std::int64_t kScaleStep = 4;
constexpr std::int64_t kMostScale = 16;
constexpr std::int64_t kNodes = 64;
constexpr std::int64_t kServices = 35;
constexpr std::int64_t kDataCentres = 9;
constexpr std::uint32_t kFirstIp = 0x0A000001;
constexpr std::uint16_t kPort = 8001;
const ClientAccountId kAccount("mesqel-gate");

ServiceId
Service(std::int64_t aNumber)
{
  return { kAccount,
           ServiceName("service-" + std::to_string(aNumber % kServices)) };
}

MemberRecord
Member(std::int64_t aNumber)
{
  MemberRecord record;
  record.m_vm = VmId("vm" + std::to_string(aNumber));
  record.m_dataCentre =
    DataCentreId("dc" + std::to_string(aNumber % kDataCentres));
  record.m_region = RegionId("region" + std::to_string(aNumber % 3));
  record.m_peerAddress =
    NetworkAddress(kFirstIp + static_cast<std::uint32_t>(aNumber), kPort);
  record.m_incarnation = Incarnation(1);
  record.m_upstream = {
    Service(aNumber), UpstreamVersion("v1"), UpstreamState::Live, SlotCount(12)
  };
  return record;
}

std::map<VmId, MemberRecord>
Members(std::int64_t aScale)
{
  std::map<VmId, MemberRecord> members;
  for (std::int64_t number = 0; number < kNodes * aScale; ++number) {
    MemberRecord record = Member(number);
    const VmId vm = record.m_vm;
    members.emplace(vm, std::move(record));
  }
  return members;
}

std::vector<std::shared_ptr<const Configuration>>
Configurations()
{
  Configuration configuration;
  configuration.m_account = kAccount;
  for (std::int64_t number = 0; number < kServices; ++number) {
    ServiceSpec service;
    service.m_id = Service(number);
    service.m_liveVersions = { UpstreamVersion("v1") };
    configuration.m_services.push_back(std::move(service));
  }
  return { std::make_shared<const Configuration>(std::move(configuration)) };
}

std::shared_ptr<const View>
MakeView(const std::map<VmId, MemberRecord>& aMembers, const View* aPrevious)
{
  const auto noMove = [](const ServiceId&) {
    return std::optional<VersionSplit>();
  };
  const auto configurations = Configurations();
  return BuildView(Member(0),
                   ViewInputs{ aMembers, configurations, noMove, aPrevious });
}

void
ViewBuild(benchmark::State& aState)
{
  const auto members = Members(aState.range(0));
  for ([[maybe_unused]] auto step : aState) {
    benchmark::DoNotOptimize(MakeView(members, nullptr));
  }
}

/// Rebuilds a view after one member changed.
void
ViewRebuild(benchmark::State& aState)
{
  auto members = Members(aState.range(0));
  const auto previous = MakeView(members, nullptr);
  members.begin()->second.m_upstream.m_slots = SlotCount(24);
  for ([[maybe_unused]] auto step : aState) {
    benchmark::DoNotOptimize(MakeView(members, previous.get()));
  }
}

BENCHMARK(ViewBuild)->RangeMultiplier(kScaleStep)->Range(1, kMostScale);
BENCHMARK(ViewRebuild)->RangeMultiplier(kScaleStep)->Range(1, kMostScale);

} // namespace

} // namespace tarragontray

BENCHMARK_MAIN();
