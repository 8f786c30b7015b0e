/// \file
/// Records when a node first saw each of its targets. A recently joined target
/// may have become the home of keys whose operations are recorded at their
/// former home.
///
///     target.m_knownSince = ages.KnownSince(target, now);
///     ages.RemoveUnseen(now);
///
/// Thread safety: one thread.
#pragma once

#include <unordered_map>

#include "process/View.h"
#include "request/Call.h"

namespace tarragontray {

class TargetAges
{
public:
  /// Returns when the target was first seen with this incarnation and version.
  MonotonicTime KnownSince(const Target& aTarget, MonotonicTime aNow)
  {
    Sighting& sighting = m_sightings[aTarget.m_vm];
    const bool isSame = sighting.m_incarnation == aTarget.m_incarnation &&
                        sighting.m_version == aTarget.m_version;
    if (!isSame) {
      sighting = { aTarget.m_incarnation, aTarget.m_version, aNow, aNow };
    }
    sighting.m_lastSeen = aNow;
    return sighting.m_firstSeen;
  }
  /// Removes targets that were not seen for kOperationRetention; no guard keeps
  /// operations from before that.
  void RemoveUnseen(MonotonicTime aNow)
  {
    std::erase_if(m_sightings, [aNow](const auto& aEntry) {
      return aEntry.second.m_lastSeen + kOperationRetention < aNow;
    });
  }

private:
  struct Sighting
  {
    Incarnation m_incarnation;
    UpstreamVersion m_version;
    MonotonicTime m_firstSeen{};
    MonotonicTime m_lastSeen{};
  };

  std::unordered_map<VmId, Sighting> m_sightings;
};

} // namespace tarragontray
