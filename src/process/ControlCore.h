/// \file
/// The decisions of the control thread, composed: gossip, configurations,
/// moves, ledger and the view of traffic.
///
/// Events and the time go in, actions come out; no I/O happens here, so that
/// recorded sessions can be replayed and another front end can drive it.
///
///     auto core = ControlCore::Create(settings, decoder, random);
///     ControlActions actions = core.value()->OnTick(times);
///     // send m_send, start m_pull, publish m_view, write m_outcomes ...
///     // set the timer to core.value()->NextTick()
///
/// Platform reads, which only relays make:
///
///     if (core->WantsWatch(now) && core->TakePlatformRead(now)) {
///       // after WatchAfter(): watch; when it is 0: list first
///       core->OnListing(documents, revision, times);
///     }
///     for (const ObjectKey& key : core->MissingTemplates()) { read it }
///
/// Thread safety: one thread (control) for each instance.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Random.h"
#include "base/Result.h"
#include "base/Units.h"
#include "process/ConfigurationStore.h"
#include "process/Gossip.h"
#include "process/Ledger.h"
#include "process/MemberRecord.h"
#include "process/MoveOrders.h"
#include "process/TrafficReport.h"
#include "process/View.h"
#include "request/AdmissionPolicy.h"
#include "version/ConfigurationDecoder.h"
#include "version/MoveCoordinator.h"
#include "version/Moves.h"

namespace tarragontray {

struct ControlSettings
{
  MemberRecord m_self;
  std::vector<NetworkAddress> m_seeds;
  GossipSettings m_gossip;
  /// Who this node is, is filled in from m_self.
  MovesSettings m_moves;
  /// Moves have seconds, not minutes.
  bool m_hasBriefMoves = false;
  /// An upstream that is silent for so long counts as absent.
  Duration m_announcementLapse = std::chrono::seconds(3);
  /// Keys that the platform is watched for.
  std::vector<WatchedPrefix> m_prefixes{ { "configurations/" } };
  /// Changes of members that come within this time go into one view.
  Duration m_viewDelay = std::chrono::milliseconds(20);
};

/// What the caller does after an event.
struct ControlActions
{
  std::vector<OutgoingDatagram> m_send;
  std::optional<OutgoingPull> m_pull;
  /// Set when traffic is to be served by a new view.
  std::shared_ptr<const View> m_view;
  /// Set when the guard's bounds changed.
  std::optional<AdmissionBounds> m_bounds;
  /// Set when the upstream's announcement lapsed.
  std::optional<UpstreamAnnouncement> m_upstream;
  /// To write to the platform; repeated until acknowledged.
  std::vector<MoveOutcome> m_outcomes;
  /// To write to the platform.
  std::vector<UsageReport> m_usage;
};

/// What operators read; see process/StatusJson.h.
struct ControlStatus
{
  MemberRecord m_self;
  bool m_isRelay = false;
  bool m_isBelowFloor = false;
  DocumentDigest m_digest;
  std::vector<MemberRecord> m_members;
  std::vector<AccountStatus> m_accounts;
  /// How the newest configuration of each account came.
  std::map<ClientAccountId, DocumentOrigin> m_origins;
  std::vector<MoveStatus> m_moves;
  std::uint64_t m_rejectedOrders = 0;
  std::optional<Error> m_lastRejectedOrder;
  std::vector<UsageEntry> m_ledger;
  MembershipCounters m_membership;
  DistributionCounters m_distribution;
  GossipCounters m_gossip;
};

/// See the file comment.
class ControlCore
{
public:
  /// \param aDecoder, aRandom must outlive the result.
  /// Errors: InvalidArgument, from a part's settings.
  static Result<std::unique_ptr<ControlCore>> Create(
    const ControlSettings& aSettings,
    const ConfigurationDecoder& aDecoder,
    Random& aRandom);

  ControlActions OnTick(const Times& aTimes);
  /// When OnTick is due.
  MonotonicTime NextTick() const;

  ControlActions OnDatagram(const Datagram& aDatagram,
                            const NetworkAddress& aFrom,
                            const Times& aTimes);
  /// A peer pulls.
  PullAnswer OnPull(const PullRequest& aRequest, const Times& aTimes);
  ControlActions OnPullAnswer(const PullAnswer& aAnswer, const Times& aTimes);
  ControlActions OnPullFailed(const Times& aTimes);

  /// The upstream of this VM announced itself.
  ControlActions OnUpstreamAnnouncement(const UpstreamAnnouncement& aUpstream,
                                        const Times& aTimes);
  /// A front thread saw calls of moving services.
  void OnObservations(const ObservationBatch& aBatch);
  void OnUsage(const UsageBatch& aBatch);

  /// \name The platform
  /// \{
  bool WantsWatch(MonotonicTime aNow, const WatchedPrefix& aPrefix = {});
  bool TakePlatformRead(MonotonicTime aNow);
  MonotonicTime PlatformReadyAt(MonotonicTime aNow);
  Revision WatchAfter(const std::string& aPrefix) const;
  /// \param aPrefix of the keys that were asked for.
  /// \param aChannel Watch or List.
  ControlActions OnListing(const std::vector<Document>& aDocuments,
                           Revision aComplete,
                           const Times& aTimes,
                           const std::string& aPrefix,
                           DocumentChannel aChannel);
  /// Peers brought something newer than the watch of the prefix did.
  bool IsOvertaken(const std::string& aPrefix) const;
  /// The history that a watch would go on from is gone.
  void OnHistoryGone(const std::string& aPrefix);
  /// Where nodes register, their addresses.
  void OnNodes(std::vector<NetworkAddress> aAddresses, MonotonicTime aNow);
  /// No other node is known to live.
  bool IsAlone() const;
  /// The order's object that records the move's outcome, for a conditional
  /// write; not set for a move of a configuration.
  std::optional<Revision> OrderRevision(const MoveId& aMove) const;
  std::vector<ObjectKey> MissingTemplates() const;
  /// The outcome is in the platform, written by whichever node.
  void OnOutcomeWritten(const MoveId& aMove);
  void OnUsageNotWritten(const UsageReport& aReport);
  /// \}

  /// This node stops: its peers learn it at once.
  ControlActions Leave(const Times& aTimes);

  /// True once a configuration is in force here.
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
  void ExpireAnnouncement(const Times& aTimes, ControlActions& aActions);
  void PublishView(const Times& aTimes, ControlActions& aActions);
  void UpdateRoles();
  void RecordOrders(const Times& aTimes, ControlActions& aActions);
  bool MayServe() const;
  std::optional<VersionSplit> SplitOf(const ServiceId& aService) const;
  /// The plans of all moves that are to run.
  std::vector<MovePlan> Plans() const;
  std::optional<VmId> CoordinatorOf(const MoveId& aMove) const;
  std::vector<std::shared_ptr<const Configuration>> InForce() const;
  std::optional<AdmissionBounds> OwnBounds() const;
  void ScheduleView(MonotonicTime aNow);

  ControlSettings m_settings;
  Gossip m_gossip;
  ConfigurationStore m_store;
  MoveOrders m_orders;
  bool m_ordersChanged = false;
  /// Not before: the next try to record that orders were taken up.
  MonotonicTime m_recordAt{};
  Moves m_moves;
  Ledger m_ledger;
  /// Whether the last view had this node's configurations.
  bool m_mayServe = false;
  std::optional<MonotonicTime> m_viewDue;
  /// The last one that was made.
  std::shared_ptr<const View> m_view;
  std::optional<MonotonicTime> m_announcedAt;
  UpstreamAnnouncement m_upstream;
  std::optional<AdmissionBounds> m_bounds;
  std::vector<ConfigurationChange> m_changes;
};

} // namespace tarragontray
