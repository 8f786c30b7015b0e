/// \file
/// The control thread's state machine. It combines gossip, configurations,
/// traffic moves, the usage ledger and the view that traffic threads use.
///
/// Each event takes the current time and returns the actions that the caller
/// carries out. ControlCore does no I/O, so that recorded sessions can be
/// replayed and another front end can drive it.
///
///     auto core = ControlCore::Create(settings, decoder, random);
///     ControlActions actions = core.value()->OnTick(times);
///     // send m_send, start m_pull, publish m_view, write m_outcomes ...
///     // set the timer to core.value()->NextTick()
///
/// Only relays read from the platform:
///
///     if (core->WantsWatch(now, prefix) && core->TakePlatformRead(now)) {
///       // List when WatchAfter() is 0, otherwise watch after that revision.
///       core->OnListing(documents, revision, times, prefix.m_keys, channel);
///     }
///     for (const ObjectKey& key : core->MissingTemplates()) { read it }
///
/// Thread safety: not thread-safe; each instance belongs to the control thread.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Random.h"
#include "base/Result.h"
#include "base/Units.h"
#include "process/ConfigurationStore.h"
#include "process/Evacuations.h"
#include "process/Gossip.h"
#include "process/Ledger.h"
#include "process/MemberRecord.h"
#include "process/MoveOrders.h"
#include "process/TrafficReport.h"
#include "process/UpstreamRegister.h"
#include "process/UsagePages.h"
#include "process/View.h"
#include "request/AdmissionPolicy.h"
#include "request/ColdUpstream.h"
#include "version/ConfigurationDecoder.h"
#include "version/MoveCoordinator.h"
#include "version/Moves.h"

namespace tarragontray {

struct ControlSettings
{
  MemberRecord m_self;
  std::vector<NetworkAddress> m_seeds;
  GossipSettings m_gossip;
  /// Create() fills in the VM, the incarnation and the data centre from m_self.
  MovesSettings m_moves;
  /// Selects BriefMovePolicy, for moves that take seconds rather than minutes.
  bool m_hasBriefMoves = false;
  DepartureHistory m_departureHistory = DepartureHistory::None;
  /// An upstream that has not announced itself for this long becomes absent.
  Duration m_announcementLapse = std::chrono::seconds(3);
  /// Key prefixes to watch on the platform.
  std::vector<WatchedPrefix> m_prefixes{ { "configurations/" } };
  /// Changes within this time are combined into one view.
  Duration m_viewDelay = std::chrono::milliseconds(20);
  /// The least time between two views for changes of the membership, for each
  /// member. A view costs time in proportion to the members, and there are more
  /// changes in a larger fleet; in a small one, each change matters at once.
  Duration m_intervalPerMember = std::chrono::microseconds(500);
};

/// What the guard has to know about this VM's upstream.
struct UpstreamChange
{
  UpstreamAnnouncement m_announcement;
  UpstreamEndpoint m_place;
  AnnouncementNumber m_number;
  /// Whether the upstream became absent because its announcements stopped.
  bool m_hasLapsed = false;
};

/// Actions that the caller carries out after an event.
struct ControlActions
{
  std::vector<OutgoingDatagram> m_send;
  std::optional<OutgoingPull> m_pull;
  /// The new view to publish to traffic threads; null when unchanged.
  std::shared_ptr<const View> m_view;
  /// Set when the guard's admission bounds changed.
  std::optional<AdmissionBounds> m_bounds;
  /// Set when the upstream, its state or its place changed.
  std::optional<UpstreamChange> m_upstream;
  /// Set when what the configuration states about the own service's cold
  /// upstreams changed.
  std::optional<ColdBounds> m_coldBounds;
  /// Set for each announcement of the upstream that is newer than the ones
  /// before.
  std::optional<UpstreamHeartbeat> m_heartbeat;
  /// Set when the guard has to begin or to stop refusing all calls because of
  /// the evacuation of this data centre.
  std::optional<bool> m_isEvacuated;
  /// Move outcomes to write to the platform. Returned again until
  /// OnOutcomeWritten() or, for a move that has started, until the order's
  /// object shows it.
  std::vector<MoveOutcome> m_outcomes;
  /// Usage reports to write to the platform.
  std::vector<UsagePage> m_usage;
  /// Whether the share or the state of a move changed; the status is logged
  /// before the outcome reaches the platform.
  bool m_movesChanged = false;
};

/// A snapshot of the control state for operators; see process/StatusJson.h.
struct ControlStatus
{
  MemberRecord m_self;
  bool m_isRelay = false;
  bool m_isBelowFloor = false;
  DocumentDigest m_digest;
  std::vector<MemberRecord> m_members;
  std::vector<AccountStatus> m_accounts;
  /// The origin of each account's newest configuration document.
  std::map<ClientAccountId, DocumentOrigin> m_origins;
  std::vector<MoveStatus> m_moves;
  /// The data centres that are being evacuated.
  std::set<DataCentreId> m_evacuated;
  std::uint64_t m_rejectedOrders = 0;
  std::optional<Error> m_lastRejectedOrder;
  std::vector<UsageEntry> m_ledger;
  MembershipCounters m_membership;
  DistributionCounters m_distribution;
  GossipCounters m_gossip;
};

/// Whether a listing holds every object of its prefix.
enum class ListingExtent : std::uint8_t
{
  Whole,
  /// An object could not be read.
  Partial,
};

/// See the file comment.
class ControlCore
{
public:
  /// \param aDecoder, aRandom must outlive the result.
  /// Errors: InvalidArgument, from the settings of gossip, moves or ledger.
  static Result<std::unique_ptr<ControlCore>> Create(
    const ControlSettings& aSettings,
    const ConfigurationDecoder& aDecoder,
    Random& aRandom);

  ControlActions OnTick(const Times& aTimes);
  /// The time at which OnTick is due.
  MonotonicTime NextTick() const;

  ControlActions OnDatagram(const Datagram& aDatagram,
                            const NetworkAddress& aFrom,
                            const Times& aTimes);
  /// Answers a peer's pull request.
  PullAnswer OnPull(const PullRequest& aRequest, const Times& aTimes);
  ControlActions OnPullAnswer(const PullAnswer& aAnswer, const Times& aTimes);
  ControlActions OnPullFailed(const Times& aTimes);

  /// Handles an announcement or a leave notice of this VM's upstream.
  ControlActions OnUpstreamReport(const UpstreamReport& aReport,
                                  const Times& aTimes);
  /// Whether it is known on the platform or by a majority of the peers that the
  /// upstream process has departed, so that the node may acknowledge it. Also
  /// true when nobody else could know it: without a platform and peers.
  bool IsDepartureRecorded(const UpstreamProcess& aProcess) const;
  /// The upstream processes of this VM that have announced their end.
  const DepartedUpstreams& Departed() const { return m_upstreams.Departed(); }
  /// Whether Departed() holds what an earlier process of this node had
  /// acknowledged. Until then no upstream is used.
  bool IsDepartureHistoryKnown() const { return m_upstreams.IsHistoryKnown(); }
  /// Adds a front thread's observations of services with a move.
  void OnObservations(const ObservationBatch& aBatch);
  void OnUsage(const UsageBatch& aBatch);

  /// \name The platform
  /// \{
  bool WantsWatch(MonotonicTime aNow, const WatchedPrefix& aPrefix = {});
  bool TakePlatformRead(MonotonicTime aNow);
  MonotonicTime PlatformReadyAt(MonotonicTime aNow);
  Revision WatchAfter(const std::string& aPrefix) const;
  /// When to read the platform's revision; see Distribution.
  MonotonicTime NextRevisionCheck(MonotonicTime aNow) const;
  /// Records that this node's documents of all watched prefixes were current at
  /// aAsOf.
  ControlActions OnDocumentsConfirmed(MonotonicTime aAsOf, const Times& aTimes);
  /// The newest revision that this node holds of the configuration with
  /// accounts, whether in use or not; not set without accounts.
  std::optional<Revision> HeldAccountsRevision() const;
  /// Whether the document is newer than this node's, or unknown to it.
  bool IsNews(const Document& aDocument) const;
  /// Handles the result of a list, a watch or the read of a template.
  /// \param aComplete the revision up to which aDocuments is complete.
  /// \param aPrefix the prefix that was requested; empty for a single read.
  /// \param aChannel Watch or List.
  ControlActions OnListing(const std::vector<Document>& aDocuments,
                           Revision aComplete,
                           const Times& aTimes,
                           const std::string& aPrefix,
                           DocumentChannel aChannel,
                           ListingExtent aExtent = ListingExtent::Whole);
  /// Whether a peer has delivered a newer document of the prefix than its watch
  /// did, or has reported a revision that neither the watch nor this node's
  /// documents cover.
  bool IsOvertaken(const std::string& aPrefix) const;
  /// Resets the prefix's watch position after the platform reported that its
  /// history no longer reaches back that far.
  void OnHistoryGone(const std::string& aPrefix);
  /// Replaces the seeds by the addresses of the nodes that are registered with
  /// the platform.
  void OnNodes(std::vector<NetworkAddress> aAddresses, MonotonicTime aNow);
  /// Whether no other node in this node's cell is alive.
  bool IsAlone() const;
  /// The revision of the order's object, for the conditional write of the
  /// move's outcome; not set when a configuration declares the move.
  std::optional<Revision> OrderRevision(const MoveId& aMove) const;
  /// The order, to be recorded with the outcome; null when a configuration
  /// declares the move. Valid until the next event.
  const MoveOrder* OrderOf(const MoveId& aMove) const
  {
    return m_orders.OrderOf(aMove);
  }
  std::vector<ObjectKey> MissingTemplates() const;
  /// Confirms that the platform has the move's outcome, whichever node wrote
  /// it.
  void OnOutcomeWritten(const MoveId& aMove);
  void OnUsageNotWritten(UsagePageNumber aPage);
  /// This VM's entry on the platform has been read or written.
  /// \param aDeparted the departed upstreams in the entry.
  /// \param aRevision the platform's revision at that time.
  ControlActions OnOwnEntry(const DepartedUpstreams& aDeparted,
                            Revision aRevision,
                            const Times& aTimes);
  /// The platform has lost its newest writes, this node's among them.
  void OnPlatformRestored();
  /// \}

  /// Announces to peers at once that this node shuts down.
  ControlActions Leave(const Times& aTimes);

  /// Whether a configuration is in force on this node.
  bool IsReady() const;
  ControlStatus Status(WallTime aWall) const;

private:
  ControlCore(const ControlSettings& aSettings,
              const ConfigurationDecoder& aDecoder,
              Random& aRandom,
              Gossip aGossip,
              Moves aMoves,
              Ledger aLedger);

  ControlActions Finish(GossipActions aGossip, const Times& aTimes);
  void ProcessDocuments(const Times& aTimes);
  void UpdateKnownServices();
  void Apply(const std::vector<ConfigurationChange>& aChanges,
             const Times& aTimes);
  void TickMoves(const Times& aTimes, ControlActions& aActions);
  void SendReport(const EvidenceReport& aReport, ControlActions& aActions);
  /// Writes the usage reports that are due, or sends this node's own one to
  /// the node that writes for the data centre.
  void ReportUsage(const Times& aTimes, ControlActions& aActions);
  void SendUsage(const UsageReport& aReport, ControlActions& aActions);
  void ExpireAnnouncement(const Times& aTimes);
  /// Exchanges departed upstreams with the membership record, and publishes the
  /// upstream when it has changed. \return whether it has.
  bool UpdateUpstream(const Times& aTimes, ControlActions& aActions);
  /// Whether an earlier process's departed upstreams have all been received.
  bool HasReceivedHistory() const;
  bool AreDeparturesRecorded() const;
  ConfirmationNeed NeededConfirmations() const;
  /// Whether the listings of a watched prefix show deletions.
  bool IsDeletedByAbsence(const std::string& aPrefix) const;
  /// Whether this node watches evacuations and can't know yet whether its data
  /// centre is one of them.
  bool AwaitsEvacuations() const;
  void UpdateEvacuation(ControlActions& aActions);
  void PublishView(const Times& aTimes, ControlActions& aActions);
  void UpdateRoles();
  void RecordOrders(const Times& aTimes, ControlActions& aActions);
  /// Writes outcomes that the platform does not show although the moves have
  /// ended; only the coordinator of each move does.
  void RecordEnds(const Times& aTimes, ControlActions& aActions);
  /// Names the version that each ordered service runs on, unless a record tells
  /// it.
  void NameBases();
  bool MayServe() const;
  /// Whether every watched prefix has been listed.
  bool IsListed() const;
  /// Whether the platform's era tells that it has lost writes.
  bool WasPlatformRestored() const;
  /// Whether a peer has told what it holds, or none has for kPeerWait.
  void UpdateSynchronized(MonotonicTime aNow);
  std::optional<VersionSplit> SplitOf(const ServiceId& aService) const;
  /// The plans of all active moves, from orders and configurations.
  std::vector<MovePlan> Plans() const;
  std::optional<VmId> CoordinatorOf(const MoveId& aMove) const;
  std::vector<std::shared_ptr<const Configuration>> InForce() const;
  /// This VM's service in the configuration in force; null: none. Valid until
  /// the next change of the store.
  const ServiceSpec* OwnService() const;
  std::optional<AdmissionBounds> OwnBounds() const;
  /// The account's version in force, or a newer one that was rejected, since
  /// that changes nothing.
  Revision SettledRevision(const ClientAccountId& aAccount) const;
  void ScheduleView(MonotonicTime aNow);
  /// When it is due, uses the changed membership for the conditions of
  /// configurations, for the roles of this node and for a view.
  void ProcessMembers(const Times& aTimes);

  ControlSettings m_settings;
  Gossip m_gossip;
  ConfigurationStore m_store;
  MoveOrders m_orders;
  bool m_ordersChanged = false;
  Evacuations m_evacuations;
  bool m_evacuationsChanged = false;
  /// Whether this node has listed the evacuations, or has synchronised with
  /// its peers, since its start.
  bool m_hasReceivedEvacuations = false;
  /// Whether the guard refuses all calls, as published last.
  bool m_isEvacuated = false;
  /// The earliest time of the next attempt to record that orders' moves have
  /// started.
  MonotonicTime m_recordAt{};
  /// The earliest time of the next attempt to write unrecorded outcomes.
  MonotonicTime m_recordEndsAt{};
  Moves m_moves;
  Ledger m_ledger;
  UsagePages m_usagePages;
  /// The node that wrote the usage of this data centre in the last round, and
  /// what this node sent to it last.
  VmId m_usageWriter;
  UsageReport m_usageSent;
  /// Whether a listing of a restored platform can be trusted to be no older
  /// than what peers have in force.
  bool m_isSynchronized = false;
  /// When the first listing of all prefixes was complete.
  std::optional<MonotonicTime> m_listedAt;
  /// MayServe() at the last applied change.
  bool m_mayServe = false;
  std::optional<MonotonicTime> m_viewDue;
  /// When changes of the membership take effect, and when they did last.
  std::optional<MonotonicTime> m_membersDue;
  MonotonicTime m_membersAt{};
  /// The view published last.
  std::shared_ptr<const View> m_view;
  std::optional<MonotonicTime> m_announcedAt;
  UpstreamRegister m_upstreams;
  /// The upstream and its place as published last.
  UpstreamAnnouncement m_upstream;
  UpstreamEndpoint m_upstreamPlace;
  bool m_hasLapsed = false;
  /// The departed upstreams in this VM's entry on the platform.
  DepartedUpstreams m_storedDepartures;
  /// The platform's era when the entry was read or written; not set before.
  std::optional<PlatformEra> m_entryEra;
  std::optional<AdmissionBounds> m_bounds;
  std::optional<ColdBounds> m_coldBounds;
  std::vector<ConfigurationChange> m_changes;
  /// Nodes in the last list of the platform's entries; 0 before.
  std::size_t m_registeredNodes = 0;
};

} // namespace tarragontray
