/// \file
/// Selects the subset of targets that a node uses of each service, and the home
/// target of each idempotency key. The control thread selects the subset once
/// per view, so that the cost of a call doesn't depend on the number of
/// targets; a home is computed for each call that has a key, since few calls do
/// and a table of all homes would be rebuilt at each change of the targets.
///
///     view.m_targets = SelectSubset(settings, allTargets);
///     view.m_keys = KeyPlacement::Create(allTargets).value();
///
/// Rendezvous hashing (Thaler and Ravishankar, 1998) keeps most of a subset and
/// most homes unchanged when a target is added or removed.
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

/// Default number of targets of each version in a node's subset.
inline constexpr std::size_t kSubsetSize = 20;

/// Location of the selecting node, and the size of its subset.
struct SubsetSettings
{
  /// The node that uses the subset.
  VmId m_node;
  DataCentreId m_dataCentre;
  RegionId m_region;
  /// Maximum number of targets of each version.
  std::size_t m_size = kSubsetSize;
};

/// Selects at most m_size targets of each version: own data centre first, then
/// own region, then all others, each ordered by rendezvous hash.
/// Thread safety: pure function.
std::vector<Target>
SelectSubset(const SubsetSettings& aSettings,
             const std::vector<Target>& aTargets);

/// Maps an idempotency key to its home, the one target of a version that runs
/// calls with the key. Nodes with the same targets compute the same home.
/// Thread safety: immutable; concurrent reads are safe.
class KeyPlacement
{
public:
  /// \param aTargets all targets of the service, of all versions.
  /// Errors: TooLarge when there are 65,535 or more.
  static Result<std::shared_ptr<const KeyPlacement>> Create(
    std::vector<Target> aTargets);

  /// True when this object was created for exactly these targets.
  bool IsFor(const std::vector<Target>& aTargets) const
  {
    return m_targets == aTargets;
  }

  /// Number of ranked targets stored for each key.
  static constexpr std::size_t kRanks = 3;

  /// Returns the target of a rank for a key, among the targets of a version:
  /// rank 0 is the home, rank 1 becomes the home when the home leaves, and so
  /// on. Null when there is none. Valid as long as this object. Takes time in
  /// proportion to the targets of the version.
  /// Precondition: aRank < kRanks.
  const Target* Home(const OperationId& aOperation,
                     const UpstreamVersion& aVersion,
                     std::size_t aRank = 0) const;

private:
  /// Many more than the targets of a service, so that homes are evenly
  /// distributed.
  static constexpr std::size_t kBuckets = 1024;
  static constexpr std::size_t kMaxTargets = 65'534;
  struct Member
  {
    std::uint64_t m_hash;
    const Target* m_target;
  };

  explicit KeyPlacement(std::vector<Target> aTargets);

  std::vector<Target> m_targets;
  std::map<UpstreamVersion, std::vector<Member>> m_members;
};

} // namespace tarragontray
