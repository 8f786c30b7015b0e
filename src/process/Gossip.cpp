#include "process/Gossip.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "process/DatagramMerge.h"
#include "process/DatagramSize.h"

namespace tarragontray {

namespace {

/// Members named in the answer of a busy peer.
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
  , m_served(aSettings.m_answerBytesPerSecond, aSettings.m_answerBurstBytes)
{
}

GossipActions
Gossip::Receive(const Datagram& aDatagram,
                const NetworkAddress& aFrom,
                MonotonicTime aNow)
{
  GossipActions actions;
  if (aDatagram.m_from == m_members->SelfVm() && !aDatagram.m_path) {
    // A replacement of this VM, or this node's own datagram come back.
    return actions;
  }
  const ProgressSource source = IsForeign(aDatagram.m_from)
                                  ? ProgressSource::OtherDataCentre
                                  : ProgressSource::Peer;
  MembershipActions members = m_members->Receive(aDatagram, aFrom, aNow);
  actions.m_membersChanged = members.m_changed;
  Append(actions.m_send, std::move(members.m_send));
  m_documents.Receive(aDatagram, aNow);
  m_moves.Merge(aDatagram.m_moves, source, aNow);
  actions.m_evidence = aDatagram.m_evidence;
  Forward(aDatagram, actions.m_send);
  ReceiveDigest(aDatagram, aFrom, aNow);
  Finish(actions, aNow);
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
  Finish(actions, aNow);
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
  if (!m_served.HasAny(aNow)) {
    ++m_counters.m_pullsRefused;
    return BusyAnswer();
  }
  ++m_counters.m_pullsServed;
  PullAnswer answer;
  const auto heard = m_reportedRevisions.find(aRequest.m_from);
  if (heard != m_reportedRevisions.end()) {
    answer.m_floor = heard->second;
  }
  if (aRequest.m_members) {
    answer.m_members = m_members->Table().Differing(*aRequest.m_members);
  }
  if (aRequest.m_documents) {
    answer.m_documents = m_documents.DocumentsFor(*aRequest.m_documents);
  }
  if (aRequest.m_moves) {
    answer.m_moves = m_moves.MovesFor(*aRequest.m_moves);
  }
  m_served.Charge(static_cast<double>(EncodedSize(answer)));
  return answer;
}

GossipActions
Gossip::OfferPull(const PullAnswer& aAnswer, MonotonicTime aNow)
{
  GossipActions actions;
  const bool isForeign = IsForeign(m_pulling.m_peer);
  const bool isJoining = m_isCatchingUp;
  RecordSource source =
    isForeign ? RecordSource::OtherDataCentre : RecordSource::Gossip;
  if (isJoining || aAnswer.m_busy) {
    source = RecordSource::Join;
  }
  actions.m_membersChanged = m_members->Merge(aAnswer.m_members, source, aNow);
  if (aAnswer.m_busy) {
    FailPull(aNow);
    return actions;
  }
  m_pulls.Done();
  m_documents.RaiseFloor(aAnswer.m_floor);
  m_members->MarkJoined(aNow);
  // Peers that start themselves know only a part: go on until one adds nothing.
  m_isCatchingUp =
    m_isCatchingUp && actions.m_membersChanged && !m_members->IsSettled();
  const bool isSpread = isForeign && !isJoining;
  DistributionActions documents = m_documents.OfferFromPeer(
    m_pulling.m_peer,
    aAnswer.m_documents,
    isSpread ? DocumentSource::OtherDataCentre : DocumentSource::Peer,
    m_pulling.m_path,
    aNow);
  Append(actions.m_send, std::move(documents.m_send));
  m_moves.Merge(aAnswer.m_moves,
                isSpread ? ProgressSource::OtherDataCentre
                         : ProgressSource::Peer,
                aNow);
  Finish(actions, aNow);
  return actions;
}

void
Gossip::FailPull(MonotonicTime aNow)
{
  ++m_counters.m_pullsFailed;
  m_pulls.Failed(aNow);
}

StateDigest
Gossip::Digest() const
{
  return { m_members->Table().Digest(),
           m_documents.Table().Digest(),
           m_moves.Digest() };
}

bool
Gossip::IsForeign(const VmId& aVm) const
{
  const MemberRecord* member = m_members->Table().Find(aVm);
  return member != nullptr && member->m_cell != m_members->Self().m_cell;
}

void
Gossip::ReceiveDigest(const Datagram& aDatagram,
                      const NetworkAddress& aFrom,
                      MonotonicTime aNow)
{
  if (!aDatagram.m_digest) {
    return;
  }
  if (m_members->Table().Find(aDatagram.m_from) != nullptr) {
    Revision& heard = m_reportedRevisions[aDatagram.m_from];
    heard = std::max(heard, aDatagram.m_digest->m_documents.m_highest);
  }
  m_pulls.Offer({ aDatagram.m_from,
                  aFrom,
                  *aDatagram.m_digest,
                  aDatagram.m_path,
                  !m_members->IsSettled() },
                Digest(),
                aNow);
}

void
Gossip::Forward(const Datagram& aDatagram, std::vector<OutgoingDatagram>& aSend)
{
  if (!aDatagram.m_path || !m_seenPaths.Insert(*aDatagram.m_path)) {
    return;
  }
  Datagram forwarded = aDatagram;
  forwarded.m_from = m_members->SelfVm();
  // Who does not have the documents behind the digest tells its children
  // after its own pull.
  const bool isBehind =
    aDatagram.m_digest && aDatagram.m_digest->m_documents.m_highest >
                            m_documents.Table().Digest().m_highest;
  if (isBehind) {
    forwarded.m_digest.reset();
  }
  const bool isEmpty = !forwarded.m_digest && forwarded.m_members.empty() &&
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
    // A digest that no state has, so that all is asked for.
    StateDigest unknown = Digest();
    ++unknown.m_members;
    ++unknown.m_documents.m_hash;
    ++unknown.m_moves;
    const NetworkAddress address =
      m_members->Table().Find(*member)->m_peerAddress;
    m_pulls.Offer(
      { *member, address, unknown, std::nullopt, true }, Digest(), aNow);
  }
}

PullRequest
Gossip::MakeRequest(const PullCandidate& aCandidate) const
{
  const StateDigest mine = Digest();
  const StateDigest& theirs = aCandidate.m_theirs;
  PullRequest request;
  request.m_from = m_members->SelfVm();
  // Members that differ while documents are on their way are mostly news that
  // is on its way, too.
  const bool asksMembers = aCandidate.m_isJoining || !IsBehind(mine, theirs);
  if (asksMembers && theirs.m_members != mine.m_members) {
    request.m_members = m_members->Table().Buckets();
  }
  if (theirs.m_documents != mine.m_documents) {
    request.m_documents = m_documents.Table().Buckets();
  }
  if (theirs.m_moves != mine.m_moves) {
    request.m_moves = mine.m_moves;
  }
  return request;
}

void
Gossip::Finish(GossipActions& aActions, MonotonicTime aNow)
{
  if (const auto candidate = m_pulls.Take(Digest(), aNow)) {
    ++m_counters.m_pulls;
    m_pulling = *candidate;
    aActions.m_pull =
      OutgoingPull{ candidate->m_address, MakeRequest(*candidate) };
  }
  Complete(aActions.m_send);
  aActions.m_documentsChanged = m_documents.HasChanged();
  aActions.m_movesChanged = m_moves.HasChanged();
}

void
Gossip::Complete(std::vector<OutgoingDatagram>& aSend)
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
Gossip::BusyAnswer()
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
