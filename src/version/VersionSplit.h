/// \file
/// How the calls of a service are split between two upstream versions.
///
///     std::optional<VersionSplit> split = moves->SplitOf(service);
///
/// Thread safety: values.
#pragma once

#include <optional>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// Whether aVersion is aWanted; an empty aWanted means all but aOther.
inline bool
MatchesVersion(const UpstreamVersion& aWanted,
               const UpstreamVersion& aOther,
               const UpstreamVersion& aVersion)
{
  return aWanted.IsEmpty() ? aOther.IsEmpty() || aVersion != aOther
                           : aVersion == aWanted;
}

/// How the calls of a service are split between its versions.
struct VersionSplit
{
  /// Set while a move runs.
  std::optional<MoveId> m_move;
  /// Empty: every version but m_to.
  UpstreamVersion m_from;
  UpstreamVersion m_to;
  /// The share that goes to m_to; the rest goes to m_from.
  Share m_toShare = Share::None();

  /// Whether an upstream of aVersion may get a call that is meant for aWanted,
  /// which is m_from or m_to.
  bool Fits(const UpstreamVersion& aWanted,
            const UpstreamVersion& aVersion) const
  {
    return MatchesVersion(aWanted, m_to, aVersion);
  }

  bool operator==(const VersionSplit&) const = default;
};

} // namespace tarragontray
