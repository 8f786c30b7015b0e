#include "process/Membership.h"

#include <algorithm>
#include <utility>

#include "base/Hash.h"

namespace tarragontray {

namespace {

/// Transmissions of an update that came along a tree and has therefore already
/// reached most members.
constexpr std::size_t kTreeTransmissions = 1;
/// Pings sent to seeds at once after SetSeeds().
constexpr std::size_t kMaxSeedPings = 16;

} // namespace

Result<Membership>
Membership::Create(const MembershipSettings& aSettings,
                   MemberRecord aSelf,
                   std::vector<NetworkAddress> aSeeds,
                   Random& aRandom)
{
  if (aSelf.m_vm.IsEmpty() || aSelf.m_dataCentre.IsEmpty() ||
      !aSelf.m_peerAddress.IsSet()) {
    return Error(ErrorCode::InvalidArgument,
                 "membership.create",
                 "",
                 "VM, data centre and peer address are required");
  }
  if (aSelf.m_cell.IsEmpty()) {
    aSelf.m_cell = aSelf.m_dataCentre;
  }
  aSelf.m_state = NodeState::Alive;
  std::erase(aSeeds, aSelf.m_peerAddress);
  return Membership(aSettings, std::move(aSelf), std::move(aSeeds), aRandom);
}

Membership::Membership(const MembershipSettings& aSettings,
                       MemberRecord aSelf,
                       std::vector<NetworkAddress> aSeeds,
                       Random& aRandom)
  : m_settings(aSettings)
  , m_self(std::move(aSelf))
  , m_seeds(std::move(aSeeds))
  , m_random(&aRandom)
  , m_table(aSettings.m_table)
  , m_prober(aSettings.m_probe, aRandom)
  , m_suspicions(aSettings.m_suspicion)
  , m_joined(m_seeds.empty())
{
  m_table.Apply(m_self, MonotonicTime{});
}

void
Membership::SetUpstream(const UpstreamAnnouncement& aUpstream,
                        MonotonicTime aNow)
{
  if (m_leaving || aUpstream == m_self.m_upstream) {
    return;
  }
  m_self.m_upstream = aUpstream;
  ChangeSelf(aNow);
  if (aUpstream.m_state == UpstreamState::Draining) {
    m_announcementsLeft = m_settings.m_announcements;
    m_announceAt = aNow;
  }
}

void
Membership::AddDeparted(const DepartedUpstreams& aDeparted, MonotonicTime aNow)
{
  if (!m_self.m_departed.Merge(aDeparted)) {
    return;
  }
  m_confirmations.Reset();
  ChangeSelf(aNow);
}

void
Membership::Leave(MonotonicTime aNow)
{
  if (m_leaving) {
    return;
  }
  m_leaving = true;
  m_self.m_state = NodeState::Dead;
  ChangeSelf(aNow);
  m_announcementsLeft = m_settings.m_announcements;
  m_announceAt = aNow;
}

MembershipActions
Membership::Receive(const Datagram& aDatagram,
                    const NetworkAddress& aFrom,
                    MonotonicTime aNow)
{
  MembershipActions actions;
  m_suspicions.Extend(aDatagram.m_from, aNow);
  const RecordSource source = SourceOf(aDatagram);
  for (const MemberRecord& record : aDatagram.m_members) {
    Apply(record, source, aNow);
  }
  switch (aDatagram.m_kind) {
    case DatagramKind::Ping:
      SendAck(aDatagram, aFrom, actions.m_send);
      break;
    case DatagramKind::Ack:
      OnAck(aDatagram, actions.m_send);
      break;
    case DatagramKind::IndirectPing:
      ProbeOnBehalf(aDatagram, aFrom, actions.m_send);
      break;
    case DatagramKind::Update:
      break;
  }
  actions.m_changed = std::exchange(m_changed, false);
  return actions;
}

bool
Membership::Merge(const std::vector<MemberRecord>& aRecords,
                  RecordSource aSource,
                  MonotonicTime aNow)
{
  bool changed = false;
  for (const MemberRecord& record : aRecords) {
    changed |= Apply(record, aSource, aNow);
  }
  return changed;
}

void
Membership::SetSeeds(std::vector<NetworkAddress> aSeeds, MonotonicTime aNow)
{
  std::erase(aSeeds, m_self.m_peerAddress);
  m_seeds = std::move(aSeeds);
  m_seedPingsLeft = std::min(m_seeds.size(), kMaxSeedPings);
  m_contactAt = std::min(m_contactAt, aNow);
}

void
Membership::MarkJoined(MonotonicTime aNow)
{
  if (!m_joined) {
    m_joined = true;
    m_joinedAt = aNow;
    Announce(aNow);
  }
}

bool
Membership::Apply(const MemberRecord& aRecord,
                  RecordSource aSource,
                  MonotonicTime aNow)
{
  if (aRecord.m_vm == m_self.m_vm) {
    return ReceiveSelfRecord(aRecord, aNow);
  }
  if (!m_table.Apply(aRecord, aNow)) {
    return false;
  }
  m_changed = true;
  if (aRecord.m_state != NodeState::Suspect) {
    m_suspicions.Clear(aRecord.m_vm);
  } else if (aRecord.m_cell == m_self.m_cell) {
    m_suspicions.Start(aRecord.m_vm, SuspicionSource::Peer, aNow);
  }
  Disseminate(aRecord, aSource, aNow);
  return true;
}

void
Membership::Disseminate(const MemberRecord& aRecord,
                        RecordSource aSource,
                        MonotonicTime aNow)
{
  switch (aSource) {
    case RecordSource::Join:
      return;
    case RecordSource::Tree:
      m_updates.Add(aRecord.m_vm, kTreeTransmissions);
      break;
    case RecordSource::Gossip:
      m_updates.Add(aRecord.m_vm, UpdateTransmissions());
      break;
    case RecordSource::OtherDataCentre:
      m_updates.Add(aRecord.m_vm, kTreeTransmissions);
      MarkUrgent(aRecord.m_vm, m_settings.m_urgentDelay, aNow);
      break;
    case RecordSource::Report:
      m_updates.Add(aRecord.m_vm, kTreeTransmissions);
      MarkUrgent(aRecord.m_vm, m_settings.m_reportDelay, aNow);
      break;
  }
  if (aRecord.m_cell == m_self.m_cell &&
      aRecord.m_state != NodeState::Suspect) {
    MarkRelayed(aRecord.m_vm, aNow);
  }
}

bool
Membership::ReceiveSelfRecord(const MemberRecord& aRecord, MonotonicTime aNow)
{
  AddDeparted(aRecord.m_departed, aNow);
  if (m_leaving || !Supersedes(aRecord, m_self)) {
    return false;
  }
  if (aRecord.m_incarnation > m_self.m_incarnation) {
    // A predecessor on this VM had a clock ahead of this one; outrank it.
    m_self.m_incarnation = aRecord.m_incarnation + Incarnation(1);
    m_self.m_sequence = 0;
  } else {
    ++m_counters.m_refuted;
    m_prober.Penalize();
    m_self.m_sequence = aRecord.m_sequence;
    MarkUrgent(m_self.m_vm, m_settings.m_urgentDelay, aNow);
  }
  ChangeSelf(aNow);
  return false;
}

void
Membership::ChangeSelf(MonotonicTime aNow)
{
  ++m_self.m_sequence;
  m_table.Apply(m_self, aNow);
  m_changed = true;
  if (m_joined) {
    Announce(aNow);
  }
}

void
Membership::Announce(MonotonicTime aNow)
{
  Disseminate(m_self, RecordSource::Gossip, aNow);
  if (m_leaving || m_self.m_upstream.m_state == UpstreamState::Draining) {
    MarkUrgent(m_self.m_vm, m_settings.m_urgentDelay, aNow);
  } else {
    m_reportAt = aNow;
  }
}

void
Membership::Suspect(const VmId& aVm, MonotonicTime aNow)
{
  const MemberRecord* member = m_table.Find(aVm);
  if (member == nullptr || member->m_state == NodeState::Dead) {
    return;
  }
  if (member->m_state == NodeState::Alive) {
    ++m_counters.m_suspected;
    MemberRecord suspect = *member;
    suspect.m_state = NodeState::Suspect;
    Apply(suspect, RecordSource::OtherDataCentre, aNow);
  }
  m_suspicions.Start(aVm, SuspicionSource::OwnProbe, aNow);
}

void
Membership::DeclareDead(const VmId& aVm, MonotonicTime aNow)
{
  const MemberRecord* member = m_table.Find(aVm);
  if (member == nullptr || member->m_state != NodeState::Suspect) {
    return;
  }
  ++m_counters.m_declaredDead;
  MemberRecord dead = *member;
  dead.m_state = NodeState::Dead;
  Apply(dead, RecordSource::OtherDataCentre, aNow);
}

RecordSource
Membership::SourceOf(const Datagram& aDatagram) const
{
  if (aDatagram.m_path) {
    return RecordSource::Tree;
  }
  const MemberRecord* sender = m_table.Find(aDatagram.m_from);
  const bool isInOtherCell =
    sender != nullptr && sender->m_cell != m_self.m_cell;
  if (isInOtherCell) {
    return RecordSource::OtherDataCentre;
  }
  const bool isReport =
    aDatagram.m_kind == DatagramKind::Update && RelayRank() == 0;
  return isReport ? RecordSource::Report : RecordSource::Gossip;
}

void
Membership::MarkUrgent(const VmId& aVm, Duration aDelay, MonotonicTime aNow)
{
  const MonotonicTime due = aNow + aDelay;
  m_urgentAt = m_urgent.empty() ? due : std::min(m_urgentAt, due);
  m_urgent.insert(aVm);
}

void
Membership::MarkRelayed(const VmId& aVm, MonotonicTime aNow)
{
  if (m_relayed.empty()) {
    m_relayedAt = aNow + m_settings.m_relayDelay;
  }
  m_relayed.insert(aVm);
}

std::size_t
Membership::UpdateTransmissions() const
{
  return RetransmitLimit(m_settings.m_retransmitFactor,
                         m_table.InCell(m_self.m_cell).m_all.size());
}

const Membership::Ranks&
Membership::CurrentRanks() const
{
  if (m_ranks.m_generation == m_table.LiveGeneration()) {
    return m_ranks;
  }
  const auto rankOf = [this](const std::vector<VmId>& aRanked) {
    const auto found = std::find(aRanked.begin(), aRanked.end(), m_self.m_vm);
    return found == aRanked.end()
             ? std::optional<std::size_t>()
             : static_cast<std::size_t>(found - aRanked.begin());
  };
  const auto ranked = [this](const LiveMembers& aMembers) {
    return TopRanked("relays", aMembers.m_all, m_settings.m_relays);
  };
  m_ranks.m_generation = m_table.LiveGeneration();
  m_ranks.m_relays = ranked(m_table.InCell(m_self.m_cell));
  m_ranks.m_inCell = rankOf(m_ranks.m_relays);
  const std::vector<VmId> neighbours =
    ranked(m_table.InDataCentre(m_self.m_dataCentre));
  m_ranks.m_inDataCentre = rankOf(neighbours);
  m_ranks.m_firstInDataCentre =
    neighbours.empty() ? m_self.m_vm : neighbours.front();
  return m_ranks;
}

std::optional<VmId>
Membership::RandomMember()
{
  // Prefers this node's data centre, where a pull costs less.
  const std::vector<VmId> peers = Peers();
  const std::vector<DataCentreId> others = OtherDataCentres();
  const bool isLocal =
    !peers.empty() && (others.empty() || m_random->Below(4) != 0);
  if (isLocal || others.empty()) {
    return PickFrom(peers);
  }
  const DataCentreId& other = others[m_random->Below(others.size())];
  return PickFrom(m_table.InCell(other).m_all);
}

std::optional<VmId>
Membership::RandomNeighbour()
{
  std::vector<VmId> neighbours =
    m_table.InDataCentre(m_self.m_dataCentre).m_alive;
  std::erase(neighbours, m_self.m_vm);
  return PickFrom(neighbours);
}

SpreadPath
Membership::NewPath(SpreadScope aScope)
{
  return { m_self.m_vm, static_cast<std::uint32_t>(m_random->Next()), aScope };
}

std::vector<NetworkAddress>
Membership::ChildrenOf(const SpreadPath& aPath) const
{
  const LiveMembers& members = aPath.m_scope == SpreadScope::Cell
                                 ? m_table.InCell(m_self.m_cell)
                                 : m_table.InDataCentre(m_self.m_dataCentre);
  std::vector<NetworkAddress> addresses;
  for (const VmId& child : TreeChildren(aPath,
                                        members.m_alive,
                                        members.m_suspects,
                                        m_self.m_vm,
                                        m_settings.m_fanout)) {
    addresses.push_back(AddressOf(child));
  }
  return addresses;
}

std::optional<std::size_t>
Membership::RelayRank() const
{
  return m_mayRelay ? CurrentRanks().m_inCell : std::nullopt;
}

std::optional<std::size_t>
Membership::WatchRank() const
{
  return m_mayRelay ? CurrentRanks().m_inDataCentre : std::nullopt;
}

NetworkAddress
Membership::AddressOf(const VmId& aVm) const
{
  const MemberRecord* member = m_table.Find(aVm);
  return member == nullptr ? NetworkAddress() : member->m_peerAddress;
}

std::vector<VmId>
Membership::Peers() const
{
  std::vector<VmId> peers = m_table.InCell(m_self.m_cell).m_all;
  std::erase(peers, m_self.m_vm);
  return peers;
}

std::optional<VmId>
Membership::PickFrom(const std::vector<VmId>& aVms)
{
  if (aVms.empty()) {
    return std::nullopt;
  }
  return aVms[m_random->Below(aVms.size())];
}

std::vector<DataCentreId>
Membership::OtherDataCentres() const
{
  std::vector<DataCentreId> others;
  for (const auto& [cell, live] : m_table.LiveByCell()) {
    if (cell != m_self.m_cell) {
      others.push_back(cell);
    }
  }
  return others;
}

} // namespace tarragontray
