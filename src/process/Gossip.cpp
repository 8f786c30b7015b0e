#include "process/Gossip.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "process/DatagramMerge.h"
#include "process/DatagramSize.h"

namespace tarragontray {

namespace {

/// Members that a busy peer returns as alternative peers.
constexpr std::size_t kBusySample = 16;

void
Append(std::vector<OutgoingDatagram>& aInto,
       std::vector<OutgoingDatagram> aFrom)
{
  aInto.insert(aInto.end(),
               std::make_move_iterator(aFrom.begin()),
               std::make_move_iterator(aFrom.end()));
}

} // namespace

Result<Gossip>
Gossip::Create(const GossipSettings& aSettings,
               MemberRecord aSelf,
               std::vector<NetworkAddress> aSeeds,
               Random& aRandom)
{
  Result<Membership> members = Membership::Create(
    aSettings.m_membership, std::move(aSelf), std::move(aSeeds), aRandom);
  if (!members) {
    return members.error();
  }
  auto owned = std::make_unique<Membership>(std::move(members.value()));
  Result<Distribution> documents =
    Distribution::Create(aSettings.m_distribution, *owned, aRandom);
  if (!documents) {
    return documents.error();
  }
  return Gossip(
    aSettings, std::move(owned), std::move(documents.value()), aRandom);
}

Gossip::Gossip(const GossipSettings& aSettings,
               std::unique_ptr<Membership> aMembers,
               Distribution aDocuments,
               Random& aRandom)
  : m_settings(aSettings)
  , m_members(std::move(aMembers))
  , m_documents(std::move(aDocuments))
  , m_moves(aSettings.m_moves, *m_members)
  , m_pulls(aSettings.m_pulls, aRandom)
  , m_answerBudget(aSettings.m_answerBytesPerSecond,
                   aSettings.m_answerBurstBytes)
{
}

GossipActions
Gossip::Receive(const Datagram& aDatagram,
                const NetworkAddress& aFrom,
                MonotonicTime aNow)
{
  GossipActions actions;
  if (aDatagram.m_from == m_members->SelfVm() && !aDatagram.m_path) {
    // Sent by another process on this VM, or by this node itself.
    return actions;
  }
  const ProgressSource source = IsInOtherCell(aDatagram.m_from)
                                  ? ProgressSource::OtherDataCentre
                                  : ProgressSource::Peer;
  MembershipActions members = m_members->Receive(aDatagram, aFrom, aNow);
  actions.m_membersChanged = members.m_changed;
  Append(actions.m_send, std::move(members.m_send));
  m_documents.Receive(aDatagram, aNow);
  m_moves.Merge(aDatagram.m_moves, source, aNow);
  actions.m_evidence = aDatagram.m_evidence;
  actions.m_usage = aDatagram.m_usage;
  Forward(aDatagram, actions.m_send);
  ReceiveDigest(aDatagram, aFrom, aNow);
  FinishActions(actions, aNow);
  return actions;
}

GossipActions
Gossip::Tick(MonotonicTime aNow)
{
  GossipActions actions;
  MembershipActions members = m_members->Tick(aNow);
  actions.m_membersChanged = members.m_changed;
  Append(actions.m_send, std::move(members.m_send));
  Append(actions.m_send, m_documents.Tick(aNow).m_send);
  Append(actions.m_send, m_moves.Tick(aNow));
  PullWhileJoining(aNow);
  FinishActions(actions, aNow);
  return actions;
}

MonotonicTime
Gossip::NextTick() const
{
  return std::min({ m_members->NextTick(),
                    m_documents.NextTick(),
                    m_moves.NextTick(),
                    m_pulls.NextTick() });
}

PullAnswer
Gossip::AnswerPull(const PullRequest& aRequest, MonotonicTime aNow)
{
  if (!m_answerBudget.HasAny(aNow)) {
    ++m_counters.m_pullsRefused;
    return MakeBusyAnswer();
  }
  ++m_counters.m_pullsServed;
  PullAnswer answer;
  const auto reported = m_reportedRevisions.find(aRequest.m_from);
  if (reported != m_reportedRevisions.end()) {
    answer.m_floor = reported->second;
  }
  if (m_members->Table().HasInherited(aRequest.m_from)) {
    answer.m_members.push_back(*m_members->Table().Find(aRequest.m_from));
  }
  if (aRequest.m_members) {
    std::vector<MemberRecord> differing =
      m_members->Table().Differing(*aRequest.m_members);
    std::move(
      differing.begin(), differing.end(), std::back_inserter(answer.m_members));
  }
  if (aRequest.m_documents) {
    PulledDocuments pulled = m_documents.DocumentsFor(aRequest);
    answer.m_documents = std::move(pulled.m_documents);
    answer.m_patches = std::move(pulled.m_patches);
  }
  if (aRequest.m_moves) {
    answer.m_moves = m_moves.MovesFor(*aRequest.m_moves);
  }
  m_answerBudget.Charge(static_cast<double>(EncodedSize(answer)));
  return answer;
}

GossipActions
Gossip::OfferPull(const PullAnswer& aAnswer, MonotonicTime aNow)
{
  GossipActions actions;
  const bool isInOtherCell = IsInOtherCell(m_pulling.m_peer);
  const bool isJoining = m_isCatchingUp;
  RecordSource source =
    isInOtherCell ? RecordSource::OtherDataCentre : RecordSource::Gossip;
  if (isJoining || aAnswer.m_busy) {
    source = RecordSource::Join;
  }
  actions.m_membersChanged = m_members->Merge(aAnswer.m_members, source, aNow);
  if (aAnswer.m_busy) {
    FailPull(aNow);
    return actions;
  }
  m_pulls.Done();
  m_hasPulled = true;
  m_documents.RaiseFloor(aAnswer.m_floor);
  m_members->MarkJoined(aNow);
  // The peer may itself be joining and have only part of the members, so
  // pulls continue until one adds nothing.
  m_isCatchingUp =
    m_isCatchingUp && actions.m_membersChanged && !m_members->IsSettled();
  const bool isSpread = IsInOtherDataCentre(m_pulling.m_peer) && !isJoining;
  DistributionActions documents = m_documents.OfferFromPeer(
    m_pulling.m_peer,
    { aAnswer.m_documents, aAnswer.m_patches },
    isSpread ? DocumentSource::OtherDataCentre : DocumentSource::Peer,
    m_pulling.m_path,
    aNow);
  Append(actions.m_send, std::move(documents.m_send));
  m_moves.Merge(aAnswer.m_moves,
                isInOtherCell && !isJoining ? ProgressSource::OtherDataCentre
                                            : ProgressSource::Peer,
                aNow);
  PullFromFallback(aNow);
  FinishActions(actions, aNow);
  return actions;
}

void
Gossip::FailPull(MonotonicTime aNow)
{
  ++m_counters.m_pullsFailed;
  m_pulls.Failed(aNow);
  PullFromAnother(aNow);
}

void
Gossip::PullFromAnother(MonotonicTime aNow)
{
  const StateDigest mine = Digest();
  const auto isAhead = [&](const auto& aReported) {
    const MemberRecord* peer = m_members->Table().Find(aReported.first);
    return aReported.second > mine.m_documents.m_highest && peer != nullptr &&
           peer->m_state == NodeState::Alive &&
           aReported.first != m_pulling.m_peer;
  };
  // The first one after the peer that failed, so that repeated failures reach
  // every peer.
  auto next = std::find_if(m_reportedRevisions.upper_bound(m_pulling.m_peer),
                           m_reportedRevisions.end(),
                           isAhead);
  if (next == m_reportedRevisions.end()) {
    next = std::find_if(
      m_reportedRevisions.begin(), m_reportedRevisions.end(), isAhead);
  }
  if (next == m_reportedRevisions.end()) {
    return;
  }
  PullCandidate candidate;
  candidate.m_peer = next->first;
  candidate.m_address = m_members->Table().Find(next->first)->m_peerAddress;
  candidate.m_theirs = mine;
  candidate.m_theirs.m_documents.m_highest = next->second;
  candidate.m_isRetry = true;
  m_pulls.Offer(candidate, mine, aNow);
}

StateDigest
Gossip::Digest() const
{
  return { m_members->Table().Digest(),
           m_documents.Table().Digest(),
           m_moves.Digest() };
}

void
Gossip::PullFromFallback(MonotonicTime aNow)
{
  const StateDigest mine = Digest();
  if (!m_pulling.m_fallback || !IsBehind(mine, m_pulling.m_theirs)) {
    return;
  }
  PullCandidate candidate;
  candidate.m_peer = m_pulling.m_fallback->m_vm;
  candidate.m_address = m_pulling.m_fallback->m_address;
  candidate.m_theirs = m_pulling.m_theirs;
  candidate.m_isRetry = true;
  m_pulls.Offer(candidate, mine, aNow);
}

void
Gossip::OfferAhead(PullCandidate aCandidate, MonotonicTime aNow)
{
  // Only relays hear from other cells; they bring documents into their own.
  const bool isInOwnCell = !IsInOtherCell(aCandidate.m_peer);
  const auto neighbour = isInOwnCell && IsInOtherDataCentre(aCandidate.m_peer)
                           ? m_members->RandomNeighbour()
                           : std::nullopt;
  if (neighbour) {
    aCandidate.m_fallback = { aCandidate.m_peer, aCandidate.m_address };
    aCandidate.m_peer = *neighbour;
    aCandidate.m_address = m_members->Table().Find(*neighbour)->m_peerAddress;
  }
  m_pulls.Offer(aCandidate, Digest(), aNow);
}

bool
Gossip::IsInOtherDataCentre(const VmId& aVm) const
{
  const MemberRecord* member = m_members->Table().Find(aVm);
  return member != nullptr &&
         member->m_dataCentre != m_members->Self().m_dataCentre;
}

bool
Gossip::IsInOtherCell(const VmId& aVm) const
{
  const MemberRecord* member = m_members->Table().Find(aVm);
  return member != nullptr && member->m_cell != m_members->Self().m_cell;
}

void
Gossip::ReceiveDigest(const Datagram& aDatagram,
                      const NetworkAddress& aFrom,
                      MonotonicTime aNow)
{
  if (aDatagram.m_confirmed) {
    ReceiveConfirmation(aDatagram, aFrom, aNow);
  }
  if (!aDatagram.m_digest) {
    return;
  }
  if (m_members->Table().Find(aDatagram.m_from) != nullptr) {
    Revision& reported = m_reportedRevisions[aDatagram.m_from];
    reported = std::max(reported, aDatagram.m_digest->m_documents.m_highest);
    m_highestReported = std::max(m_highestReported, reported);
  }
  PullCandidate candidate;
  candidate.m_peer = aDatagram.m_from;
  candidate.m_address = aFrom;
  candidate.m_theirs = *aDatagram.m_digest;
  candidate.m_path = aDatagram.m_path;
  candidate.m_isJoining = !m_members->IsSettled();
  const StateDigest mine = Digest();
  const bool isAhead = !candidate.m_path && !candidate.m_isJoining &&
                       IsBehind(mine, candidate.m_theirs);
  if (isAhead) {
    OfferAhead(std::move(candidate), aNow);
  } else {
    m_pulls.Offer(candidate, mine, aNow);
  }
}

void
Gossip::ReceiveConfirmation(const Datagram& aDatagram,
                            const NetworkAddress& aFrom,
                            MonotonicTime aNow)
{
  m_highestReported =
    std::max(m_highestReported, aDatagram.m_confirmed->m_highest);
  PullCandidate candidate;
  candidate.m_theirs = Digest();
  if (aDatagram.m_confirmed->m_highest <=
      candidate.m_theirs.m_documents.m_highest) {
    return;
  }
  candidate.m_theirs.m_documents = *aDatagram.m_confirmed;
  const MemberRecord* root =
    aDatagram.m_path ? m_members->Table().Find(aDatagram.m_path->m_root)
                     : nullptr;
  candidate.m_peer = root != nullptr ? root->m_vm : aDatagram.m_from;
  candidate.m_address = root != nullptr ? root->m_peerAddress : aFrom;
  OfferAhead(std::move(candidate), aNow);
}

void
Gossip::Forward(const Datagram& aDatagram, std::vector<OutgoingDatagram>& aSend)
{
  if (!aDatagram.m_path || !m_seenPaths.Insert(*aDatagram.m_path)) {
    return;
  }
  Datagram forwarded = aDatagram;
  forwarded.m_from = m_members->SelfVm();
  // A node that lacks documents of the digest forwards the digest to its
  // children only after its own pull.
  const bool isBehind =
    aDatagram.m_digest && aDatagram.m_digest->m_documents.m_highest >
                            m_documents.Table().Digest().m_highest;
  if (isBehind) {
    forwarded.m_digest.reset();
  }
  const bool isEmpty = !forwarded.m_digest && !forwarded.m_confirmed &&
                       forwarded.m_members.empty() &&
                       forwarded.m_documents.empty() &&
                       forwarded.m_moves.empty();
  if (isEmpty) {
    return;
  }
  for (const NetworkAddress& child : m_members->ChildrenOf(*aDatagram.m_path)) {
    aSend.push_back({ child, forwarded });
  }
}

void
Gossip::PullWhileJoining(MonotonicTime aNow)
{
  m_isCatchingUp = m_isCatchingUp && !m_members->IsSettled();
  if (!m_isCatchingUp || m_members->IsLeaving()) {
    return;
  }
  if (const std::optional<VmId> member = m_members->RandomMember()) {
    // A digest that differs from this node's in each part, so that the pull
    // requests everything.
    StateDigest unknown = Digest();
    ++unknown.m_members;
    ++unknown.m_documents.m_hash;
    ++unknown.m_moves;
    const NetworkAddress address =
      m_members->Table().Find(*member)->m_peerAddress;
    PullCandidate candidate;
    candidate.m_peer = *member;
    candidate.m_address = address;
    candidate.m_theirs = unknown;
    candidate.m_isJoining = true;
    m_pulls.Offer(candidate, Digest(), aNow);
  }
}

PullRequest
Gossip::MakeRequest(const PullCandidate& aCandidate) const
{
  const StateDigest mine = Digest();
  const StateDigest& theirs = aCandidate.m_theirs;
  PullRequest request;
  request.m_from = m_members->SelfVm();
  // When this node is behind in documents, member changes are usually still in
  // transit as well, and need no pull.
  const bool asksMembers = aCandidate.m_isJoining || !IsBehind(mine, theirs);
  if (asksMembers && theirs.m_members != mine.m_members) {
    request.m_members = m_members->Table().Buckets();
  }
  if (theirs.m_documents != mine.m_documents) {
    request.m_documents = m_documents.Table().Buckets();
    request.m_held = m_documents.HeldLarge();
  }
  if (theirs.m_moves != mine.m_moves) {
    request.m_moves = mine.m_moves;
  }
  return request;
}

void
Gossip::FinishActions(GossipActions& aActions, MonotonicTime aNow)
{
  if (const auto candidate = m_pulls.Take(Digest(), aNow)) {
    ++m_counters.m_pulls;
    m_pulling = *candidate;
    aActions.m_pull =
      OutgoingPull{ candidate->m_address, MakeRequest(*candidate) };
  }
  FinishDatagrams(aActions.m_send);
  aActions.m_documentsChanged = m_documents.HasChanged();
  aActions.m_movesChanged = m_moves.HasChanged();
}

void
Gossip::FinishDatagrams(std::vector<OutgoingDatagram>& aSend)
{
  aSend = MergeDatagrams(std::move(aSend));
  const StateDigest digest = Digest();
  for (OutgoingDatagram& outgoing : aSend) {
    Datagram& datagram = outgoing.m_datagram;
    if (datagram.m_digest) {
      datagram.m_digest = digest;
    }
    if (datagram.m_kind != DatagramKind::Update) {
      m_moves.Fill(datagram);
    }
  }
  m_counters.m_oversized += std::erase_if(aSend, [](const auto& aOutgoing) {
    return EncodedSize(aOutgoing.m_datagram) > kMaxDatagramBytes;
  });
}

PullAnswer
Gossip::MakeBusyAnswer()
{
  PullAnswer answer;
  answer.m_busy = true;
  for (std::size_t i = 0; i < kBusySample; ++i) {
    if (const std::optional<VmId> member = m_members->RandomMember()) {
      answer.m_members.push_back(*m_members->Table().Find(*member));
    }
  }
  return answer;
}

} // namespace tarragontray
