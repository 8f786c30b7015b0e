/// \file
/// Group membership: the known VMs, the liveness of their nodes and the
/// upstreams that run on them.
///
/// Within a data centre, nodes probe each other (process/Prober.h); a member
/// that does not answer is first suspected and then declared dead
/// (process/Suspicions.h). A suspected node refutes the suspicion by
/// incrementing the sequence of its record: (incarnation, sequence) serves as
/// SWIM's incarnation number, and the incarnation identifies one run of the
/// process. Between data centres, relays forward the changes of their own
/// members. The relays are the top-ranked live members by rendezvous hashing,
/// a soft role that needs no agreement.
///
/// Updates spread in three ways: urgent changes go along a tree over the data
/// centre at once (process/SpreadTree.h), all changes are piggybacked on probes
/// a bounded number of times (process/UpdateQueue.h), and differing digests on
/// probes start a pull that repairs losses (process/PullSchedule.h).
///
///     Result<Membership> made =
///       Membership::Create(settings, self, seeds, random);
///     MembershipActions actions = made.value().Tick(now);
///     for (const OutgoingDatagram& datagram : actions.m_send) { ... }
///
/// process/Gossip.h connects this class and the other parts of the protocol to
/// one UDP socket, and forwards datagrams along trees.
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
#include "process/RecordConfirmations.h"
#include "process/SpreadTree.h"
#include "process/Suspicions.h"
#include "process/UpdateQueue.h"

namespace tarragontray {

struct MembershipSettings
{
  ProbeSettings m_probe;
  SuspicionSettings m_suspicion;
  MemberTableSettings m_table;
  /// Members that are asked for an indirect probe of an unresponsive member.
  std::size_t m_helpers = 3;
  /// Relays in each cell.
  std::size_t m_relays = 3;
  /// Children of a node in a spread tree.
  std::size_t m_fanout = 4;
  /// An update is piggybacked this many times log10(members).
  std::size_t m_retransmitFactor = 3;
  /// Updates are added to a probe up to this encoded size.
  std::size_t m_probeBytes = 500;
  /// How long urgent changes are batched before they are sent along a tree.
  Duration m_urgentDelay = std::chrono::milliseconds(20);
  /// How long the relay of rank 0 batches the reports of its members, so that
  /// many nodes that start together need only one tree.
  Duration m_reportDelay = std::chrono::milliseconds(400);
  /// How long changes for other data centres are batched.
  Duration m_relayDelay = std::chrono::milliseconds(100);
  /// Interval between a relay's pings to other data centres.
  Duration m_contactInterval = std::chrono::seconds(1);
  /// Interval between attempts to reach dead members and unresponsive seeds.
  Duration m_reconnectInterval = std::chrono::seconds(10);
  /// A node that reaches no peer within this time after its start continues
  /// alone.
  Duration m_joinTimeout = std::chrono::seconds(5);
  /// Time after joining until this node may act as a relay. By then it knows
  /// the other members and computes the same ranking.
  Duration m_relaySettleTime = std::chrono::milliseconds(1000);
  /// Time after joining until this node may serve. By then it has received
  /// digests from several peers.
  Duration m_settleTime = std::chrono::seconds(2);
  /// How many times a drain or a leave is sent to all peers, and the interval
  /// between these.
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
  /// Detected pauses of this process, such as a suspended VM.
  std::uint64_t m_pauses = 0;
};

/// The source of received records. Determines how they are disseminated.
enum class RecordSource
{
  /// A spread tree, which already covers the data centre.
  Tree,
  /// A report from the member itself to the relay of rank 0, which batches
  /// reports and sends them along a tree.
  Report,
  /// A probe or a pull within the data centre.
  Gossip,
  /// A datagram or a pull from another data centre.
  OtherDataCentre,
  /// A pull while joining, or the sample of a busy peer. Not disseminated,
  /// because peers already have these records.
  Join,
};

/// One node's view of the membership.
class Membership final : public SpreadTopology
{
public:
  /// \param aSelf this node's record. Its incarnation is derived from the wall
  /// clock, so that a replacement process outranks its predecessor on the VM.
  /// The random source must outlive the result.
  /// Errors: InvalidArgument for a missing VM, data centre or peer address.
  static Result<Membership> Create(const MembershipSettings& aSettings,
                                   MemberRecord aSelf,
                                   std::vector<NetworkAddress> aSeeds,
                                   Random& aRandom);

  /// Publishes the announcement of this VM's upstream. A drain is sent to all
  /// peers directly.
  void SetUpstream(const UpstreamAnnouncement& aUpstream, MonotonicTime aNow);
  /// Adds upstream processes of this VM that have announced their end to this
  /// node's record. Those that peers know in addition, from an earlier process
  /// of this node, appear in Self().m_departed.
  void AddDeparted(const DepartedUpstreams& aDeparted, MonotonicTime aNow);
  /// While needed, peers are asked to confirm that they hold this node's record
  /// with its departed upstreams.
  void NeedConfirmations(ConfirmationNeed aNeed, MonotonicTime aNow)
  {
    m_confirmations.SetNeed(aNeed, aNow);
  }
  /// Whether a majority of the live peers of the cell has confirmed the record,
  /// and has thereby told this node what its predecessor knew.
  bool IsConfirmed() const { return m_confirmations.HasMajority(Peers()); }
  /// Whether another live node of the cell is known.
  bool HasPeers() const { return !Peers().empty(); }
  /// Replaces the seeds, the addresses of nodes through which to join.
  void SetSeeds(std::vector<NetworkAddress> aSeeds, MonotonicTime aNow);
  /// Announces that this node is shutting down, and stops probing.
  void Leave(MonotonicTime aNow);

  MembershipActions Receive(const Datagram& aDatagram,
                            const NetworkAddress& aFrom,
                            MonotonicTime aNow);
  MembershipActions Tick(MonotonicTime aNow);
  MonotonicTime NextTick() const;

  /// Merges records from a pull; Tick() sends the resulting updates. Returns
  /// true when a record changed.
  bool Merge(const std::vector<MemberRecord>& aRecords,
             RecordSource aSource,
             MonotonicTime aNow);
  /// Call when the first pull has succeeded: this node announces its record.
  void MarkJoined(MonotonicTime aNow);

  const std::map<VmId, MemberRecord>& Members() const
  {
    return m_table.Members();
  }
  const MemberTable& Table() const { return m_table; }
  const MemberRecord& Self() const { return m_self; }
  bool IsJoined() const { return m_joined; }
  /// True when the node joined at least m_settleTime ago and has therefore
  /// received digests from several peers.
  bool IsSettled() const { return m_settled; }
  bool IsLeaving() const { return m_leaving; }
  /// The relays of this node's cell, highest rank first. Valid until the next
  /// change.
  const std::vector<VmId>& Relays() const { return CurrentRanks().m_relays; }
  /// The first by rank of the nodes of this data centre.
  const VmId& FirstInDataCentre() const
  {
    return CurrentRanks().m_firstInDataCentre;
  }
  /// A random live member of this node's data centre other than this node.
  std::optional<VmId> RandomNeighbour();
  /// A random live member other than this node, of any data centre.
  std::optional<VmId> RandomMember();
  const MembershipCounters& Counters() const { return m_counters; }
  std::size_t LocalHealth() const { return m_prober.LocalHealth(); }

  SpreadPath NewPath(SpreadScope aScope) override;
  std::vector<NetworkAddress> ChildrenOf(
    const SpreadPath& aPath) const override;
  std::optional<std::size_t> RelayRank() const override;
  std::optional<std::size_t> WatchRank() const override;
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
  using Outgoing = std::vector<OutgoingDatagram>;

  Datagram MakeDatagram(DatagramKind aKind, std::uint32_t aProbe) const;
  void Ping(const VmId& aVm, std::uint32_t aNumber, Outgoing& aSend);
  void SendAck(const Datagram& aDatagram,
               const NetworkAddress& aFrom,
               Outgoing& aSend);
  void ProbeOnBehalf(const Datagram& aDatagram,
                     const NetworkAddress& aFrom,
                     Outgoing& aSend);
  void OnAck(const Datagram& aDatagram, Outgoing& aSend);
  /// Pings the peers that have not confirmed this node's record.
  void TickConfirmations(MonotonicTime aNow, Outgoing& aSend);
  void RequestIndirectProbes(const VmId& aVm,
                             std::uint32_t aNumber,
                             Outgoing& aSend);
  void AddUpdates(Datagram& aDatagram);
  /// Packs the records into Update datagrams with the given path.
  std::vector<Datagram> Pack(const std::set<VmId>& aVms,
                             const std::optional<SpreadPath>& aPath) const;
  /// \}

  /// \name Periodic work
  /// \{
  void DetectPause(MonotonicTime aNow);
  void TickProbes(MonotonicTime aNow, Outgoing& aSend);
  void TickSuspicions(MonotonicTime aNow, Outgoing& aSend);
  void TickUrgent(MonotonicTime aNow, Outgoing& aSend);
  /// Schedules a second tree for the record of a dead or draining member.
  void ScheduleRepeat(const VmId& aVm, MonotonicTime aNow);
  void TickReport(MonotonicTime aNow, Outgoing& aSend);
  void TickRelay(MonotonicTime aNow, Outgoing& aSend);
  void TickAnnouncement(MonotonicTime aNow, Outgoing& aSend);
  void TickContact(MonotonicTime aNow, Outgoing& aSend);
  void TickJoin(MonotonicTime aNow, Outgoing& aSend);
  void Reconnect(MonotonicTime aNow, Outgoing& aSend);
  void PingSeed(Outgoing& aSend);
  /// \}

  /// The ranks of one generation of live members.
  struct Ranks
  {
    std::uint64_t m_generation = 0;
    /// Of this node's cell.
    std::vector<VmId> m_relays;
    /// This node's places in its cell and in its data centre; empty when it is
    /// not among the first m_settings.m_relays.
    std::optional<std::size_t> m_inCell;
    std::optional<std::size_t> m_inDataCentre;
    VmId m_firstInDataCentre;
  };
  const Ranks& CurrentRanks() const;

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
  RecordConfirmations m_confirmations;
  UpdateQueue<VmId> m_updates;
  MembershipCounters m_counters;
  /// Ranking takes longer than any event that asks for a rank.
  mutable Ranks m_ranks;

  bool m_started = false;
  bool m_joined = false;
  bool m_settled = false;
  bool m_mayRelay = false;
  /// Set when this node's record has to be reported to the relay of rank 0.
  std::optional<MonotonicTime> m_reportAt;
  bool m_leaving = false;
  bool m_changed = false;
  MonotonicTime m_startedAt{};
  MonotonicTime m_joinedAt{};
  /// Changed records to send along a tree, and when.
  std::set<VmId> m_urgent;
  MonotonicTime m_urgentAt{};
  /// Records that are scheduled for a second tree.
  std::set<VmId> m_repeated;
  /// Changed records to send to other data centres, and when.
  std::set<VmId> m_relayed;
  MonotonicTime m_relayedAt{};
  std::size_t m_announcementsLeft = 0;
  MonotonicTime m_announceAt{};
  MonotonicTime m_contactAt{};
  /// Pings to seeds that are still to be sent after SetSeeds().
  std::size_t m_seedPingsLeft = 0;
  std::size_t m_contactTurn = 0;
  MonotonicTime m_reconnectAt{};
  MonotonicTime m_joinAt{};
};

} // namespace tarragontray
