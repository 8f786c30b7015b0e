#include <algorithm>
#include <utility>

#include "process/DatagramSize.h"
#include "process/Membership.h"

namespace tarragontray {

namespace {

/// A tick that is later than this indicates that the process was paused.
constexpr Duration kPauseThreshold = std::chrono::seconds(1);
/// Seeds that a joining node pings in each attempt.
constexpr std::size_t kJoinSeeds = 2;
/// The seed with the longest encoding, to reserve space for a path.
constexpr std::uint32_t kWidestSeed = 0xFFFFFFFF;

} // namespace

MembershipActions
Membership::Tick(MonotonicTime aNow)
{
  MembershipActions actions;
  DetectPause(aNow);
  m_settled = m_joined && aNow - m_joinedAt >= m_settings.m_settleTime;
  m_mayRelay = m_joined && aNow - m_joinedAt >= m_settings.m_relaySettleTime;
  TickAnnouncement(aNow, actions.m_send);
  TickReport(aNow, actions.m_send);
  TickUrgent(aNow, actions.m_send);
  TickRelay(aNow, actions.m_send);
  if (!m_leaving) {
    TickJoin(aNow, actions.m_send);
    TickProbes(aNow, actions.m_send);
    TickSuspicions(aNow, actions.m_send);
    TickContact(aNow, actions.m_send);
  }
  TickConfirmations(aNow, actions.m_send);
  actions.m_changed = std::exchange(m_changed, false);
  return actions;
}

MonotonicTime
Membership::NextTick() const
{
  MonotonicTime next = m_confirmations.NextTick();
  if (!m_leaving) {
    next = std::min({ next,
                      m_prober.NextTick(),
                      m_suspicions.NextTick(),
                      m_contactAt,
                      m_joined ? next : m_joinAt });
  }
  if (!m_urgent.empty()) {
    next = std::min(next, m_urgentAt);
  }
  if (!m_relayed.empty()) {
    next = std::min(next, m_relayedAt);
  }
  next = std::min(next, m_reportAt.value_or(next));
  return m_announcementsLeft > 0 ? std::min(next, m_announceAt) : next;
}

void
Membership::DetectPause(MonotonicTime aNow)
{
  if (!m_started) {
    m_started = true;
    m_startedAt = aNow;
    m_joinedAt = aNow;
    m_contactAt = aNow + m_settings.m_contactInterval;
    m_reconnectAt = aNow + m_settings.m_reconnectInterval;
    m_joinAt = aNow;
    // A random offset spreads the probes of nodes that start together.
    m_prober.Restart(aNow + Duration(m_random->Below(static_cast<std::uint64_t>(
                              m_settings.m_probe.m_interval.count()))));
    return;
  }
  const MonotonicTime expected = NextTick();
  if (expected < aNow - kPauseThreshold) {
    ++m_counters.m_pauses;
    m_prober.Restart(aNow);
    m_suspicions.Postpone(aNow - expected);
  }
}

void
Membership::TickProbes(MonotonicTime aNow, Outgoing& aSend)
{
  if (aNow < m_prober.NextTick()) {
    return;
  }
  const ProbeStep step = m_prober.Tick(aNow, Peers());
  if (step.m_failed) {
    Suspect(*step.m_failed, aNow);
  }
  if (step.m_ping) {
    Ping(*step.m_ping, step.m_number, aSend);
    if (step.m_needsIndirectProbes) {
      RequestIndirectProbes(*step.m_ping, step.m_number, aSend);
    }
  }
}

void
Membership::TickSuspicions(MonotonicTime aNow, Outgoing& aSend)
{
  for (const VmId& vm : m_suspicions.TakeExpired(aNow)) {
    DeclareDead(vm, aNow);
  }
  for (const VmId& vm : m_suspicions.TakeDuePings(aNow)) {
    Ping(vm, m_prober.NextNumber(), aSend);
  }
}

void
Membership::TickUrgent(MonotonicTime aNow, Outgoing& aSend)
{
  if (m_urgent.empty() || aNow < m_urgentAt) {
    return;
  }
  const std::set<VmId> urgent = std::exchange(m_urgent, {});
  for (Datagram& datagram :
       Pack(urgent, SpreadPath{ m_self.m_vm, kWidestSeed })) {
    datagram.m_path = NewPath(SpreadScope::Cell);
    for (const NetworkAddress& child : ChildrenOf(*datagram.m_path)) {
      aSend.push_back({ child, datagram });
    }
  }
  for (const VmId& vm : urgent) {
    ScheduleRepeat(vm, aNow);
  }
}

void
Membership::ScheduleRepeat(const VmId& aVm, MonotonicTime aNow)
{
  const MemberRecord* member = m_table.Find(aVm);
  const bool isLeaving =
    member != nullptr &&
    (member->m_state == NodeState::Dead ||
     member->m_upstream.m_state == UpstreamState::Draining);
  if (isLeaving && m_repeated.insert(aVm).second) {
    MarkUrgent(aVm, m_settings.m_announceInterval, aNow);
  } else {
    m_repeated.erase(aVm);
  }
}

void
Membership::TickReport(MonotonicTime aNow, Outgoing& aSend)
{
  if (!std::exchange(m_reportAt, std::nullopt)) {
    return;
  }
  const std::vector<VmId>& relays = Relays();
  if (relays.empty() || relays.front() == m_self.m_vm) {
    MarkUrgent(m_self.m_vm, m_settings.m_reportDelay, aNow);
    return;
  }
  for (const Datagram& datagram : Pack({ m_self.m_vm }, std::nullopt)) {
    aSend.push_back({ AddressOf(relays.front()), datagram });
  }
}

void
Membership::TickRelay(MonotonicTime aNow, Outgoing& aSend)
{
  if (m_relayed.empty() || aNow < m_relayedAt) {
    return;
  }
  const std::set<VmId> relayed = std::exchange(m_relayed, {});
  const std::optional<std::size_t> rank = RelayRank();
  if (!rank) {
    return;
  }
  // The relays divide the other data centres among themselves. The digests on
  // pings between data centres repair lost datagrams.
  const std::vector<DataCentreId> others = OtherDataCentres();
  const std::size_t relays = Relays().size();
  const std::vector<Datagram> datagrams = Pack(relayed, std::nullopt);
  for (std::size_t i = *rank; i < others.size(); i += relays) {
    const std::optional<VmId> member =
      PickFrom(m_table.InCell(others[i]).m_all);
    for (const Datagram& datagram : datagrams) {
      aSend.push_back({ AddressOf(*member), datagram });
    }
  }
}

void
Membership::TickAnnouncement(MonotonicTime aNow, Outgoing& aSend)
{
  if (m_announcementsLeft == 0 || aNow < m_announceAt) {
    return;
  }
  --m_announcementsLeft;
  m_announceAt = aNow + m_settings.m_announceInterval;
  std::vector<VmId> receivers = Peers();
  for (const DataCentreId& other : OtherDataCentres()) {
    receivers.push_back(*PickFrom(m_table.InCell(other).m_all));
  }
  const std::vector<Datagram> datagrams = Pack({ m_self.m_vm }, std::nullopt);
  for (const VmId& vm : receivers) {
    aSend.push_back({ AddressOf(vm), datagrams.front() });
  }
}

void
Membership::TickContact(MonotonicTime aNow, Outgoing& aSend)
{
  if (aNow < m_contactAt) {
    return;
  }
  m_contactAt = aNow + m_settings.m_contactInterval;
  if (aNow >= m_reconnectAt) {
    Reconnect(aNow, aSend);
  }
  for (; m_seedPingsLeft > 0; --m_seedPingsLeft) {
    PingSeed(aSend);
  }
  const std::optional<std::size_t> rank = RelayRank();
  const std::vector<DataCentreId> others = OtherDataCentres();
  if (!rank || others.empty()) {
    return;
  }
  const std::size_t turn = m_contactTurn++ * m_settings.m_relays + *rank;
  const DataCentreId& other = others[turn % others.size()];
  Ping(*PickFrom(m_table.InCell(other).m_all), m_prober.NextNumber(), aSend);
}

void
Membership::Reconnect(MonotonicTime aNow, Outgoing& aSend)
{
  // Heals a partition in which each side has declared the other dead.
  m_reconnectAt = aNow + (Peers().empty() ? m_settings.m_contactInterval
                                          : m_settings.m_reconnectInterval);
  m_table.ExpireDead(aNow);
  if (const auto dead = PickFrom(m_table.Dead(m_self.m_cell))) {
    Ping(*dead, m_prober.NextNumber(), aSend);
  }
  PingSeed(aSend);
}

void
Membership::TickJoin(MonotonicTime aNow, Outgoing& aSend)
{
  if (m_joined || aNow < m_joinAt) {
    return;
  }
  if (aNow - m_startedAt >= m_settings.m_joinTimeout) {
    MarkJoined(aNow);
    return;
  }
  m_joinAt = aNow + m_settings.m_contactInterval;
  for (std::size_t i = 0; i < std::min(kJoinSeeds, m_seeds.size()); ++i) {
    PingSeed(aSend);
  }
}

void
Membership::PingSeed(Outgoing& aSend)
{
  if (m_seeds.empty()) {
    return;
  }
  const NetworkAddress seed = m_seeds[m_random->Below(m_seeds.size())];
  for (const auto& [vm, member] : Members()) {
    if (member.m_peerAddress == seed && member.m_state == NodeState::Alive &&
        m_joined) {
      return;
    }
  }
  Datagram ping = MakeDatagram(DatagramKind::Ping, m_prober.NextNumber());
  ping.m_members.push_back(m_self);
  aSend.push_back({ seed, std::move(ping) });
}

Datagram
Membership::MakeDatagram(DatagramKind aKind, std::uint32_t aProbe) const
{
  Datagram datagram;
  datagram.m_kind = aKind;
  datagram.m_from = m_self.m_vm;
  datagram.m_probe = aProbe;
  if (aKind == DatagramKind::Ping || aKind == DatagramKind::Ack) {
    datagram.m_digest.emplace().m_members = m_table.Digest();
  }
  return datagram;
}

void
Membership::Ping(const VmId& aVm, std::uint32_t aNumber, Outgoing& aSend)
{
  const MemberRecord* member = m_table.Find(aVm);
  if (member == nullptr) {
    return;
  }
  Datagram ping = MakeDatagram(DatagramKind::Ping, aNumber);
  if (member->m_state != NodeState::Alive) {
    // Informs the member of its suspicion, so that it can refute it.
    ping.m_members.push_back(*member);
  }
  AddUpdates(ping);
  ++m_counters.m_probes;
  aSend.push_back({ member->m_peerAddress, std::move(ping) });
}

void
Membership::SendAck(const Datagram& aDatagram,
                    const NetworkAddress& aFrom,
                    Outgoing& aSend)
{
  Datagram ack = MakeDatagram(DatagramKind::Ack, aDatagram.m_probe);
  const MemberRecord* sender = m_table.Find(aDatagram.m_from);
  if (sender != nullptr && (sender->m_state != NodeState::Alive ||
                            m_table.HasInherited(sender->m_vm))) {
    ack.m_members.push_back(*sender);
  }
  AddUpdates(ack);
  aSend.push_back({ aFrom, std::move(ack) });
}

void
Membership::OnAck(const Datagram& aDatagram, Outgoing& aSend)
{
  m_confirmations.OnAck(aDatagram.m_probe, aDatagram.m_from);
  if (m_prober.OnAck(aDatagram.m_probe)) {
    return;
  }
  if (const auto request = m_indirectProbes.Take(aDatagram.m_probe)) {
    aSend.push_back({ request->m_requester,
                      MakeDatagram(DatagramKind::Ack, request->m_number) });
  }
}

void
Membership::TickConfirmations(MonotonicTime aNow, Outgoing& aSend)
{
  if (aNow < m_confirmations.NextTick()) {
    return;
  }
  for (const VmId& peer : m_confirmations.TakeRound(Peers(), aNow)) {
    Datagram ping = MakeDatagram(DatagramKind::Ping, m_prober.NextNumber());
    ping.m_members.push_back(m_self);
    m_confirmations.OnSent(ping.m_probe, peer);
    aSend.push_back({ AddressOf(peer), std::move(ping) });
  }
}

void
Membership::ProbeOnBehalf(const Datagram& aDatagram,
                          const NetworkAddress& aFrom,
                          Outgoing& aSend)
{
  const std::uint32_t number = m_prober.NextNumber();
  m_indirectProbes.Add(number, { aFrom, aDatagram.m_probe });
  aSend.push_back(
    { aDatagram.m_targetAddress, MakeDatagram(DatagramKind::Ping, number) });
}

void
Membership::RequestIndirectProbes(const VmId& aVm,
                                  std::uint32_t aNumber,
                                  Outgoing& aSend)
{
  std::vector<VmId> helpers = Peers();
  std::erase(helpers, aVm);
  for (std::size_t i = 0; i < m_settings.m_helpers && !helpers.empty(); ++i) {
    const std::size_t pick = m_random->Below(helpers.size());
    Datagram request = MakeDatagram(DatagramKind::IndirectPing, aNumber);
    request.m_target = aVm;
    request.m_targetAddress = AddressOf(aVm);
    aSend.push_back({ AddressOf(helpers[pick]), std::move(request) });
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void
Membership::AddUpdates(Datagram& aDatagram)
{
  DatagramSize size(aDatagram);
  m_updates.Take([&](const VmId& aVm) {
    const MemberRecord* member = m_table.Find(aVm);
    if (member == nullptr) {
      return true;
    }
    if (size.With(*member) > m_settings.m_probeBytes) {
      return false;
    }
    size.Add(*member);
    aDatagram.m_members.push_back(*member);
    return true;
  });
}

std::vector<Datagram>
Membership::Pack(const std::set<VmId>& aVms,
                 const std::optional<SpreadPath>& aPath) const
{
  Datagram empty = MakeDatagram(DatagramKind::Update, 0);
  empty.m_path = aPath;
  std::vector<Datagram> datagrams{ empty };
  DatagramSize size(empty);
  for (const VmId& vm : aVms) {
    const MemberRecord* member = m_table.Find(vm);
    if (member == nullptr) {
      continue;
    }
    if (size.With(*member) > kMaxDatagramBytes) {
      datagrams.push_back(empty);
      size = DatagramSize(empty);
    }
    size.Add(*member);
    datagrams.back().m_members.push_back(*member);
  }
  return datagrams;
}

} // namespace tarragontray
