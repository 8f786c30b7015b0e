/// \file
/// Timeouts after which suspected members are declared dead.
///
/// The node whose probe failed waits for m_timeout and keeps pinging the
/// suspect. Nodes that learned of the suspicion from a peer wait twice as long,
/// so that they declare the death only when the node that raised the suspicion
/// has failed, too.
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
  /// Interval between pings to a suspect.
  Duration m_pingInterval = std::chrono::milliseconds(500);
};

/// How this node came to suspect a member.
enum class SuspicionSource
{
  /// A probe of this node failed.
  OwnProbe,
  /// A record from a peer.
  Peer,
};

/// The pending suspicions of one node.
class Suspicions
{
public:
  explicit Suspicions(const SuspicionSettings& aSettings);

  /// Starts a suspicion. A pending one keeps its deadline, but OwnProbe may
  /// shorten the deadline of one that came from a peer.
  void Start(const VmId& aVm, SuspicionSource aSource, MonotonicTime aNow);
  void Clear(const VmId& aVm) { m_running.erase(aVm); }
  /// Restarts the timeout after a datagram from the suspect, so that it has
  /// time to refute the suspicion.
  void Extend(const VmId& aVm, MonotonicTime aNow);
  /// Extends all deadlines by the length of a pause of this process, during
  /// which it could not receive a refutation.
  void Postpone(Duration aDuration);

  /// The suspects to ping now.
  std::vector<VmId> TakeDuePings(MonotonicTime aNow);
  /// Removes and returns the suspects whose deadline has passed.
  std::vector<VmId> TakeExpired(MonotonicTime aNow);
  /// MonotonicTime::max() when there is no suspicion.
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
