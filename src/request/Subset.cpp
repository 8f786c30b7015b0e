#include "request/Subset.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "base/Hash.h"
#include "base/Random.h"

namespace tarragontray {

namespace {

/// Makes the key buckets independent of other hashes of operation ids.
constexpr std::uint64_t kKeySeed = 0x6b6579;

/// 0 in the own data centre, 1 in the own region, 2 elsewhere.
int
Distance(const SubsetSettings& aSettings, const Target& aTarget)
{
  if (aTarget.m_dataCentre == aSettings.m_dataCentre) {
    return 0;
  }
  return aTarget.m_region == aSettings.m_region ? 1 : 2;
}

struct Ranked
{
  int m_distance;
  std::uint64_t m_rank;
  const Target* m_target;
};

bool
RanksBefore(const Ranked& aLeft, const Ranked& aRight)
{
  return std::tie(aLeft.m_distance, aRight.m_rank, aLeft.m_target->m_vm) <
         std::tie(aRight.m_distance, aLeft.m_rank, aRight.m_target->m_vm);
}

void
AppendBest(std::vector<Ranked>& aRanked,
           std::size_t aSize,
           std::vector<Target>& aSubset)
{
  std::sort(aRanked.begin(), aRanked.end(), RanksBefore);
  const std::size_t count = std::min(aSize, aRanked.size());
  for (std::size_t i = 0; i < count; ++i) {
    aSubset.push_back(*aRanked[i].m_target);
  }
}

} // namespace

std::vector<Target>
SelectSubset(const SubsetSettings& aSettings,
             const std::vector<Target>& aTargets)
{
  const std::uint64_t seed = StableHash(aSettings.m_node.Value());
  std::map<UpstreamVersion, std::vector<Ranked>> byVersion;
  for (const Target& target : aTargets) {
    byVersion[target.m_version].push_back(
      { Distance(aSettings, target),
        StableHash(target.m_vm.Value(), seed),
        &target });
  }
  std::vector<Target> subset;
  for (auto& [version, ranked] : byVersion) {
    AppendBest(ranked, aSettings.m_size, subset);
  }
  return subset;
}

Result<std::shared_ptr<const KeyPlacement>>
KeyPlacement::Create(std::vector<Target> aTargets)
{
  if (aTargets.size() > kMaxTargets) {
    return Error(ErrorCode::TooLarge,
                 "request.placement",
                 "",
                 "targets=" + std::to_string(aTargets.size()));
  }
  return std::shared_ptr<const KeyPlacement>(
    new KeyPlacement(std::move(aTargets)));
}

KeyPlacement::KeyPlacement(std::vector<Target> aTargets)
  : m_targets(std::move(aTargets))
{
  for (const Target& target : m_targets) {
    m_members[target.m_version].push_back(
      { StableHash(target.m_vm.Value()), &target });
  }
}

const Target*
KeyPlacement::Home(const OperationId& aOperation,
                   const UpstreamVersion& aVersion,
                   std::size_t aRank) const
{
  const auto found = m_members.find(aVersion);
  if (found == m_members.end()) {
    return nullptr;
  }
  const std::uint64_t bucket =
    StableHash(aOperation.Value(), kKeySeed) % kBuckets;
  std::array<std::uint64_t, kRanks> ranks{};
  std::array<const Target*, kRanks> homes{};
  for (const auto& [hash, member] : found->second) {
    std::uint64_t rank = SeededRandom(hash ^ bucket).Next();
    const Target* target = member;
    for (std::size_t i = 0; i < kRanks; ++i) {
      if (homes[i] == nullptr || rank > ranks[i]) {
        std::swap(rank, ranks[i]);
        std::swap(target, homes[i]);
      }
    }
  }
  return homes[aRank];
}

} // namespace tarragontray
