/// \file
/// Membership, distribution and moves on one UDP socket.
///
/// Collects what the three parts send, merges datagrams for one receiver into
/// one where they fit, keeps each below kMaxDatagramBytes, and turns differing
/// digests into pulls over TCP.
///
/// How control code wires it, with one UDP socket and one timer:
///
///     on datagram:  Handle(gossip.Receive(datagram, from, now));
///     on timer:     Handle(gossip.Tick(now));
///     on pull asked by a peer:   reply(gossip.AnswerPull(request, now));
///     on pull answered:          Handle(gossip.OfferPull(answer, now));
///     on pull failed:            gossip.FailPull(now);
///     after each of these: set the timer to gossip.NextTick().
///
/// where Handle sends m_send, starts m_pull when it is set (one at a time),
/// gives Documents().TakeChanged() to the configuration store and
/// Moves().TakeChanged() to the moves, and hands m_evidence to the coordinator.
/// Calls on Members(), Documents() and Moves() between events are fine; what
/// they send goes out at the next Tick, which is due at NextTick().
///
/// Thread safety: one thread (control) for each instance.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/NetworkAddress.h"
#include "base/Random.h"
#include "base/Result.h"
#include "base/Units.h"
#include "process/Distribution.h"
#include "process/Membership.h"
#include "process/MoveGossip.h"
#include "process/Pull.h"
#include "process/PullSchedule.h"
#include "process/SpreadTree.h"
#include "process/TokenBucket.h"

namespace tarragontray {

struct GossipSettings
{
  MembershipSettings m_membership;
  DistributionSettings m_distribution;
  MoveGossipSettings m_moves;
  PullSettings m_pulls;
  /// Bytes of answers to pulls, a second and at once.
  double m_answerBytesPerSecond = 10'000;
  double m_answerBurstBytes = 300'000;
};

/// A pull to start.
struct OutgoingPull
{
  NetworkAddress m_peer;
  PullRequest m_request;
};

struct GossipActions
{
  std::vector<OutgoingDatagram> m_send;
  std::optional<OutgoingPull> m_pull;
  /// Evidence for the coordinator, passed through.
  std::vector<EvidenceReport> m_evidence;
  bool m_membersChanged = false;
  bool m_documentsChanged = false;
  bool m_movesChanged = false;
};

struct GossipCounters
{
  std::uint64_t m_pulls = 0;
  std::uint64_t m_pullsFailed = 0;
  std::uint64_t m_pullsServed = 0;
  std::uint64_t m_pullsRefused = 0;
  /// Datagrams over the bound, not sent.
  std::uint64_t m_oversized = 0;
};

/// The control protocol of one node.
class Gossip
{
public:
  /// The random source outlives the result. Errors: InvalidArgument.
  static Result<Gossip> Create(const GossipSettings& aSettings,
                               MemberRecord aSelf,
                               std::vector<NetworkAddress> aSeeds,
                               Random& aRandom);

  GossipActions Receive(const Datagram& aDatagram,
                        const NetworkAddress& aFrom,
                        MonotonicTime aNow);
  GossipActions Tick(MonotonicTime aNow);
  MonotonicTime NextTick() const;

  PullAnswer AnswerPull(const PullRequest& aRequest, MonotonicTime aNow);
  GossipActions OfferPull(const PullAnswer& aAnswer, MonotonicTime aNow);
  void FailPull(MonotonicTime aNow);

  /// False while this node may hold less than its forerunner on the VM had in
  /// force: it has not heard enough peers yet, or one of them says so. It is
  /// not ready, and refuses with "not run".
  bool MayServe() const
  {
    return m_members->IsSettled() && !m_documents.IsBelowFloor();
  }

  Membership& Members() { return *m_members; }
  const Membership& Members() const { return *m_members; }
  Distribution& Documents() { return m_documents; }
  const Distribution& Documents() const { return m_documents; }
  MoveGossip& Moves() { return m_moves; }
  const MoveGossip& Moves() const { return m_moves; }
  const GossipCounters& Counters() const { return m_counters; }

private:
  Gossip(const GossipSettings& aSettings,
         std::unique_ptr<Membership> aMembers,
         Distribution aDocuments,
         Random& aRandom);

  StateDigest Digest() const;
  bool IsForeign(const VmId& aVm) const;
  void ReceiveDigest(const Datagram& aDatagram,
                     const NetworkAddress& aFrom,
                     MonotonicTime aNow);
  /// Passes a datagram on along its tree, once for each path.
  void Forward(const Datagram& aDatagram, std::vector<OutgoingDatagram>& aSend);
  /// A node that starts pulls from any member without waiting for a digest.
  void PullWhileJoining(MonotonicTime aNow);
  PullRequest MakeRequest(const PullCandidate& aCandidate) const;
  void Finish(GossipActions& aActions, MonotonicTime aNow);
  void Complete(std::vector<OutgoingDatagram>& aSend);
  PullAnswer BusyAnswer();

  GossipSettings m_settings;
  /// At a fixed place, since the other parts point to it.
  std::unique_ptr<Membership> m_members;
  Distribution m_documents;
  MoveGossip m_moves;
  PullSchedule m_pulls;
  SeenPaths m_seenPaths;
  TokenBucket m_served;
  GossipCounters m_counters;
  /// Since the start, until a pull brings no further member.
  bool m_isCatchingUp = true;
  /// Whom the running pull asks, and along which tree the digest came.
  PullCandidate m_pulling;
  /// The highest revision that each VM said it holds, for its replacement.
  std::map<VmId, Revision> m_reportedRevisions;
};

} // namespace tarragontray
