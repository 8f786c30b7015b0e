#include "process/ControlCore.h"

#include <criterion/criterion.h>

#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ClientAccountId kAccount("a");
const ServiceId kService{ kAccount, ServiceName("box-office") };

/// Reads every configuration as one route to kService.
class OneRouteDecoder final : public ConfigurationDecoder
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
    RouteSpec& route = configuration.m_routes.emplace_back();
    route.m_service = kService;
    return configuration;
  }
};

class OneNode
{
public:
  explicit OneNode(DepartureHistory aHistory = DepartureHistory::None)
    : m_random(1)
  {
    ControlSettings settings;
    settings.m_departureHistory = aHistory;
    settings.m_self.m_vm = VmId("vm-1");
    settings.m_self.m_dataCentre = DataCentreId("dc");
    settings.m_self.m_peerAddress = NetworkAddress(0x7F000001, 7000);
    settings.m_self.m_incarnation = Incarnation(1);
    m_core = ControlCore::Create(settings, m_decoder, m_random).value();
    Tick(seconds(5));
  }

  Times Now() const { return { MonotonicTime(m_now), WallTime(m_now) }; }
  /// Ticks the node when it asks for it; returns the number of views.
  std::size_t Tick(Duration aTime)
  {
    std::size_t views = 0;
    for (const Duration end = m_now + aTime; m_now < end;
         m_now += milliseconds(1)) {
      if (m_core->NextTick() <= MonotonicTime(m_now)) {
        views += m_core->OnTick(Now()).m_view ? 1 : 0;
      }
    }
    return views;
  }
  void ReadFromPlatform()
  {
    m_core->OnListing({ { ConfigurationKey(kAccount), Revision(7), "{}" } },
                      Revision(7),
                      Now(),
                      "configurations/",
                      DocumentChannel::List);
  }
  UpstreamReport Announced(std::uint32_t aSlots) const
  {
    UpstreamReport report;
    report.m_announcement = {
      kService, UpstreamVersion("v1"), UpstreamState::Live, SlotCount(aSlots)
    };
    return report;
  }

  OneRouteDecoder m_decoder;
  SeededRandom m_random;
  std::unique_ptr<ControlCore> m_core;
  Duration m_now = seconds(100);
};

/// Nodes of one data centre, whose datagrams arrive at once.
class DataCentre
{
public:
  explicit DataCentre(std::uint16_t aNodes)
    : m_random(1)
  {
    for (std::uint16_t i = 0; i < aNodes; ++i) {
      ControlSettings settings = SettingsOf(i);
      settings.m_seeds = { AddressOf(0) };
      m_cores.push_back(
        ControlCore::Create(settings, m_decoder, m_random).value());
    }
    Run(seconds(10));
  }

  static ControlSettings SettingsOf(std::size_t aNode)
  {
    ControlSettings settings;
    settings.m_self.m_vm = VmId("vm-" + std::to_string(aNode));
    settings.m_self.m_dataCentre = DataCentreId("dc");
    settings.m_self.m_peerAddress = AddressOf(aNode);
    settings.m_self.m_incarnation = Incarnation(1);
    return settings;
  }
  /// Replaces a node's process while the platform is away, so that it knows
  /// nobody until a peer probes it.
  void RestartWithoutPlatform(std::size_t aNode)
  {
    ControlSettings settings = SettingsOf(aNode);
    settings.m_self.m_incarnation = Incarnation(2);
    settings.m_departureHistory = DepartureHistory::PlatformOrPeers;
    m_cores[aNode] = ControlCore::Create(settings, m_decoder, m_random).value();
  }
  void Report(std::size_t aNode, const UpstreamReport& aReport)
  {
    Handle(aNode, m_cores[aNode]->OnUpstreamReport(aReport, Now()));
  }
  /// The state of a node's upstream as another one sees it.
  UpstreamState StateAt(std::size_t aObserver, std::size_t aNode) const
  {
    for (const MemberRecord& member :
         m_cores[aObserver]->Status(Now().m_wall).m_members) {
      if (member.m_vm == SettingsOf(aNode).m_self.m_vm) {
        return member.m_upstream.m_state;
      }
    }
    return UpstreamState::Absent;
  }

  static NetworkAddress AddressOf(std::size_t aNode)
  {
    return { 0x7F000001, static_cast<std::uint16_t>(7000 + aNode) };
  }
  Times Now() const { return { MonotonicTime(m_now), WallTime(m_now) }; }
  void Run(Duration aTime)
  {
    for (const Duration end = m_now + aTime; m_now < end;
         m_now += milliseconds(10)) {
      for (std::size_t i = 0; i < m_cores.size(); ++i) {
        Handle(i, m_cores[i]->OnTick(Now()));
      }
    }
  }
  void Handle(std::size_t aNode, const ControlActions& aActions)
  {
    for (const UsagePage& page : aActions.m_usage) {
      ++m_writes;
      for (const UsageReport& report : page.m_reports) {
        CallCount& calls = m_written[report.m_vm];
        for (const UsageEntry& entry : report.m_entries) {
          calls = std::max(calls, entry.m_usage.m_calls);
        }
      }
    }
    if (aActions.m_pull) {
      const std::size_t peer = aActions.m_pull->m_peer.Port() - 7000U;
      Handle(
        aNode,
        m_cores[aNode]->OnPullAnswer(
          m_cores[peer]->OnPull(aActions.m_pull->m_request, Now()), Now()));
    }
    for (const OutgoingDatagram& outgoing : aActions.m_send) {
      const std::size_t to = outgoing.m_to.Port() - 7000U;
      if (to != m_lost) {
        Handle(to,
               m_cores[to]->OnDatagram(
                 outgoing.m_datagram, AddressOf(aNode), Now()));
      }
    }
  }
  void Use(std::size_t aNode, std::uint64_t aCalls)
  {
    UsageBatch batch;
    batch.m_usage[{ kAccount, kAccount }].m_calls = CallCount(aCalls);
    m_cores[aNode]->OnUsage(batch);
    m_used[VmId("vm-" + std::to_string(aNode))] += CallCount(aCalls);
  }

  std::map<VmId, CallCount> m_used;
  std::map<VmId, CallCount> m_written;
  std::size_t m_writes = 0;
  /// Datagrams to this node are lost.
  std::optional<std::size_t> m_lost;
  OneRouteDecoder m_decoder;
  SeededRandom m_random;
  std::vector<std::unique_ptr<ControlCore>> m_cores;

private:
  Duration m_now = seconds(100);
};

const UpstreamProcess kProcess{ UpstreamInstanceId("i-1"), UpstreamBirth(100) };

UpstreamReport
Heartbeat(std::uint64_t aBirth, std::uint64_t aNumber)
{
  UpstreamReport report;
  report.m_announcement = {
    kService, UpstreamVersion("v1"), UpstreamState::Live, SlotCount(8)
  };
  report.m_place.m_instance = kProcess.m_instance;
  report.m_birth = UpstreamBirth(aBirth);
  report.m_number = AnnouncementNumber(aNumber);
  return report;
}

UpstreamReport
LeaveNotice()
{
  UpstreamReport report;
  report.m_isLeave = true;
  report.m_place.m_instance = kProcess.m_instance;
  report.m_birth = kProcess.m_birth;
  return report;
}

} // namespace

/// A heartbeat that was held up on its way reaches the next process of the
/// node, which no longer knows that its upstream has left.
Test(ControlCore, ADepartedUpstreamIsUsedAgainAfterAKillWithThePlatformAway)
{
  DataCentre nodes(6);
  nodes.Report(2, Heartbeat(100, 4));
  nodes.Run(seconds(2));
  cr_assert(nodes.StateAt(0, 2) == UpstreamState::Live);
  nodes.Report(2, LeaveNotice());
  cr_assert(!nodes.m_cores[2]->IsDepartureRecorded(kProcess));
  nodes.Run(milliseconds(500));
  cr_assert(nodes.m_cores[2]->IsDepartureRecorded(kProcess));
  nodes.RestartWithoutPlatform(2);
  nodes.Report(2, Heartbeat(100, 3));
  for (int step = 0; step < 100; ++step) {
    nodes.Run(milliseconds(100));
    for (std::size_t observer = 0; observer < 6; ++observer) {
      cr_assert(nodes.StateAt(observer, 2) != UpstreamState::Live);
    }
  }
  cr_assert(nodes.m_cores[2]->IsDepartureHistoryKnown());
  cr_assert(nodes.m_cores[2]->Departed().Covers(kProcess));
  // Another process of the upstream is used.
  nodes.Report(2, Heartbeat(200, 1));
  nodes.Run(seconds(2));
  cr_assert(nodes.StateAt(0, 2) == UpstreamState::Live);
}

Test(ControlCore, ADepartureThatOnlyThisProcessKnowsIsAcknowledged)
{
  OneNode node(DepartureHistory::PlatformOrPeers);
  node.m_core->OnUpstreamReport(Heartbeat(100, 1), node.Now());
  node.m_core->OnUpstreamReport(LeaveNotice(), node.Now());
  node.Tick(seconds(30));
  cr_assert(!node.m_core->IsDepartureRecorded(kProcess));
  node.m_core->OnOwnEntry({}, Revision(7), node.Now());
  cr_assert(!node.m_core->IsDepartureRecorded(kProcess));
  node.m_core->OnOwnEntry(node.m_core->Departed(), Revision(8), node.Now());
  cr_assert(node.m_core->IsDepartureRecorded(kProcess));
}

Test(ControlCore, AnUpstreamIsUsedBeforeTheNodeKnowsWhichHaveLeft)
{
  OneNode node(DepartureHistory::PlatformOrPeers);
  node.m_core->OnUpstreamReport(Heartbeat(100, 1), node.Now());
  node.Tick(seconds(1));
  const auto state = [&] {
    return node.m_core->Status(node.Now().m_wall).m_self.m_upstream.m_state;
  };
  cr_assert(state() == UpstreamState::Absent);
  const ControlActions actions =
    node.m_core->OnOwnEntry({}, Revision(7), node.Now());
  cr_assert(actions.m_upstream.has_value());
  cr_assert(state() == UpstreamState::Live);
}

/// The copy from which the platform was restored may lack the newest entries.
Test(ControlCore, AnEntryOfARestoredPlatformIsTakenForComplete)
{
  OneNode node(DepartureHistory::PlatformOrPeers);
  node.m_core->OnOwnEntry({}, *RevisionIn(PlatformEra(2), 7), node.Now());
  cr_assert(!node.m_core->IsDepartureHistoryKnown());
  node.m_core->OnPullAnswer({}, node.Now());
  node.Tick(milliseconds(500));
  cr_assert(node.m_core->IsDepartureHistoryKnown());
}

/// The platform's rates grow more slowly than the fleet.
Test(ControlCore, EveryNodeWritesItsUsageToThePlatform)
{
  DataCentre nodes(8);
  for (int round = 0; round < 6; ++round) {
    for (std::size_t node = 0; node < nodes.m_cores.size(); ++node) {
      nodes.Use(node, node + 1);
    }
    nodes.Run(seconds(10));
  }
  nodes.Run(seconds(25));
  cr_assert(nodes.m_written == nodes.m_used);
  // One write in each round, and one by a node that takes over.
  cr_assert_leq(nodes.m_writes, 12, "%zu", nodes.m_writes);
}

/// A call that finds only the target that has just left is refused.
Test(ControlCore, AChangeInASmallFleetWaitsForTheViewOfTheOneBefore)
{
  OneNode node;
  node.m_core->OnUpstreamReport(node.Announced(8), node.Now());
  node.ReadFromPlatform();
  node.Tick(seconds(1));
  for (std::uint32_t slots = 9; slots < 19; ++slots) {
    node.m_core->OnUpstreamReport(node.Announced(slots), node.Now());
    cr_assert_eq(node.Tick(milliseconds(30)), 1);
  }
}

Test(ControlCore, UsageIsLostWithTheDatagramOfANodeThatStaysIdle)
{
  DataCentre nodes(3);
  for (std::size_t lost = 0; lost < 3; ++lost) {
    for (std::size_t node = 0; node < 3; ++node) {
      nodes.Use(node, 5);
    }
    // Shorter than the time after which peers declare the node dead.
    nodes.m_lost = lost;
    nodes.Run(milliseconds(1'500));
    nodes.m_lost.reset();
    nodes.Run(seconds(30));
    cr_assert(nodes.m_written == nodes.m_used);
  }
}

Test(ControlCore, UsageSinceTheLastReportIsLostInAPlannedStop)
{
  DataCentre nodes(3);
  for (std::size_t node = 0; node < 3; ++node) {
    nodes.Use(node, 5);
  }
  for (std::size_t node = 0; node < 3; ++node) {
    nodes.Handle(node, nodes.m_cores[node]->Leave(nodes.Now()));
  }
  nodes.Run(seconds(1));
  cr_assert(nodes.m_written == nodes.m_used);
}

/// The view for the configuration is due at once, the one for the service that
/// it waits for only later.
Test(ControlCore, ConfigurationReadTogetherWithItsServiceIsNeverInForce)
{
  OneNode node;
  node.m_core->OnUpstreamReport(node.Announced(8), node.Now());
  node.ReadFromPlatform();
  node.Tick(seconds(1));
  cr_assert(node.m_core->IsReady());
}

/// In a fleet of 400 members. Each view costs time in proportion to the fleet,
/// whose changes are proportional to it, too.
Test(ControlCore, EveryChangeOfTheMembershipCausesAView)
{
  OneNode node;
  node.m_core->OnUpstreamReport(node.Announced(8), node.Now());
  node.ReadFromPlatform();
  Datagram others;
  others.m_from = VmId("peer-1");
  for (int i = 1; i < 400; ++i) {
    MemberRecord& record = others.m_members.emplace_back();
    record.m_vm = VmId("peer-" + std::to_string(i));
    record.m_dataCentre = DataCentreId("dc");
    record.m_cell = record.m_dataCentre;
    record.m_incarnation = Incarnation(1);
    record.m_state = NodeState::Dead;
  }
  node.m_core->OnDatagram(others, { 0x7F000001, 7001 }, node.Now());
  node.Tick(seconds(1));
  std::size_t views = 0;
  for (std::uint32_t slots = 9; slots < 109; ++slots) {
    const ControlActions actions =
      node.m_core->OnUpstreamReport(node.Announced(slots), node.Now());
    views += (actions.m_view ? 1 : 0) + node.Tick(milliseconds(10));
  }
  cr_assert_geq(views, 4);
  cr_assert_leq(views, 6, "%zu", views);
  // A single change after that takes effect without the interval.
  node.Tick(seconds(1));
  node.m_core->OnUpstreamReport(node.Announced(8), node.Now());
  cr_assert_eq(node.Tick(milliseconds(30)), 1);
}

/// The guard takes an announcement that was held up for a new one, or misses
/// those that change nothing else.
Test(ControlCore, HeartbeatsReachTheGuardMoreOrLessThanOnce)
{
  OneNode node;
  const auto hear = [&](std::uint64_t aNumber, Duration aColdRemaining) {
    UpstreamReport report = Heartbeat(100, aNumber);
    report.m_coldRemaining = aColdRemaining;
    return node.m_core->OnUpstreamReport(report, node.Now()).m_heartbeat;
  };
  const auto first = hear(1, seconds(3));
  cr_assert(first && first->m_process == kProcess);
  cr_assert(first->m_coldRemaining == seconds(3));
  cr_assert(hear(3, Duration(0)).has_value());
  cr_assert(!hear(2, seconds(1)).has_value());
  cr_assert(!hear(3, Duration(0)).has_value());
  cr_assert(hear(4, Duration(0)).has_value());
  cr_assert(!node.m_core->OnUpstreamReport(LeaveNotice(), node.Now())
               .m_heartbeat.has_value());
}

} // namespace tarragontray
