/// \file
/// When to pull, and from whom: turns digests that differ into few pulls.
///
/// A difference is often just news on its way, so that a pull waits a little
/// and is dropped when this node's own state has changed by then, unless the
/// states have differed for long. A peer with a higher revision is asked soon.
/// At most one pull runs at a time, and after failures the waits grow with
/// full jitter, so that a herd of returning nodes spreads its pulls.
///
///     schedule.Offer(candidate, mine, now);
///     if (std::optional<PullCandidate> pull = schedule.Take(mine, now)) { ...
///     }
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <optional>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Random.h"
#include "base/Units.h"
#include "process/Datagram.h"

namespace tarragontray {

struct PullSettings
{
  /// Until the first pull after a start, plus as much again at random: of a
  /// herd that starts, the peers know most by then.
  Duration m_joinWait = std::chrono::milliseconds(300);
  /// Until a pull from a peer that is ahead in revisions; plus as much again
  /// at random.
  Duration m_behindWait = std::chrono::milliseconds(100);
  /// The same when its digest came along a tree. Where every node watches the
  /// platform: time for the own watch to bring what is new at less cost.
  Duration m_pathWait{ 0 };
  /// Until a pull from a peer that merely differs, half of it when documents
  /// do; plus half at random.
  Duration m_differenceWait = std::chrono::milliseconds(800);
  /// A difference that lasts so long is pulled in any case.
  Duration m_maxDifferenceTime = std::chrono::seconds(3);
  /// A pull that has not ended by then is given up; longer than the time that
  /// the connection allows.
  Duration m_timeout = std::chrono::seconds(7);
  /// The bounds of the wait after a failed pull.
  Duration m_firstBackoff = std::chrono::milliseconds(400);
  Duration m_maxBackoff = std::chrono::seconds(8);
};

/// A peer whose state differs from this node's.
struct PullCandidate
{
  VmId m_peer;
  /// Where it was heard from; it may not be a known member yet.
  NetworkAddress m_address;
  StateDigest m_theirs;
  /// Set when the digest came along a tree.
  std::optional<SpreadPath> m_path;
  /// This node starts and needs all that the peer has.
  bool m_isJoining = false;
};

/// True when the peer holds a higher revision.
bool
IsBehind(const StateDigest& aMine, const StateDigest& aTheirs);

/// One pull at a time.
class PullSchedule
{
public:
  PullSchedule(const PullSettings& aSettings, Random& aRandom);

  /// Hears a peer's digest. Only digests that are complete may be offered.
  void Offer(const PullCandidate& aCandidate,
             const StateDigest& aMine,
             MonotonicTime aNow);
  /// The pull to start now, if any.
  std::optional<PullCandidate> Take(const StateDigest& aMine,
                                    MonotonicTime aNow);
  void Done() { Finish(0); }
  /// The peer was busy, unreachable or too slow: waits before the next pull.
  void Failed(MonotonicTime aNow);

  bool IsRunning() const { return m_running.has_value(); }
  /// No pull before this time, because of failures.
  MonotonicTime NotBefore() const { return m_notBefore; }
  MonotonicTime NextTick() const;

private:
  struct Pending
  {
    PullCandidate m_candidate;
    StateDigest m_mine;
    MonotonicTime m_due;
  };

  void Finish(std::size_t aFailures);
  MonotonicTime DueTime(const PullCandidate& aCandidate,
                        const StateDigest& aMine,
                        MonotonicTime aNow);
  Duration RandomUpTo(Duration aLimit);
  bool IsStillWanted(const StateDigest& aMine, MonotonicTime aNow) const;

  PullSettings m_settings;
  Random* m_random;
  std::optional<Pending> m_pending;
  /// When the running pull is given up.
  std::optional<MonotonicTime> m_running;
  MonotonicTime m_notBefore{};
  std::size_t m_failures = 0;
  std::optional<MonotonicTime> m_differsSince;
};

} // namespace tarragontray
