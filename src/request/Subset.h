/// \file
/// The targets that one node uses of each service, and the homes of callers'
/// idempotency keys. Both are computed once for each view by the control
/// thread, so that no call pays for the size of the fleet.
///
///     view.m_targets = SelectSubset(settings, allTargets);
///     view.m_keys = KeyPlacement::Create(allTargets).value();
///
/// Rendezvous hashing (Thaler and Ravishankar, 1998) keeps most of a subset
/// and most of the homes when a target comes or goes.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "base/Ids.h"
#include "base/Result.h"
#include "process/View.h"

namespace tarragontray {

/// Targets of one version in one node's subset, unless set otherwise.
inline constexpr std::size_t kSubsetSize = 20;

/// Who selects, and how many.
struct SubsetSettings
{
  /// The node that will use the subset.
  VmId m_node;
  DataCentreId m_dataCentre;
  RegionId m_region;
  /// Targets kept of each version.
  std::size_t m_size = kSubsetSize;
};

/// At most m_size targets of each version: own data centre first, then own
/// region, then others, and by rendezvous rank within each.
/// Thread safety: pure function.
std::vector<Target>
SelectSubset(const SubsetSettings& aSettings,
             const std::vector<Target>& aTargets);

/// Maps an operation id to the one target of a version that runs it, the same
/// on every node that knows the same targets.
/// Thread safety: immutable; concurrent reads are safe.
class KeyPlacement
{
public:
  /// \param aTargets all targets of the service, of all versions.
  /// Errors: TooLarge when there are 65,535 or more.
  static Result<std::shared_ptr<const KeyPlacement>> Create(
    std::vector<Target> aTargets);

  /// Whether Create gave this object for these very targets.
  bool IsFor(const std::vector<Target>& aTargets) const
  {
    return m_targets == aTargets;
  }

  /// Ranks that are kept of each key.
  static constexpr std::size_t kRanks = 3;

  /// The target of a rank for an operation, among those of a version: rank 0
  /// is the home, rank 1 becomes it when the home leaves, and so on. Null when
  /// there is none. Valid as long as this object. Constant time.
  /// Precondition: aRank < kRanks.
  const Target* Home(const OperationId& aOperation,
                     const UpstreamVersion& aVersion,
                     std::size_t aRank = 0) const;

private:
  /// Many more than targets of one service, so that homes are spread evenly.
  static constexpr std::size_t kBuckets = 1024;
  /// In place of an index, when there are fewer targets than ranks.
  static constexpr std::uint16_t kNone = 65'535;
  /// Indices into m_targets by rank.
  using Homes = std::array<std::uint16_t, kRanks>;
  using Table = std::array<Homes, kBuckets>;

  explicit KeyPlacement(std::vector<Target> aTargets);
  void Fill(const UpstreamVersion& aVersion, Table& aTable) const;

  std::vector<Target> m_targets;
  std::map<UpstreamVersion, Table> m_tables;
};

} // namespace tarragontray
