/// \file
/// How long members stay suspected before they count as dead.
///
/// The node whose probe failed waits m_timeout and asks the suspect again and
/// again meanwhile. Nodes that only heard of the suspicion wait twice as long:
/// they decide only when the one that suspected first has gone itself.
///
///     suspicions.Start(vm, SuspicionSource::OwnProbe, now);
///     for (const VmId& vm : suspicions.TakeExpired(now)) { ... }
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

struct SuspicionSettings
{
  Duration m_timeout = std::chrono::seconds(4);
  /// Between pings to a suspect.
  Duration m_askInterval = std::chrono::milliseconds(500);
};

/// Who had the suspicion first.
enum class SuspicionSource
{
  OwnProbe,
  Rumour,
};

/// The running suspicions of one node.
class Suspicions
{
public:
  explicit Suspicions(const SuspicionSettings& aSettings);

  /// A running suspicion continues; OwnProbe shortens one from a rumour.
  void Start(const VmId& aVm, SuspicionSource aSource, MonotonicTime aNow);
  void Clear(const VmId& aVm) { m_running.erase(aVm); }
  /// The suspect was heard: it lives, and has time to refute.
  void Extend(const VmId& aVm, MonotonicTime aNow);
  /// This node did not run for aDuration: nobody is to pay for it.
  void Postpone(Duration aDuration);

  /// Suspects to ping now.
  std::vector<VmId> TakeDuePings(MonotonicTime aNow);
  /// Those whose time is over, removed.
  std::vector<VmId> TakeExpired(MonotonicTime aNow);
  /// MonotonicTime::max() when nothing runs.
  MonotonicTime NextTick() const;
  std::size_t Size() const { return m_running.size(); }

private:
  struct Suspicion
  {
    SuspicionSource m_source;
    MonotonicTime m_deadline;
    MonotonicTime m_nextPing;
  };

  MonotonicTime Deadline(SuspicionSource aSource, MonotonicTime aNow) const;

  SuspicionSettings m_settings;
  std::map<VmId, Suspicion> m_running;
};

} // namespace tarragontray
