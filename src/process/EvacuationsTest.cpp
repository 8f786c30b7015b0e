// Tests that an evacuation reaches and stays on every node, whichever of them
// are restarted and whether or not the platform can be reached.
#include "process/Evacuations.h"

#include <criterion/criterion.h>

#include "process/ControlCore.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ClientAccountId kAccount("a");
const ServiceId kService{ kAccount, ServiceName("box-office") };
const DataCentreId kEvacuated("dc-1");
const std::string kPrefix(kEvacuationPrefix);

class OneServiceDecoder final : public ConfigurationDecoder
{
public:
  Result<Template> DecodeTemplate(std::string_view) const override
  {
    return Error(ErrorCode::InvalidArgument, "decode", "", "not supported");
  }
  Result<AccountParameters> DecodeParameters(std::string_view) const override
  {
    return Error(ErrorCode::InvalidArgument, "decode", "", "not supported");
  }
  std::optional<Result<Configuration>> DecodeConfiguration(
    const Document&) const override
  {
    Configuration configuration;
    configuration.m_account = kAccount;
    configuration.m_declaresServices = true;
    configuration.m_services.emplace_back().m_id = kService;
    configuration.m_routes.emplace_back().m_service = kService;
    return configuration;
  }
};

/// The documents of one object that was written at a revision, or of none.
std::vector<Document>
Listed(std::optional<std::uint64_t> aRevision)
{
  std::vector<Document> documents;
  if (aRevision) {
    documents.push_back(
      { EvacuationKey(kEvacuated), Revision(*aRevision), "{}" });
  }
  return documents;
}

/// Four nodes in two data centres of one cell, each with an upstream; their
/// datagrams arrive at once. Nodes 0 and 2 are in dc-0, 1 and 3 in dc-1.
class Fleet
{
public:
  static constexpr std::size_t kNodes = 4;

  explicit Fleet(bool aWatchesEvacuations = true)
    : m_watchesEvacuations(aWatchesEvacuations)
    , m_random(1)
  {
    m_cores.resize(kNodes);
    m_views.resize(kNodes);
    m_isRefusing.resize(kNodes);
    for (std::size_t node = 0; node < kNodes; ++node) {
      Start(node, 1);
    }
    Run(seconds(8));
    List(0,
         "configurations/",
         5,
         { { ConfigurationKey(kAccount), Revision(5), "{}" } });
    Run(seconds(4));
  }

  /// Starts a process whose platform can't be reached.
  void Start(std::size_t aNode, std::uint64_t aIncarnation)
  {
    ControlSettings settings;
    settings.m_self.m_vm = VmId("vm-" + std::to_string(aNode));
    settings.m_self.m_dataCentre =
      DataCentreId("dc-" + std::to_string(aNode % 2));
    settings.m_self.m_cell = DataCentreId("cell");
    settings.m_self.m_peerAddress = AddressOf(aNode);
    settings.m_self.m_incarnation = Incarnation(aIncarnation);
    settings.m_seeds = { AddressOf(aNode == 0 ? 1 : 0) };
    settings.m_prefixes = { { "configurations/" } };
    if (m_watchesEvacuations) {
      settings.m_prefixes.push_back(
        { .m_keys = kPrefix, .m_isDeletedByAbsence = true });
    }
    m_cores[aNode] = ControlCore::Create(settings, m_decoder, m_random).value();
    m_views[aNode].reset();
    m_isRefusing[aNode] = false;
    Announce(aNode);
  }
  void Announce(std::size_t aNode)
  {
    UpstreamReport report;
    report.m_announcement = {
      kService, UpstreamVersion("v1"), UpstreamState::Live, SlotCount(8)
    };
    Handle(aNode, m_cores[aNode]->OnUpstreamReport(report, Now()));
  }
  void List(std::size_t aNode,
            const std::string& aPrefix,
            std::uint64_t aComplete,
            const std::vector<Document>& aDocuments,
            ListingExtent aExtent = ListingExtent::Whole)
  {
    Handle(aNode,
           m_cores[aNode]->OnListing(aDocuments,
                                     Revision(aComplete),
                                     Now(),
                                     aPrefix,
                                     DocumentChannel::List,
                                     aExtent));
  }
  void Run(Duration aTime)
  {
    for (const Duration end = m_now + aTime; m_now < end;
         m_now += milliseconds(10)) {
      for (std::size_t node = 0; node < kNodes; ++node) {
        if (m_now % seconds(1) == Duration::zero()) {
          Announce(node);
        }
        Handle(node, m_cores[node]->OnTick(Now()));
      }
    }
  }

  /// The data centres that a node sends calls to.
  std::set<DataCentreId> TargetsOf(std::size_t aNode) const
  {
    std::set<DataCentreId> dataCentres;
    const auto& services = m_views[aNode]->m_services;
    if (const auto found = services.find(kService); found != services.end()) {
      for (const Target& target : found->second.m_targets) {
        dataCentres.insert(target.m_dataCentre);
      }
    }
    return dataCentres;
  }
  /// Whether all nodes send no calls to the data centre and its guards refuse
  /// them.
  bool IsEvacuatedEverywhere() const
  {
    for (std::size_t node = 0; node < kNodes; ++node) {
      if (TargetsOf(node) != std::set{ DataCentreId("dc-0") } ||
          m_isRefusing[node] != (node % 2 == 1)) {
        return false;
      }
    }
    return true;
  }
  bool IsServedEverywhere() const
  {
    for (std::size_t node = 0; node < kNodes; ++node) {
      if (TargetsOf(node).size() != 2 || m_isRefusing[node]) {
        return false;
      }
    }
    return true;
  }

  std::vector<bool> m_isRefusing;
  std::vector<std::shared_ptr<const View>> m_views;
  std::vector<std::unique_ptr<ControlCore>> m_cores;

private:
  static NetworkAddress AddressOf(std::size_t aNode)
  {
    return { 0x7F000001, static_cast<std::uint16_t>(7000 + aNode) };
  }
  Times Now() const { return { MonotonicTime(m_now), WallTime(m_now) }; }
  void Handle(std::size_t aNode, const ControlActions& aActions)
  {
    m_isRefusing[aNode] = aActions.m_isEvacuated.value_or(m_isRefusing[aNode]);
    if (aActions.m_view) {
      m_views[aNode] = aActions.m_view;
    }
    if (aActions.m_pull) {
      const auto& peer = m_cores[aActions.m_pull->m_peer.Port() - 7000U];
      Handle(aNode,
             m_cores[aNode]->OnPullAnswer(
               peer->OnPull(aActions.m_pull->m_request, Now()), Now()));
    }
    for (const OutgoingDatagram& outgoing : aActions.m_send) {
      const std::size_t to = outgoing.m_to.Port() - 7000U;
      if (m_cores[to]) {
        Handle(to,
               m_cores[to]->OnDatagram(
                 outgoing.m_datagram, AddressOf(aNode), Now()));
      }
    }
  }

  bool m_watchesEvacuations;
  OneServiceDecoder m_decoder;
  SeededRandom m_random;
  Duration m_now = seconds(100);
};

/// A fleet in which one node has listed the object.
Fleet
EvacuatedFleet()
{
  Fleet fleet;
  fleet.List(0, kPrefix, 8, Listed(8));
  fleet.Run(seconds(2));
  return fleet;
}

} // namespace

Test(Evacuations, ReachesNodesThatDoNotWatchIt)
{
  Fleet fleet;
  cr_assert(fleet.IsServedEverywhere());
  fleet.List(0, kPrefix, 8, Listed(8));
  fleet.Run(seconds(2));
  cr_assert(fleet.IsEvacuatedEverywhere());
  cr_assert(fleet.m_cores[3]->Status({}).m_evacuated == std::set{ kEvacuated });
}

/// The deletion happened in an outage, after which no watch reports it.
Test(Evacuations, ObjectDeletedDuringAnOutageStaysInForce)
{
  Fleet fleet = EvacuatedFleet();
  // The outage: nothing is read from the platform.
  fleet.Run(seconds(60));
  cr_assert(fleet.IsEvacuatedEverywhere());
  fleet.List(2, kPrefix, 12, Listed({}));
  fleet.Run(seconds(2));
  cr_assert(fleet.IsServedEverywhere());
  // A node that missed the deletion gets it from its peers.
  fleet.Start(3, 2);
  fleet.Run(seconds(10));
  cr_assert(fleet.IsServedEverywhere());
  // The object is written again.
  fleet.List(2, kPrefix, 14, Listed(14));
  fleet.Run(seconds(2));
  cr_assert(fleet.IsEvacuatedEverywhere());
}

/// A listing that does not show what happened to the object ends nothing.
Test(Evacuations, EndsByAListingThatDoesNotCoverTheObject)
{
  Fleet fleet = EvacuatedFleet();
  fleet.List(0, kPrefix, 7, Listed({}));
  fleet.List(0, kPrefix, 12, Listed({}), ListingExtent::Partial);
  fleet.List(0, "configurations/", 12, Listed({}));
  const Revision restored = *RevisionIn(PlatformEra(2), 12);
  fleet.List(0, kPrefix, restored.Value(), Listed({}));
  fleet.Run(seconds(2));
  cr_assert(fleet.IsEvacuatedEverywhere());
}

/// The process that knew of the evacuation is gone, and the platform, too.
Test(Evacuations, RestartedNodeForgetsItWhileThePlatformIsAway)
{
  Fleet fleet = EvacuatedFleet();
  for (const std::size_t node : { std::size_t{ 1 }, std::size_t{ 2 } }) {
    fleet.Start(node, 2);
    for (int step = 0; step < 100; ++step) {
      fleet.Run(milliseconds(100));
      const bool sendsThere = fleet.m_views[node] != nullptr &&
                              fleet.TargetsOf(node).contains(kEvacuated);
      cr_assert(!sendsThere);
      cr_assert(fleet.m_isRefusing[1]);
    }
    cr_assert(fleet.IsEvacuatedEverywhere());
  }
}

/// Deployments that don't watch evacuations are served as before.
Test(Evacuations, GuardWaitsForEvacuationsThatAreNotWatched)
{
  Fleet fleet(false);
  cr_assert(fleet.IsServedEverywhere());
  fleet.Start(1, 2);
  fleet.Run(milliseconds(20));
  cr_assert(!fleet.m_isRefusing[1]);
}

Test(Evacuations, MoreDataCentresThanTheBoundAreCounted)
{
  Evacuations evacuations;
  std::vector<Document> documents;
  for (std::size_t i = 0; i < Evacuations::kMaxDataCentres + 1; ++i) {
    documents.push_back({ EvacuationKey(DataCentreId(std::to_string(i))),
                          Revision(i + 1),
                          "{}" });
  }
  cr_assert(evacuations.Offer(documents));
  cr_assert_eq(evacuations.DataCentres().size(), Evacuations::kMaxDataCentres);
  cr_assert_eq(evacuations.Refused(), 1);
  cr_assert(!evacuations.Offer(documents));
}

} // namespace tarragontray
