#include "process/ControlCore.h"

#include <algorithm>
#include <utility>

#include "process/EvidenceRouting.h"
#include "process/ViewBuilder.h"
#include "version/BriefMovePolicy.h"
#include "version/ObjectKeys.h"
#include "version/SequentialMovePolicy.h"

namespace tarragontray {

namespace {

/// Platforms count their eras from 0 or 1.
constexpr PlatformEra kFirstEra{ 1 };
/// How long a node that starts after a restore of the platform waits for a
/// peer's documents before it serves the listed ones. Exceeds the delay of the
/// first pull and the pull.
constexpr Duration kPeerWait = std::chrono::milliseconds(1500);

} // namespace

Result<std::unique_ptr<ControlCore>>
ControlCore::Create(const ControlSettings& aSettings,
                    const ConfigurationDecoder& aDecoder,
                    Random& aRandom)
{
  const MemberRecord& self = aSettings.m_self;
  BOOST_OUTCOME_TRY(
    auto gossip,
    Gossip::Create(aSettings.m_gossip, self, aSettings.m_seeds, aRandom));
  MovesSettings moveSettings = aSettings.m_moves;
  moveSettings.m_vm = self.m_vm;
  moveSettings.m_incarnation = self.m_incarnation;
  moveSettings.m_dataCentre =
    self.m_cell.IsEmpty() ? self.m_dataCentre : self.m_cell;
  BOOST_OUTCOME_TRY(auto policy,
                    aSettings.m_hasBriefMoves
                      ? BriefMovePolicy::Create({})
                      : SequentialMovePolicy::Create({}));
  BOOST_OUTCOME_TRY(auto moves, Moves::Create(moveSettings, std::move(policy)));
  LedgerSettings ledgerSettings;
  ledgerSettings.m_vm = self.m_vm;
  ledgerSettings.m_incarnation = self.m_incarnation;
  BOOST_OUTCOME_TRY(auto ledger, Ledger::Create(ledgerSettings));
  return std::unique_ptr<ControlCore>(new ControlCore(aSettings,
                                                      aDecoder,
                                                      aRandom,
                                                      std::move(gossip),
                                                      std::move(moves),
                                                      std::move(ledger)));
}

ControlCore::ControlCore(const ControlSettings& aSettings,
                         const ConfigurationDecoder& aDecoder,
                         Random& /*aRandom*/,
                         Gossip aGossip,
                         Moves aMoves,
                         Ledger aLedger)
  : m_settings(aSettings)
  , m_gossip(std::move(aGossip))
  , m_store(aDecoder)
  , m_orders(aDecoder)
  , m_moves(std::move(aMoves))
  , m_ledger(std::move(aLedger))
  , m_usagePages(aSettings.m_self.m_vm, aSettings.m_self.m_incarnation)
{
  if (aSettings.m_departureHistory != DepartureHistory::None) {
    m_upstreams.AwaitHistory();
  }
}

ControlActions
ControlCore::OnTick(const Times& aTimes)
{
  return Finish(m_gossip.Tick(aTimes.m_now), aTimes);
}

MonotonicTime
ControlCore::NextTick() const
{
  MonotonicTime next = std::min(m_gossip.NextTick(), m_ledger.NextDue());
  if (const auto moves = m_moves.NextTick()) {
    next = std::min(next, *moves);
  }
  for (const auto& due : { m_viewDue, m_membersDue }) {
    next = std::min(next, due.value_or(next));
  }
  if (m_listedAt && !m_isSynchronized) {
    next = std::min(next, *m_listedAt + kPeerWait);
  }
  if (m_announcedAt) {
    next = std::min(next, *m_announcedAt + m_settings.m_announcementLapse);
  }
  return next;
}

ControlActions
ControlCore::OnDatagram(const Datagram& aDatagram,
                        const NetworkAddress& aFrom,
                        const Times& aTimes)
{
  return Finish(m_gossip.Receive(aDatagram, aFrom, aTimes.m_now), aTimes);
}

PullAnswer
ControlCore::OnPull(const PullRequest& aRequest, const Times& aTimes)
{
  return m_gossip.AnswerPull(aRequest, aTimes.m_now);
}

ControlActions
ControlCore::OnPullAnswer(const PullAnswer& aAnswer, const Times& aTimes)
{
  return Finish(m_gossip.OfferPull(aAnswer, aTimes.m_now), aTimes);
}

ControlActions
ControlCore::OnPullFailed(const Times& aTimes)
{
  m_gossip.FailPull(aTimes.m_now);
  return Finish({}, aTimes);
}

ControlActions
ControlCore::OnUpstreamReport(const UpstreamReport& aReport,
                              const Times& aTimes)
{
  m_announcedAt = aTimes.m_now;
  std::optional<UpstreamHeartbeat> heartbeat;
  if (m_upstreams.IsNews(aReport)) {
    heartbeat = { { aReport.m_place.m_instance, aReport.m_birth },
                  aReport.m_coldRemaining };
  }
  const bool isChanged = m_upstreams.Offer(aReport);
  const bool hasDeparture =
    m_upstreams.Departed() != m_gossip.Members().Self().m_departed;
  ControlActions actions;
  if (isChanged || hasDeparture) {
    actions = Finish({}, aTimes);
  }
  actions.m_heartbeat = std::move(heartbeat);
  return actions;
}

bool
ControlCore::IsDepartureRecorded(const UpstreamProcess& aProcess) const
{
  const Membership& members = m_gossip.Members();
  if (m_storedDepartures.Covers(aProcess)) {
    return true;
  }
  if (members.IsConfirmed()) {
    return members.Self().m_departed.Covers(aProcess);
  }
  return m_settings.m_departureHistory != DepartureHistory::PlatformOrPeers &&
         !members.HasPeers();
}

bool
ControlCore::AreDeparturesRecorded() const
{
  const auto& processes = m_upstreams.Departed().Processes();
  return std::all_of(
    processes.begin(), processes.end(), [this](const auto& aProcess) {
      return IsDepartureRecorded(aProcess);
    });
}

ConfirmationNeed
ControlCore::NeededConfirmations() const
{
  if (!AreDeparturesRecorded()) {
    return ConfirmationNeed::Departure;
  }
  return m_upstreams.IsHistoryKnown() ? ConfirmationNeed::None
                                      : ConfirmationNeed::History;
}

bool
ControlCore::HasReceivedHistory() const
{
  switch (m_settings.m_departureHistory) {
    case DepartureHistory::None:
      return true;
    case DepartureHistory::Peers:
      return m_gossip.Members().IsJoined();
    case DepartureHistory::PlatformOrPeers:
      break;
  }
  // The entry in a copy from which the platform was restored may lack what
  // peers know.
  const bool isEntryCurrent =
    m_entryEra && (*m_entryEra <= kFirstEra || m_isSynchronized);
  return isEntryCurrent || m_gossip.Members().IsConfirmed();
}

ControlActions
ControlCore::OnOwnEntry(const DepartedUpstreams& aDeparted,
                        Revision aRevision,
                        const Times& aTimes)
{
  m_storedDepartures = aDeparted;
  m_entryEra = EraOf(aRevision);
  m_upstreams.Adopt(aDeparted);
  return Finish({}, aTimes);
}

bool
ControlCore::UpdateUpstream(const Times& aTimes, ControlActions& aActions)
{
  Membership& members = m_gossip.Members();
  m_upstreams.Adopt(members.Self().m_departed);
  members.AddDeparted(m_upstreams.Departed(), aTimes.m_now);
  if (!m_upstreams.IsHistoryKnown() && HasReceivedHistory()) {
    m_upstreams.SetHistoryKnown();
  }
  members.NeedConfirmations(NeededConfirmations(), aTimes.m_now);
  const UpstreamAnnouncement announcement = m_upstreams.Announcement();
  const bool hasLapsed = std::exchange(m_hasLapsed, false);
  if (announcement == m_upstream && m_upstreams.Place() == m_upstreamPlace) {
    return false;
  }
  m_upstream = announcement;
  m_upstreamPlace = m_upstreams.Place();
  members.SetUpstream(m_upstream, aTimes.m_now);
  aActions.m_upstream = UpstreamChange{
    m_upstream, m_upstreamPlace, m_upstreams.Number(), hasLapsed
  };
  return true;
}

void
ControlCore::OnObservations(const ObservationBatch& aBatch)
{
  const auto& members = m_gossip.Members().Members();
  for (const AttemptObservation& attempt : aBatch.m_observations) {
    if (attempt.m_isFirstAttempt) {
      m_moves.AddObservation(ObservationOf(attempt, members));
    }
  }
}

void
ControlCore::OnUsage(const UsageBatch& aBatch)
{
  for (const auto& [key, usage] : aBatch.m_usage) {
    m_ledger.Add(key, usage);
  }
}

bool
ControlCore::WantsWatch(MonotonicTime aNow, const WatchedPrefix& aPrefix)
{
  return m_gossip.Documents().WantsWatch(aNow, aPrefix);
}

bool
ControlCore::TakePlatformRead(MonotonicTime aNow)
{
  return m_gossip.Documents().TakePlatformRead(aNow);
}

MonotonicTime
ControlCore::PlatformReadyAt(MonotonicTime aNow)
{
  return m_gossip.Documents().PlatformReadyAt(aNow);
}

Revision
ControlCore::WatchAfter(const std::string& aPrefix) const
{
  return m_gossip.Documents().WatchAfter(aPrefix);
}

MonotonicTime
ControlCore::NextRevisionCheck(MonotonicTime aNow) const
{
  return m_gossip.Documents().NextRevisionCheck(aNow);
}

ControlActions
ControlCore::OnDocumentsConfirmed(MonotonicTime aAsOf, const Times& aTimes)
{
  m_gossip.Documents().ConfirmFromPlatform(aAsOf);
  return Finish(m_gossip.Tick(aTimes.m_now), aTimes);
}

std::optional<Revision>
ControlCore::HeldAccountsRevision() const
{
  if (!m_view || !m_view->m_accounts) {
    return std::nullopt;
  }
  const Document* held = m_gossip.Documents().Table().Find(
    ConfigurationKey(m_view->m_accounts->m_owner));
  return held == nullptr ? std::nullopt : std::optional(held->m_revision);
}

Revision
ControlCore::SettledRevision(const ClientAccountId& aAccount) const
{
  const std::vector<AccountStatus> all = m_store.Status();
  const auto found =
    std::find_if(all.begin(), all.end(), [&](const AccountStatus& aStatus) {
      return aStatus.m_account == aAccount;
    });
  if (found == all.end()) {
    return Revision(0);
  }
  const Revision inForce = found->m_inForce.value_or(Revision(0));
  const bool isRejected =
    found->m_pending && found->m_pending->m_reason == PendingReason::Rejected;
  return isRejected ? std::max(inForce, found->m_pending->m_version) : inForce;
}

bool
ControlCore::IsNews(const Document& aDocument) const
{
  return m_gossip.Documents().IsNews(aDocument);
}

bool
ControlCore::IsOvertaken(const std::string& aPrefix) const
{
  const Distribution& documents = m_gossip.Documents();
  const Revision known = std::max(documents.Table().Digest().m_highest,
                                  documents.WatchAfter(aPrefix));
  return documents.HasNewerThanPlatform(aPrefix) ||
         m_gossip.HighestReported() > known;
}

void
ControlCore::OnHistoryGone(const std::string& aPrefix)
{
  m_gossip.Documents().ResetWatch(aPrefix);
}

void
ControlCore::OnNodes(std::vector<NetworkAddress> aAddresses, MonotonicTime aNow)
{
  m_registeredNodes = aAddresses.size() + 1;
  m_gossip.Members().SetSeeds(std::move(aAddresses), aNow);
}

bool
ControlCore::IsAlone() const
{
  const MemberRecord& self = m_gossip.Members().Self();
  return LiveNeighbours(m_gossip.Members().Members(), self).size() <= 1;
}

ControlActions
ControlCore::OnListing(const std::vector<Document>& aDocuments,
                       Revision aComplete,
                       const Times& aTimes,
                       const std::string& aPrefix,
                       DocumentChannel aChannel,
                       ListingExtent aExtent)
{
  std::vector<Document> documents = aDocuments;
  if (aChannel == DocumentChannel::List && aExtent == ListingExtent::Whole &&
      IsDeletedByAbsence(aPrefix)) {
    auto deletions =
      m_gossip.Documents().DeletionsIn(aDocuments, aComplete, aPrefix);
    std::move(
      deletions.begin(), deletions.end(), std::back_inserter(documents));
  }
  m_gossip.Documents().OfferFromPlatform(
    documents, aComplete, aTimes.m_now, aPrefix, aChannel);
  return Finish(m_gossip.Tick(aTimes.m_now), aTimes);
}

bool
ControlCore::IsDeletedByAbsence(const std::string& aPrefix) const
{
  return std::any_of(m_settings.m_prefixes.begin(),
                     m_settings.m_prefixes.end(),
                     [&](const WatchedPrefix& aWatched) {
                       return aWatched.m_keys == aPrefix &&
                              aWatched.m_isDeletedByAbsence;
                     });
}

std::vector<ObjectKey>
ControlCore::MissingTemplates() const
{
  return m_store.MissingTemplates();
}

ControlActions
ControlCore::Leave(const Times& aTimes)
{
  m_ledger.ReportNow();
  m_gossip.Members().Leave(aTimes.m_now);
  return Finish(m_gossip.Tick(aTimes.m_now), aTimes);
}

bool
ControlCore::IsReady() const
{
  return !InForce().empty();
}

ControlActions
ControlCore::Finish(GossipActions aGossip, const Times& aTimes)
{
  ControlActions actions;
  ExpireAnnouncement(aTimes);
  aGossip.m_membersChanged |= UpdateUpstream(aTimes, actions);
  for (const EvidenceReport& report : aGossip.m_evidence) {
    m_moves.AddReport(report, aTimes.m_now);
  }
  if (aGossip.m_membersChanged && !m_membersDue) {
    const auto members =
      static_cast<std::int64_t>(m_gossip.Members().Members().size());
    m_membersDue =
      std::max(aTimes.m_now + m_settings.m_viewDelay,
               m_membersAt + m_settings.m_intervalPerMember * members);
  }
  ProcessDocuments(aTimes);
  UpdateSynchronized(aTimes.m_now);
  UpdateEvacuation(actions);
  ProcessMembers(aTimes);
  Apply(std::exchange(m_changes, {}), aTimes);
  for (const MoveProgress& progress : m_gossip.Moves().TakeChanged()) {
    if (m_moves.MergeProgress(progress, aTimes.m_now)) {
      ScheduleView(aTimes.m_now);
    }
  }
  TickMoves(aTimes, actions);
  RecordEnds(aTimes, actions);
  PublishView(aTimes, actions);
  for (const UsageReport& report : aGossip.m_usage) {
    m_ledger.Merge(report);
  }
  ReportUsage(aTimes, actions);
  actions.m_pull = std::move(aGossip.m_pull);
  std::move(aGossip.m_send.begin(),
            aGossip.m_send.end(),
            std::back_inserter(actions.m_send));
  return actions;
}

void
ControlCore::ExpireAnnouncement(const Times& aTimes)
{
  if (!m_announcedAt ||
      aTimes.m_now < *m_announcedAt + m_settings.m_announcementLapse) {
    return;
  }
  m_announcedAt.reset();
  m_upstreams.Lapse();
  m_hasLapsed = true;
}

void
ControlCore::UpdateKnownServices()
{
  auto changes =
    m_store.SetKnownServices(AnnouncedServices(m_gossip.Members().Members()));
  std::move(changes.begin(), changes.end(), std::back_inserter(m_changes));
}

void
ControlCore::ProcessDocuments(const Times& aTimes)
{
  if (m_gossip.Documents().HasChanged()) {
    const std::vector<Document> documents = m_gossip.Documents().TakeChanged();
    const std::uint64_t rejected = m_orders.Rejected();
    m_ordersChanged |= m_orders.Offer(documents, aTimes.m_wall);
    // A rejected order counts as a change, too.
    m_ordersChanged |= m_orders.Rejected() != rejected;
    m_evacuationsChanged |= m_evacuations.Offer(documents);
    auto changes = m_store.Offer(documents);
    std::move(changes.begin(), changes.end(), std::back_inserter(m_changes));
    // A rejected version changes nothing but the settled revision.
    if (m_view && m_view->m_accounts &&
        SettledRevision(m_view->m_accounts->m_owner) !=
          m_view->m_accounts->m_revision) {
      m_viewDue = aTimes.m_now;
    }
  }
}

bool
ControlCore::AwaitsEvacuations() const
{
  const std::string prefix(kEvacuationPrefix);
  const bool isWatched = std::any_of(
    m_settings.m_prefixes.begin(),
    m_settings.m_prefixes.end(),
    [&](const WatchedPrefix& aWatched) { return aWatched.m_keys == prefix; });
  return isWatched && !m_hasReceivedEvacuations &&
         WatchAfter(prefix) == Revision(0) && !m_gossip.MayServe();
}

void
ControlCore::UpdateEvacuation(ControlActions& aActions)
{
  // A process of this node that ran before may have known of the evacuation.
  const bool awaitsEvacuations = AwaitsEvacuations();
  m_hasReceivedEvacuations |= !awaitsEvacuations;
  const bool isEvacuated =
    awaitsEvacuations ||
    m_evacuations.Contains(m_gossip.Members().Self().m_dataCentre);
  if (isEvacuated != m_isEvacuated) {
    m_isEvacuated = isEvacuated;
    aActions.m_isEvacuated = isEvacuated;
  }
}

void
ControlCore::Apply(const std::vector<ConfigurationChange>& aChanges,
                   const Times& aTimes)
{
  const bool mayServe = MayServe();
  const bool ordersChanged = std::exchange(m_ordersChanged, false);
  const bool evacuationsChanged = std::exchange(m_evacuationsChanged, false);
  if (aChanges.empty() && !ordersChanged && !evacuationsChanged &&
      mayServe == m_mayServe) {
    return;
  }
  m_mayServe = mayServe;
  if (ordersChanged) {
    NameBases();
    for (const MovePlan& plan : m_orders.Plans()) {
      m_gossip.Moves().SetCurrent(plan.m_id);
    }
  }
  m_moves.SetPlans(Plans(), aTimes.m_now);
  UpdateRoles();
  // Publish without delay, so that the status reports a configuration as in
  // force only when traffic threads use it.
  m_viewDue = aTimes.m_now;
}

bool
ControlCore::MayServe() const
{
  // A listing from the platform is complete. Without one, this node relies on
  // having synchronised with its peers.
  const bool isCurrent =
    IsListed() && (m_isSynchronized || !WasPlatformRestored());
  return (isCurrent || m_gossip.MayServe()) &&
         !m_gossip.Documents().IsBelowFloor();
}

bool
ControlCore::IsListed() const
{
  return std::all_of(m_settings.m_prefixes.begin(),
                     m_settings.m_prefixes.end(),
                     [this](const WatchedPrefix& aPrefix) {
                       return WatchAfter(aPrefix.m_keys) > Revision(0);
                     });
}

bool
ControlCore::WasPlatformRestored() const
{
  return std::any_of(m_settings.m_prefixes.begin(),
                     m_settings.m_prefixes.end(),
                     [this](const WatchedPrefix& aPrefix) {
                       return EraOf(WatchAfter(aPrefix.m_keys)) > kFirstEra;
                     });
}

void
ControlCore::UpdateSynchronized(MonotonicTime aNow)
{
  if (!m_listedAt && IsListed()) {
    m_listedAt = aNow;
  }
  m_isSynchronized |=
    m_gossip.HasPulled() || (m_listedAt && aNow >= *m_listedAt + kPeerWait);
}

void
ControlCore::ProcessMembers(const Times& aTimes)
{
  if (!m_membersDue || aTimes.m_now < *m_membersDue) {
    return;
  }
  m_membersDue.reset();
  m_membersAt = aTimes.m_now;
  m_viewDue = aTimes.m_now;
  UpdateKnownServices();
  UpdateRoles();
}

void
ControlCore::ScheduleView(MonotonicTime aNow)
{
  const MonotonicTime due = aNow + m_settings.m_viewDelay;
  m_viewDue = std::min(m_viewDue.value_or(due), due);
}

void
ControlCore::PublishView(const Times& aTimes, ControlActions& aActions)
{
  if (!m_viewDue || aTimes.m_now < *m_viewDue) {
    return;
  }
  m_viewDue.reset();
  const auto configurations = InForce();
  aActions.m_view = BuildView(
    m_gossip.Members().Self(),
    ViewInputs{ m_gossip.Members().Members(),
                configurations,
                [this](const ServiceId& aService) { return SplitOf(aService); },
                m_view.get(),
                &m_evacuations.DataCentres(),
                [this](const ClientAccountId& aAccount) {
                  return SettledRevision(aAccount);
                },
                m_registeredNodes });
  m_view = aActions.m_view;
  const auto bounds = OwnBounds();
  if (bounds != m_bounds) {
    m_bounds = bounds;
    aActions.m_bounds = bounds;
  }
  if (const ServiceSpec* service = OwnService()) {
    ColdBounds cold{ service->m_coldRate, service->m_healthTarget };
    if (cold != m_coldBounds) {
      m_coldBounds = cold;
      aActions.m_coldBounds = std::move(cold);
    }
  }
}

std::vector<std::shared_ptr<const Configuration>>
ControlCore::InForce() const
{
  std::vector<std::shared_ptr<const Configuration>> configurations;
  // A replaced node serves nothing until it has caught up with the state that
  // its predecessor on this VM had.
  if (!MayServe()) {
    return configurations;
  }
  for (const AccountStatus& account : m_store.Status()) {
    if (account.m_inForce) {
      configurations.push_back(m_store.InForce(account.m_account));
    }
  }
  return configurations;
}

const ServiceSpec*
ControlCore::OwnService() const
{
  const ServiceId& own = m_upstream.m_service;
  const auto configuration = m_store.InForce(own.m_owner);
  if (!configuration) {
    return nullptr;
  }
  const auto& services = configuration->m_services;
  const auto found = std::find_if(
    services.begin(), services.end(), [&](const ServiceSpec& aService) {
      return aService.m_id == own;
    });
  return found == services.end() ? nullptr : &*found;
}

std::optional<AdmissionBounds>
ControlCore::OwnBounds() const
{
  const ServiceSpec* service = OwnService();
  if (service == nullptr) {
    return std::nullopt;
  }
  return AdmissionBounds{ .m_owner = service->m_id.m_owner,
                          .m_limit = service->m_queueLimit,
                          .m_foreignShare = service->m_foreignShare };
}

ControlStatus
ControlCore::Status(WallTime aWall) const
{
  const Membership& members = m_gossip.Members();
  ControlStatus status;
  status.m_self = members.Self();
  status.m_isRelay = members.RelayRank().has_value();
  status.m_isBelowFloor = !MayServe();
  status.m_digest = m_gossip.Documents().Table().Digest();
  for (const auto& [vm, member] : members.Members()) {
    status.m_members.push_back(member);
  }
  status.m_accounts = m_store.Status();
  for (const AccountStatus& account : status.m_accounts) {
    const DocumentOrigin* origin =
      m_gossip.Documents().OriginOf(ConfigurationKey(account.m_account));
    if (origin != nullptr) {
      status.m_origins.emplace(account.m_account, *origin);
    }
  }
  if (status.m_isBelowFloor) {
    for (AccountStatus& account : status.m_accounts) {
      account.m_inForce.reset();
    }
  }
  status.m_moves = m_moves.Status(aWall);
  status.m_evacuated = m_evacuations.DataCentres();
  status.m_rejectedOrders = m_orders.Rejected();
  status.m_lastRejectedOrder = m_orders.LastRejection();
  status.m_ledger = m_ledger.Own().m_entries;
  status.m_membership = members.Counters();
  status.m_distribution = m_gossip.Documents().Counters();
  status.m_gossip = m_gossip.Counters();
  return status;
}

} // namespace tarragontray
