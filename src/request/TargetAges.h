/// \file
/// Since when a node knows its targets. A target that joined lately may have
/// taken over keys whose operations another target remembers.
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
  /// When this life of the target, at this version, was first asked about.
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
  /// Drops targets that were not asked about for the time that operations are
  /// remembered.
  void RemoveUnseen(MonotonicTime aNow)
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
