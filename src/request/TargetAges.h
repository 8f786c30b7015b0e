/// \file
/// Records when a node first saw each of its targets. A recently joined target
/// may have become the home of keys whose operations are recorded at their
/// former home.
///
///     target.m_knownSince = ages.KnownSince(target, now);
///     ages.ForgetUnseen(now);
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
    Life& life = m_lives[aTarget.m_vm];
    const bool isSame = life.m_incarnation == aTarget.m_incarnation &&
                        life.m_version == aTarget.m_version;
    if (!isSame) {
      life = { aTarget.m_incarnation, aTarget.m_version, aNow, aNow };
    }
    life.m_seen = aNow;
    return life.m_since;
  }
  /// Removes targets that were not seen for kOperationRetention; no guard keeps
  /// operations from before that.
  void ForgetUnseen(MonotonicTime aNow)
  {
    std::erase_if(m_lives, [aNow](const auto& aEntry) {
      return aEntry.second.m_seen + kOperationRetention < aNow;
    });
  }

private:
  struct Life
  {
    Incarnation m_incarnation;
    UpstreamVersion m_version;
    MonotonicTime m_since{};
    MonotonicTime m_seen{};
  };

  std::unordered_map<VmId, Life> m_lives;
};

} // namespace tarragontray
