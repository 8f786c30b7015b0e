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
  /// Errors: TooLarge when there are more than 65,535.
  static Result<std::shared_ptr<const KeyPlacement>> Create(
    std::vector<Target> aTargets);

  /// The home of an operation among the targets of a version; null when the
  /// version has none. Valid as long as this object. Constant time.
  const Target* Home(const OperationId& aOperation,
                     const UpstreamVersion& aVersion) const;
  /// The target that becomes the home when the home leaves; null when the
  /// version has no second target. Valid as long as this object.
  const Target* NextHome(const OperationId& aOperation,
                         const UpstreamVersion& aVersion) const;

private:
  /// Many more than targets of one service, so that homes are spread evenly.
  static constexpr std::size_t kBuckets = 1024;
  /// Indices of the highest and second highest ranked target.
  struct Homes
  {
    std::uint16_t m_first = 0;
    std::uint16_t m_second = 0;
  };
  using Table = std::array<Homes, kBuckets>;

  explicit KeyPlacement(std::vector<Target> aTargets);
  void Fill(const UpstreamVersion& aVersion, Table& aTable) const;
  const Homes* Find(const OperationId& aOperation,
                    const UpstreamVersion& aVersion) const;

  std::vector<Target> m_targets;
  std::map<UpstreamVersion, Table> m_tables;
};

} // namespace tarragontray
