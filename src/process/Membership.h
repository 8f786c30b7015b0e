/// \file
/// Which VMs there are, which of their nodes live, and what upstreams they run.
///
/// Inside a data centre nodes probe each other (process/Prober.h) and a member
/// that does not answer is suspected, then dead (process/Suspicions.h). A
/// suspected node refutes by raising its record's sequence: (incarnation,
/// sequence) takes the part of SWIM's incarnation number, and the incarnation
/// names one run of the process. Between data centres relays pass the changes
/// of their own members on; a relay is one of the top-ranked live members by
/// rendezvous hash, a soft role.
///
/// Update travels three ways: urgent changes go along a tree over the data
/// centre at once (process/SpreadTree.h), all changes ride on probes a bounded
/// number of times (process/UpdateQueue.h), and digests on probes start a pull
/// that repairs what was lost (process/PullSchedule.h).
///
///     Result<Membership> made =
///       Membership::Create(settings, self, seeds, random);
///     MembershipActions actions = made.value().Tick(now);
///     for (const OutgoingDatagram& datagram : actions.m_send) { ... }
///
/// process/Gossip.h wires this class to one UDP socket with the other parts,
/// and forwards along trees.
///
/// Thread safety: one thread (control) for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Random.h"
#include "base/Result.h"
#include "base/Units.h"
#include "process/Datagram.h"
#include "process/IndirectProbes.h"
#include "process/MemberTable.h"
#include "process/Prober.h"
#include "process/SpreadTree.h"
#include "process/Suspicions.h"
#include "process/UpdateQueue.h"

namespace tarragontray {

struct MembershipSettings
{
  ProbeSettings m_probe;
  SuspicionSettings m_suspicion;
  MemberTableSettings m_table;
  /// Members that are asked to probe on behalf of a node.
  std::size_t m_helpers = 3;
  /// Relays in each data centre.
  std::size_t m_relays = 3;
  /// Children of a node in a spread tree.
  std::size_t m_fanout = 4;
  /// Times log10(members) that news rides on probes.
  std::size_t m_retransmitFactor = 3;
  /// Up to this size news is added to a probe.
  std::size_t m_probeBytes = 500;
  /// Collects urgent changes into one datagram.
  Duration m_urgentDelay = std::chrono::milliseconds(20);
  /// Collects what members report to the relay of rank 0, in the same way: a
  /// herd that starts costs one tree for many records.
  Duration m_reportDelay = std::chrono::milliseconds(400);
  /// Collects changes for other data centres.
  Duration m_relayDelay = std::chrono::milliseconds(100);
  /// Between a relay's contacts with other data centres.
  Duration m_contactInterval = std::chrono::seconds(1);
  /// Between tries to reach dead members and silent seeds.
  Duration m_reconnectInterval = std::chrono::seconds(10);
  /// A node that hears nobody for so long goes on alone.
  Duration m_joinTimeout = std::chrono::seconds(5);
  /// After joining, until this node may count itself as a relay: by then it
  /// knows the others.
  Duration m_relaySettleTime = std::chrono::milliseconds(1000);
  /// The same until it may serve: by then it has heard several peers' digests.
  Duration m_settleTime = std::chrono::seconds(2);
  /// How often a drain or a leave is sent to all peers, and how far apart.
  std::size_t m_announcements = 3;
  Duration m_announceInterval = std::chrono::milliseconds(400);
};

/// What the caller does after an event.
struct MembershipActions
{
  std::vector<OutgoingDatagram> m_send;
  /// A record changed.
  bool m_changed = false;
};

struct MembershipCounters
{
  std::uint64_t m_probes = 0;
  std::uint64_t m_suspected = 0;
  std::uint64_t m_declaredDead = 0;
  /// Wrong suspicions of this node that it refuted.
  std::uint64_t m_refuted = 0;
  /// Times that this node noticed that it had not run.
  std::uint64_t m_pauses = 0;
};

/// Where records came from; decides how they are passed on.
enum class RecordSource
{
  /// Along a tree: the tree covers the data centre.
  Tree,
  /// From the member itself, for the relay to send along a tree with others.
  Report,
  /// On a probe, or by a pull, within the data centre.
  Gossip,
  /// From another data centre.
  OtherDataCentre,
  /// The first pull after a start: everybody else knows all of it.
  Join,
};

/// The membership as one node sees it.
class Membership final : public SpreadTopology
{
public:
  /// \param aSelf its incarnation is wall-clock based, so that a replacement
  /// of a VM outranks its forerunner. The random source outlives the result.
  /// Errors: InvalidArgument for a missing VM, data centre or peer address.
  static Result<Membership> Create(const MembershipSettings& aSettings,
                                   MemberRecord aSelf,
                                   std::vector<NetworkAddress> aSeeds,
                                   Random& aRandom);

  /// Takes what the upstream announced. A drain goes to all peers at once.
  void SetUpstream(const UpstreamAnnouncement& aUpstream, MonotonicTime aNow);
  /// Nodes to join by, found after the start.
  void SetSeeds(std::vector<NetworkAddress> aSeeds, MonotonicTime aNow);
  /// Announces that this node stops; it probes no longer from then on.
  void Leave(MonotonicTime aNow);

  MembershipActions Receive(const Datagram& aDatagram,
                            const NetworkAddress& aFrom,
                            MonotonicTime aNow);
  MembershipActions Tick(MonotonicTime aNow);
  MonotonicTime NextTick() const;

  /// Takes records from a pull; what is to be passed on goes out by Tick.
  /// True when a record changed.
  bool Merge(const std::vector<MemberRecord>& aRecords,
             RecordSource aSource,
             MonotonicTime aNow);
  /// The first pull is done: this node makes itself known.
  void MarkJoined(MonotonicTime aNow);

  const std::map<VmId, MemberRecord>& Members() const
  {
    return m_table.Members();
  }
  const MemberTable& Table() const { return m_table; }
  const MemberRecord& Self() const { return m_self; }
  bool IsJoined() const { return m_joined; }
  /// Joined for long enough to have heard several peers.
  bool IsSettled() const { return m_settled; }
  bool IsLeaving() const { return m_leaving; }
  /// The relays of this data centre, highest rank first.
  std::vector<VmId> Relays() const;
  /// A live member other than this node, of any data centre.
  std::optional<VmId> RandomMember();
  const MembershipCounters& Counters() const { return m_counters; }
  std::size_t LocalHealth() const { return m_prober.LocalHealth(); }

  SpreadPath NewPath() override;
  std::vector<NetworkAddress> ChildrenOf(
    const SpreadPath& aPath) const override;
  std::optional<std::size_t> RelayRank() const override;
  const VmId& SelfVm() const override { return m_self.m_vm; }

private:
  Membership(const MembershipSettings& aSettings,
             MemberRecord aSelf,
             std::vector<NetworkAddress> aSeeds,
             Random& aRandom);

  /// \name Records
  /// \{
  bool Apply(const MemberRecord& aRecord,
             RecordSource aSource,
             MonotonicTime aNow);
  void Disseminate(const MemberRecord& aRecord,
                   RecordSource aSource,
                   MonotonicTime aNow);
  bool ReceiveSelfRecord(const MemberRecord& aRecord, MonotonicTime aNow);
  void ChangeSelf(MonotonicTime aNow);
  void Suspect(const VmId& aVm, MonotonicTime aNow);
  void DeclareDead(const VmId& aVm, MonotonicTime aNow);
  RecordSource SourceOf(const Datagram& aDatagram) const;
  void MarkUrgent(const VmId& aVm, Duration aDelay, MonotonicTime aNow);
  void Announce(MonotonicTime aNow);
  void MarkRelayed(const VmId& aVm, MonotonicTime aNow);
  std::size_t UpdateTransmissions() const;
  /// \}

  /// \name Sending
  /// \{
  using Sends = std::vector<OutgoingDatagram>;

  Datagram Make(DatagramKind aKind, std::uint32_t aProbe) const;
  void Ping(const VmId& aVm, std::uint32_t aNumber, Sends& aSend);
  void Answer(const Datagram& aDatagram,
              const NetworkAddress& aFrom,
              Sends& aSend);
  void ProbeOnBehalf(const Datagram& aDatagram,
                     const NetworkAddress& aFrom,
                     Sends& aSend);
  void OnAck(const Datagram& aDatagram, Sends& aSend);
  void RequestIndirectProbes(const VmId& aVm,
                             std::uint32_t aNumber,
                             Sends& aSend);
  void AddUpdates(Datagram& aDatagram);
  /// Update datagrams that hold the records, with room for the path.
  std::vector<Datagram> Pack(const std::set<VmId>& aVms,
                             const std::optional<SpreadPath>& aPath) const;
  /// \}

  /// \name Periodic work
  /// \{
  void DetectPause(MonotonicTime aNow);
  void TickProbes(MonotonicTime aNow, Sends& aSend);
  void TickSuspicions(MonotonicTime aNow, Sends& aSend);
  void TickUrgent(MonotonicTime aNow, Sends& aSend);
  /// Sends the record of a member that leaves along a second tree.
  void ScheduleRepeat(const VmId& aVm, MonotonicTime aNow);
  void TickReport(MonotonicTime aNow, Sends& aSend);
  void TickRelay(MonotonicTime aNow, Sends& aSend);
  void TickAnnouncement(MonotonicTime aNow, Sends& aSend);
  void TickContact(MonotonicTime aNow, Sends& aSend);
  void TickJoin(MonotonicTime aNow, Sends& aSend);
  void Reconnect(MonotonicTime aNow, Sends& aSend);
  void PingSeed(Sends& aSend);
  /// \}

  NetworkAddress AddressOf(const VmId& aVm) const;
  std::vector<VmId> Peers() const;
  std::optional<VmId> PickFrom(const std::vector<VmId>& aVms);
  std::vector<DataCentreId> OtherDataCentres() const;

  MembershipSettings m_settings;
  MemberRecord m_self;
  std::vector<NetworkAddress> m_seeds;
  Random* m_random;
  MemberTable m_table;
  Prober m_prober;
  Suspicions m_suspicions;
  IndirectProbes m_indirectProbes;
  UpdateQueue<VmId> m_news;
  MembershipCounters m_counters;

  bool m_started = false;
  bool m_joined = false;
  bool m_settled = false;
  bool m_mayRelay = false;
  /// Set when the own record is to be reported to the relay.
  std::optional<MonotonicTime> m_reportAt;
  bool m_leaving = false;
  bool m_changed = false;
  MonotonicTime m_startedAt{};
  MonotonicTime m_joinedAt{};
  /// Changed records for the tree, and when they go out.
  std::set<VmId> m_urgent;
  MonotonicTime m_urgentAt{};
  /// Those that go along a second tree next.
  std::set<VmId> m_repeated;
  /// Changed records for other data centres, and when they go out.
  std::set<VmId> m_relayed;
  MonotonicTime m_relayedAt{};
  std::size_t m_announcementsLeft = 0;
  MonotonicTime m_announceAt{};
  MonotonicTime m_contactAt{};
  /// Seeds still to be greeted.
  std::size_t m_seedPingsLeft = 0;
  std::size_t m_contactTurn = 0;
  MonotonicTime m_reconnectAt{};
  MonotonicTime m_joinAt{};
};

} // namespace tarragontray
