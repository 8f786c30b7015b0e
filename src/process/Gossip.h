/// \file
/// The gossip protocol of a node: membership, document distribution and the
/// progress of moves over one UDP socket.
///
/// Collects the outgoing datagrams of the three parts, merges datagrams for the
/// same receiver, enforces kMaxDatagramBytes, and starts pulls over TCP when
/// the digest of a peer differs (anti-entropy).
///
/// The control code drives it with one UDP socket and one timer:
///
///     on datagram:  Handle(gossip.Receive(datagram, from, now));
///     on timer:     Handle(gossip.Tick(now));
///     on pull request:  reply(gossip.AnswerPull(request, now));
///     on pull answer:   Handle(gossip.OfferPull(answer, now));
///     on pull failure:  gossip.FailPull(now);
///     after each event: set the timer to gossip.NextTick().
///
/// Handle sends m_send, starts m_pull when it is set (at most one pull runs at
/// a time), gives Documents().TakeChanged() to the configuration store and
/// Moves().TakeChanged() to the moves, and hands m_evidence to the coordinator.
/// Members(), Documents() and Moves() may be called between events; the
/// datagrams that result go out at the next Tick(), due at NextTick().
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
#include "base/TokenBucket.h"
#include "base/Units.h"
#include "process/Distribution.h"
#include "process/Membership.h"
#include "process/MoveGossip.h"
#include "process/Pull.h"
#include "process/PullSchedule.h"
#include "process/SpreadTree.h"

namespace tarragontray {

struct GossipSettings
{
  MembershipSettings m_membership;
  DistributionSettings m_distribution;
  MoveGossipSettings m_moves;
  PullSettings m_pulls;
  /// Bytes of answers to pulls, per second.
  double m_answerBytesPerSecond = 10'000;
  /// Bytes of answers to pulls that may be sent at once: a full answer to each
  /// child in a spread tree.
  double m_answerBurstBytes = 1'100'000;
};

/// A pull request with its destination.
struct OutgoingPull
{
  NetworkAddress m_peer;
  PullRequest m_request;
};

/// What the caller does after an event.
struct GossipActions
{
  std::vector<OutgoingDatagram> m_send;
  std::optional<OutgoingPull> m_pull;
  /// Received evidence, for the coordinator.
  std::vector<EvidenceReport> m_evidence;
  /// Received usage reports, for the ledger of this data centre.
  std::vector<UsageReport> m_usage;
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
  /// Datagrams dropped because they exceeded kMaxDatagramBytes.
  std::uint64_t m_oversized = 0;
};

/// The gossip protocol of one node.
class Gossip
{
public:
  /// The random source must outlive the result. Errors: InvalidArgument, as
  /// Membership::Create() and Distribution::Create().
  static Result<Gossip> Create(const GossipSettings& aSettings,
                               MemberRecord aSelf,
                               std::vector<NetworkAddress> aSeeds,
                               Random& aRandom);

  GossipActions Receive(const Datagram& aDatagram,
                        const NetworkAddress& aFrom,
                        MonotonicTime aNow);
  GossipActions Tick(MonotonicTime aNow);
  MonotonicTime NextTick() const;

  /// Answers a peer's pull, or refuses it as busy when the budget for answers
  /// is used up.
  PullAnswer AnswerPull(const PullRequest& aRequest, MonotonicTime aNow);
  /// Merges the answer to the running pull.
  GossipActions OfferPull(const PullAnswer& aAnswer, MonotonicTime aNow);
  /// Ends the running pull without an answer.
  void FailPull(MonotonicTime aNow);

  /// False while this node may hold older documents than its predecessor on the
  /// VM had in force: until it has received digests from several peers, and
  /// while one of them reports a higher revision for this VM. Until then the
  /// node is not ready and refuses calls with "not run".
  bool MayServe() const
  {
    return m_members->IsSettled() && !m_documents.IsBelowFloor();
  }

  /// Whether a peer has answered a pull since the start.
  bool HasPulled() const { return m_hasPulled; }
  /// The highest document revision in any peer's digest or confirmation so
  /// far.
  Revision HighestReported() const { return m_highestReported; }

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
  bool IsInOtherCell(const VmId& aVm) const;
  bool IsInOtherDataCentre(const VmId& aVm) const;
  /// Schedules a pull from a peer that is ahead, or first from a neighbour in
  /// this data centre, which is likely to have caught up already.
  void OfferAhead(PullCandidate aCandidate, MonotonicTime aNow);
  /// After a pull from a neighbour that did not have the documents, schedules
  /// one from the peer that has.
  void PullFromFallback(MonotonicTime aNow);
  /// After a failed pull, schedules one from another peer that is ahead.
  void PullFromAnother(MonotonicTime aNow);
  void ReceiveDigest(const Datagram& aDatagram,
                     const NetworkAddress& aFrom,
                     MonotonicTime aNow);
  /// Schedules a pull when the confirmed documents are newer than this node's.
  void ReceiveConfirmation(const Datagram& aDatagram,
                           const NetworkAddress& aFrom,
                           MonotonicTime aNow);
  /// Forwards a datagram along its tree, once for each path.
  void Forward(const Datagram& aDatagram, std::vector<OutgoingDatagram>& aSend);
  /// While joining, pulls from a random member without waiting for a digest.
  void PullWhileJoining(MonotonicTime aNow);
  PullRequest MakeRequest(const PullCandidate& aCandidate) const;
  void FinishActions(GossipActions& aActions, MonotonicTime aNow);
  void FinishDatagrams(std::vector<OutgoingDatagram>& aSend);
  PullAnswer MakeBusyAnswer();

  GossipSettings m_settings;
  /// On the heap, because the other parts hold pointers to it.
  std::unique_ptr<Membership> m_members;
  Distribution m_documents;
  MoveGossip m_moves;
  PullSchedule m_pulls;
  SeenPaths m_seenPaths;
  TokenBucket m_answerBudget;
  GossipCounters m_counters;
  /// True from the start until a pull adds no further member.
  bool m_isCatchingUp = true;
  /// The peer of the running pull, and the tree along which its digest came.
  PullCandidate m_pulling;
  /// The highest revision that each VM has reported in a digest: the floor for
  /// a replacement process on that VM.
  std::map<VmId, Revision> m_reportedRevisions;
  Revision m_highestReported;
  bool m_hasPulled = false;
};

} // namespace tarragontray
