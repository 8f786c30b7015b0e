/// \file
/// Schedules pulls from peers whose digests differ.
///
/// A difference is often caused by updates in transit. A pull is therefore
/// delayed, and dropped when this node's own state has changed by then, unless
/// the states have differed for m_maxDifferenceTime. The delay is short for a
/// peer with a higher revision. At most one pull runs at a time. After failures
/// the delay grows exponentially with full jitter, so that many nodes that
/// return together spread their pulls.
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
  /// Delay of the first pulls after a start, plus a random jitter of up to the
  /// same length. When many nodes start together, their peers know most members
  /// by then.
  Duration m_joinWait = std::chrono::milliseconds(300);
  /// Delay of a pull from a peer with a higher revision, plus a random jitter
  /// of up to the same length.
  Duration m_behindWait = std::chrono::milliseconds(100);
  /// Delay of such a pull when the digest came along a tree, without jitter.
  /// Above 0 where every node watches the platform, so that the node's own
  /// watch can deliver the documents at less cost.
  Duration m_pathWait{ 0 };
  /// Delay of a pull from a peer whose state differs without a higher revision;
  /// half of it when the documents differ. A random jitter of up to half the
  /// delay is added.
  Duration m_differenceWait = std::chrono::milliseconds(800);
  /// After this time, a difference is pulled even if this node's state keeps
  /// changing.
  Duration m_maxDifferenceTime = std::chrono::seconds(3);
  /// A pull that takes longer counts as failed. Must exceed the timeout of the
  /// connection.
  Duration m_timeout = std::chrono::seconds(7);
  /// The upper limits of the random backoff after the first failed pull, and
  /// after any number of failed pulls.
  Duration m_firstBackoff = std::chrono::milliseconds(400);
  Duration m_maxBackoff = std::chrono::seconds(8);
};

struct PeerContact
{
  VmId m_vm;
  NetworkAddress m_address;
};

/// A peer whose state differs from this node's.
struct PullCandidate
{
  VmId m_peer;
  /// The address that the digest came from; the peer may not be a known member
  /// yet.
  NetworkAddress m_address;
  StateDigest m_theirs;
  /// Set when the digest came along a tree.
  std::optional<SpreadPath> m_path;
  /// True while this node joins and needs the peer's whole state.
  bool m_isJoining = false;
  /// True when another peer failed to answer; only the backoff delays the pull.
  bool m_isRetry = false;
  /// The peer to ask when m_peer, which costs less to reach, lacks documents of
  /// m_theirs.
  std::optional<PeerContact> m_fallback;
};

/// True when the peer holds a higher document revision than this node.
bool
IsBehind(const StateDigest& aMine, const StateDigest& aTheirs);

/// Decides which pull to run next; one at a time.
class PullSchedule
{
public:
  PullSchedule(const PullSettings& aSettings, Random& aRandom);

  /// Schedules a pull when the peer's digest differs from aMine.
  /// Precondition: the digest covers members, documents and moves.
  void Offer(const PullCandidate& aCandidate,
             const StateDigest& aMine,
             MonotonicTime aNow);
  /// The pull to start now, if one is due.
  std::optional<PullCandidate> Take(const StateDigest& aMine,
                                    MonotonicTime aNow);
  /// The running pull has succeeded.
  void Done() { Finish(0); }
  /// The peer was busy, unreachable or too slow: delays the next pull.
  void Failed(MonotonicTime aNow);

  bool IsRunning() const { return m_running.has_value(); }
  /// The end of the backoff after failed pulls; no pull is scheduled earlier.
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
  /// When the running pull times out; unset when none is running.
  std::optional<MonotonicTime> m_running;
  MonotonicTime m_notBefore{};
  std::size_t m_failures = 0;
  std::optional<MonotonicTime> m_differsSince;
};

} // namespace tarragontray
