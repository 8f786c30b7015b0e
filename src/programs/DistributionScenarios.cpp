#include "programs/DistributionScenarios.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include "process/testing/FakeNetwork.h"
#include "programs/WatchBaseline.h"

namespace tarragontray {

namespace {

using testing::FakeNetwork;
using testing::FakeNode;

/// Documents stored before the measurement: the client accounts and templates
/// of 35 services.
constexpr std::size_t kDocuments = 40;
constexpr std::size_t kBodyBytes = 300;
/// Start-up time of the fleet before the measurement begins.
constexpr Duration kSettle = std::chrono::seconds(30);
/// Longer than kSettle, so that the gossip about the start-up has ended.
constexpr Duration kSettleForRest = std::chrono::seconds(120);
constexpr std::size_t kChanges = 10;
constexpr Duration kChangeGap = std::chrono::seconds(2);
constexpr std::size_t kBurst = 100;
constexpr Duration kBurstGap = std::chrono::milliseconds(10);
constexpr Duration kWindow = std::chrono::seconds(20);

std::string
Key(std::size_t aNumber)
{
  return "configurations/account-" + std::to_string(aNumber);
}

void
Build(FakeNetwork& aNetwork, const ScenarioSettings& aSettings)
{
  aNetwork.m_isCheckingRecords = false;
  for (std::size_t i = 0; i < kDocuments; ++i) {
    aNetwork.Write(Key(i), std::string(kBodyBytes, 'x'));
  }
  for (std::size_t i = 0; i < aSettings.m_nodes; ++i) {
    std::string dataCentre = "dc";
    dataCentre += std::to_string(i % aSettings.m_dataCentres + 1);
    std::string vm = dataCentre;
    vm += "-box-office-";
    vm += std::to_string(i / aSettings.m_dataCentres + 1);
    aNetwork.Start(vm, dataCentre);
  }
}

PropagationFigures
FromDelays(std::vector<Duration> aDelays)
{
  PropagationFigures figures;
  if (aDelays.empty()) {
    return figures;
  }
  std::sort(aDelays.begin(), aDelays.end());
  figures.m_p50 = aDelays[aDelays.size() / 2];
  figures.m_p99 = aDelays[aDelays.size() * 99 / 100];
  figures.m_max = aDelays.back();
  return figures;
}

/// Measures the traffic and the platform calls of a scenario, starting at its
/// construction.
class Meter
{
public:
  explicit Meter(FakeNetwork& aNetwork)
    : m_network(aNetwork)
    , m_start(aNetwork.Now())
    , m_calls(aNetwork.ThePlatform().m_calls)
  {
    for (const auto& [vm, node] : aNetwork.Nodes()) {
      m_bytes[vm] = node->m_bytesSent + node->m_bytesReceived;
    }
  }

  /// \param aWritten the written revisions and their write times.
  PropagationFigures Read(
    const std::map<Revision, MonotonicTime>& aWritten) const
  {
    std::vector<Duration> delays;
    std::size_t missing = 0;
    for (const auto& [vm, node] : m_network.Nodes()) {
      for (const auto& [revision, time] : aWritten) {
        const auto applied = node->m_appliedAt.find(revision);
        if (applied == node->m_appliedAt.end()) {
          ++missing;
        } else {
          delays.push_back(applied->second - time);
        }
      }
    }
    PropagationFigures figures = FromDelays(std::move(delays));
    figures.m_missing = missing;
    const double seconds = Seconds();
    for (const auto& [vm, node] : m_network.Nodes()) {
      const std::uint64_t total = node->m_bytesSent + node->m_bytesReceived;
      const double rate = static_cast<double>(total - m_bytes.at(vm)) / seconds;
      figures.m_meanBytesPerSecond +=
        rate / static_cast<double>(m_network.Nodes().size());
      figures.m_maxBytesPerSecond = std::max(figures.m_maxBytesPerSecond, rate);
    }
    figures.m_platformCallsPerSecond =
      static_cast<double>(m_network.ThePlatform().m_calls - m_calls) / seconds;
    return figures;
  }
  double Seconds() const
  {
    return std::chrono::duration<double>(m_network.Now() - m_start).count();
  }

private:
  FakeNetwork& m_network;
  MonotonicTime m_start;
  std::uint64_t m_calls;
  std::map<VmId, std::uint64_t> m_bytes;
};

PropagationFigures
FromBaseline(WatchBaseline& aBaseline, std::size_t aNodes, Duration aWindow)
{
  aBaseline.Finish();
  PropagationFigures figures = FromDelays(aBaseline.Delays());
  const double seconds = std::chrono::duration<double>(aWindow).count();
  figures.m_meanBytesPerSecond = static_cast<double>(aBaseline.Bytes()) /
                                 seconds / static_cast<double>(aNodes);
  figures.m_maxBytesPerSecond = figures.m_meanBytesPerSecond;
  figures.m_platformCallsPerSecond =
    static_cast<double>(aBaseline.Calls()) / seconds;
  return figures;
}

/// Keeps a fixed share of the nodes paused. The nodes and the durations, 2 to
/// 10 s, are drawn from a seeded generator.
class Pauser
{
public:
  Pauser(FakeNetwork& aNetwork, double aShare, std::uint64_t aSeed)
    : m_network(aNetwork)
    , m_random(aSeed)
  {
    for (const auto& [vm, node] : aNetwork.Nodes()) {
      m_vms.push_back(vm.Value());
    }
    m_count =
      static_cast<std::size_t>(aShare * static_cast<double>(m_vms.size()));
  }

  void Step()
  {
    for (auto paused = m_until.begin(); paused != m_until.end();) {
      if (paused->second > m_network.Now()) {
        ++paused;
        continue;
      }
      m_network.Resume(paused->first);
      m_resumedAt[paused->first] = m_network.Now();
      paused = m_until.erase(paused);
    }
    while (m_until.size() < m_count) {
      const std::string& vm = m_vms[m_random.Below(m_vms.size())];
      if (!m_network.Node(vm).m_isAlive || m_until.contains(vm)) {
        continue;
      }
      constexpr std::uint64_t kDurationRange = 8'000;
      m_until[vm] = m_network.Now() + std::chrono::milliseconds(
                                        2'000 + m_random.Below(kDurationRange));
      m_network.Pause(vm);
    }
  }

  /// Whether the node is alive and has not been paused within the last
  /// aPeriod.
  bool IsRunning(const std::string& aVm, Duration aPeriod) const
  {
    const auto resumed = m_resumedAt.find(aVm);
    return m_network.Node(aVm).m_isAlive && !m_until.contains(aVm) &&
           (resumed == m_resumedAt.end() ||
            m_network.Now() - resumed->second > aPeriod);
  }

private:
  FakeNetwork& m_network;
  SeededRandom m_random;
  std::vector<std::string> m_vms;
  std::size_t m_count = 0;
  std::map<std::string, MonotonicTime> m_until;
  std::map<std::string, MonotonicTime> m_resumedAt;
};

NodeState
StateAt(const FakeNode& aNode, const VmId& aVm)
{
  const MemberRecord* record = aNode.m_gossip->Members().Table().Find(aVm);
  return record == nullptr ? NodeState::Dead : record->m_state;
}

/// Whether every running node, or every running node in the data centre of aVm,
/// has aVm in state aAtLeast or a later one.
bool
AllReport(FakeNetwork& aNetwork,
          const VmId& aVm,
          NodeState aAtLeast,
          bool aOwnDataCentreOnly)
{
  const DataCentreId& home = aNetwork.Nodes().at(aVm)->m_dataCentre;
  return std::all_of(
    aNetwork.Nodes().begin(), aNetwork.Nodes().end(), [&](const auto& aEntry) {
      const FakeNode& node = *aEntry.second;
      const bool isObserver =
        node.m_isAlive && !node.m_isPaused &&
        (!aOwnDataCentreOnly || node.m_dataCentre == home);
      return !isObserver || StateAt(node, aVm) >= aAtLeast;
    });
}

/// Counts the running members that become suspect or dead in the member table
/// of a node.
class FalsePositives
{
public:
  void Observe(FakeNetwork& aNetwork, const Pauser& aPauser)
  {
    // A node that has just resumed still holds member states from before its
    // pause, so its table is not counted until it has caught up. A member that
    // has just resumed gets time to refute a suspicion.
    constexpr Duration kCatchUpPeriod = std::chrono::seconds(5);
    constexpr Duration kRefutePeriod = std::chrono::seconds(1);
    const auto isRunning = [&](const VmId& aVm) {
      return aPauser.IsRunning(aVm.Value(), kRefutePeriod);
    };
    std::set<VmId> suspected;
    std::set<VmId> dead;
    for (const auto& [vm, node] : aNetwork.Nodes()) {
      if (!aPauser.IsRunning(vm.Value(), kCatchUpPeriod)) {
        continue;
      }
      for (const auto& [other, record] : node->m_gossip->Members().Members()) {
        if (record.m_state == NodeState::Suspect) {
          suspected.insert(other);
        } else if (record.m_state == NodeState::Dead) {
          dead.insert(other);
        }
      }
    }
    m_suspicions += CountNew(suspected, m_suspected, isRunning);
    m_deaths += CountNew(dead, m_dead, isRunning);
  }

  std::size_t m_suspicions = 0;
  std::size_t m_deaths = 0;

private:
  static std::size_t CountNew(
    std::set<VmId>& aNow,
    std::set<VmId>& aBefore,
    const std::function<bool(const VmId&)>& aIsRunning)
  {
    const auto count =
      std::count_if(aNow.begin(), aNow.end(), [&](const VmId& aVm) {
        return !aBefore.contains(aVm) && aIsRunning(aVm);
      });
    aBefore = std::move(aNow);
    return static_cast<std::size_t>(count);
  }

  std::set<VmId> m_suspected;
  std::set<VmId> m_dead;
};

} // namespace

PropagationFigures
MeasureRest(const ScenarioSettings& aSettings)
{
  FakeNetwork network(aSettings.m_seed, { .m_loss = aSettings.m_loss });
  Build(network, aSettings);
  network.Run(kSettleForRest);
  const Meter meter(network);
  network.Run(kWindow);
  return meter.Read({});
}

PropagationFigures
MeasureChange(const ScenarioSettings& aSettings)
{
  FakeNetwork network(aSettings.m_seed, { .m_loss = aSettings.m_loss });
  Build(network, aSettings);
  network.Run(kSettle);
  const Meter meter(network);
  std::map<Revision, MonotonicTime> written;
  for (std::size_t i = 0; i < kChanges; ++i) {
    written[Revision(kDocuments + i + 1)] = network.Now();
    network.Write(Key(i), std::string(kBodyBytes, 'y'));
    network.Run(kChangeGap);
  }
  PropagationFigures figures = meter.Read(written);
  network.Run(kWindow);
  const PropagationFigures late = meter.Read(written);
  figures.m_p50 = late.m_p50;
  figures.m_p99 = late.m_p99;
  figures.m_max = late.m_max;
  figures.m_missing = late.m_missing;
  return figures;
}

PropagationFigures
MeasureBurst(const ScenarioSettings& aSettings)
{
  FakeNetwork network(aSettings.m_seed, { .m_loss = aSettings.m_loss });
  Build(network, aSettings);
  network.Run(kSettle);
  const Meter meter(network);
  std::map<Revision, MonotonicTime> written;
  for (std::size_t i = 0; i < kBurst; ++i) {
    written[Revision(kDocuments + i + 1)] = network.Now();
    network.Write(Key(kDocuments + i), std::string(kBodyBytes, 'y'));
    network.Run(kBurstGap);
  }
  network.Run(kWindow - kBurst * kBurstGap);
  return meter.Read(written);
}

PropagationFigures
MeasureReturn(const ScenarioSettings& aSettings)
{
  FakeNetwork network(aSettings.m_seed, { .m_loss = aSettings.m_loss });
  Build(network, aSettings);
  const Meter meter(network);
  std::map<Revision, MonotonicTime> written;
  for (std::size_t i = 0; i < kDocuments; ++i) {
    written[Revision(i + 1)] = network.Now();
  }
  network.Run(kWindow);
  return meter.Read(written);
}

PropagationFigures
MeasureBaselineChange(const ScenarioSettings& aSettings)
{
  WatchBaseline baseline(aSettings.m_nodes);
  for (std::size_t i = 0; i < kChanges; ++i) {
    baseline.Write(kChangeGap * static_cast<std::int64_t>(i + 1),
                   ByteCount(kBodyBytes));
  }
  return FromBaseline(baseline,
                      aSettings.m_nodes,
                      kChangeGap * static_cast<std::int64_t>(kChanges));
}

PropagationFigures
MeasureBaselineBurst(const ScenarioSettings& aSettings)
{
  WatchBaseline baseline(aSettings.m_nodes);
  for (std::size_t i = 0; i < kBurst; ++i) {
    baseline.Write(kWindow + kBurstGap * static_cast<std::int64_t>(i),
                   ByteCount(kBodyBytes));
  }
  return FromBaseline(baseline, aSettings.m_nodes, kWindow);
}

PropagationFigures
MeasureBaselineReturn(const ScenarioSettings& aSettings)
{
  WatchBaseline baseline(aSettings.m_nodes);
  baseline.ReturnAll(kWindow, kDocuments, ByteCount(kBodyBytes));
  return FromBaseline(baseline, aSettings.m_nodes, kWindow);
}

DetectionFigures
MeasureDetection(const ScenarioSettings& aSettings, double aPausedShare)
{
  constexpr std::size_t kKills = 5;
  constexpr Duration kGap = std::chrono::seconds(30);
  constexpr Duration kStep = std::chrono::milliseconds(100);
  FakeNetwork network(aSettings.m_seed, { .m_loss = aSettings.m_loss });
  Build(network, aSettings);
  network.Run(kSettle);
  Pauser pauser(network, aPausedShare, aSettings.m_seed + 1);
  const Meter meter(network);
  FalsePositives falsePositives;
  const auto step = [&] {
    pauser.Step();
    network.Run(kStep);
    falsePositives.Observe(network, pauser);
  };
  DetectionFigures figures;
  for (std::size_t kill = 0; kill < kKills; ++kill) {
    for (Duration ran{ 0 }; ran < kGap; ran += kStep) {
      step();
    }
    const VmId vm("dc1-box-office-" + std::to_string(kill + 2));
    network.Kill(vm.Value());
    const MonotonicTime killed = network.Now();
    Duration suspected{ 0 };
    Duration dead{ 0 };
    while (dead == Duration(0) && network.Now() - killed < 2 * kGap) {
      step();
      if (suspected == Duration(0) &&
          AllReport(network, vm, NodeState::Suspect, true)) {
        suspected = network.Now() - killed;
      }
      if (AllReport(network, vm, NodeState::Dead, false)) {
        dead = network.Now() - killed;
      }
    }
    figures.m_meanSuspected += suspected / kKills;
    figures.m_maxSuspected = std::max(figures.m_maxSuspected, suspected);
    figures.m_meanDead += dead / kKills;
    figures.m_maxDead = std::max(figures.m_maxDead, dead);
  }
  const double nodeHours =
    static_cast<double>(aSettings.m_nodes) * meter.Seconds() / 3600.0;
  figures.m_falseDeathsPerNodeHour =
    static_cast<double>(falsePositives.m_deaths) / nodeHours;
  figures.m_falseSuspicionsPerNodeHour =
    static_cast<double>(falsePositives.m_suspicions) / nodeHours;
  figures.m_meanBytesPerSecond = meter.Read({}).m_meanBytesPerSecond;
  return figures;
}

} // namespace tarragontray
