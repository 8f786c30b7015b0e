// Tests how a change reaches fleets whose data centres form one cell, with the
// settings of nodes that find each other through the platform.
#include <array>
#include <cstring>

#include <criterion/criterion.h>

#include "connection/ZstdPatchCodec.h"
#include "process/NodeSettings.h"
#include "process/testing/FakeNetwork.h"

namespace tarragontray::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The time within which a change must be in force on a node that reaches the
/// platform.
constexpr Duration kPropagationBound = seconds(2);
constexpr std::size_t kDataCentres = 6;
const std::string kKey = "configurations/mesh";

NodeSettings
PlatformSettingsOf(bool aIsFirstStart)
{
  const std::array<const char*, 9> flags{ "node",
                                          "--vm=vm",
                                          "--data-centre=dc",
                                          "--front-address=127.0.0.1:1",
                                          "--peer-address=127.0.0.1:2",
                                          "--admin-address=127.0.0.1:3",
                                          "--platform=127.0.0.1:4",
                                          "--join=platform",
                                          aIsFirstStart ? "--bootstrap=true"
                                                        : "--bootstrap=false" };
  const ParsedCommand parsed =
    NodeSettingsParser().Parse(static_cast<int>(flags.size()), flags.data());
  cr_assert(!parsed.m_exitStatus);
  return ReadNodeSettings(parsed.m_settings);
}

/// A configuration of the size that the platform's largest deployments have.
std::string
LargeBody()
{
  SeededRandom random(1);
  std::string body;
  while (body.size() < 150'000) {
    body += R"({"id":"route-)" + std::to_string(random.Next()) +
            R"(","to":"box-office","limit":"1200ms"},)";
  }
  return body;
}

class ZonedNetwork
{
public:
  ZonedNetwork(std::uint64_t aSeed, std::size_t aNodes)
    : m_network(aSeed, {})
    , m_body(LargeBody())
  {
    Use(true);
    m_network.m_cell = DataCentreId("region");
    m_network.m_isCheckingRecords = false;
    m_network.Write(kKey, m_body);
    for (std::size_t i = 1; i <= kDataCentres; ++i) {
      m_network.AddNodes("dc" + std::to_string(i), aNodes / kDataCentres);
    }
    m_network.StartRevisionChecks();
    m_network.Run(seconds(10));
    cr_assert(m_network.AllHave(kKey, Revision(1)));
    // Processes that start from now on are replacements.
    Use(false);
  }

  void Use(bool aIsFirstStart)
  {
    const NodeSettings settings = PlatformSettingsOf(aIsFirstStart);
    m_network.m_settings = settings.m_gossip;
    m_network.m_settings.m_distribution.m_patches = MakeZstdPatchCodec();
    m_network.m_watched = settings.m_prefixes.front();
    m_network.m_watched.m_keys.clear();
  }

  /// Changes one route.
  Revision Change()
  {
    const std::string number = std::to_string(1'000'000 + ++m_changes);
    m_body.replace(m_body.size() / 2, number.size(), number);
    m_network.Write(kKey, m_body);
    return m_network.ThePlatform().Latest();
  }

  Duration Propagate(Revision aRevision)
  {
    return m_network.RunUntil(
      [&] { return m_network.AllHave(kKey, aRevision); }, seconds(10));
  }

  /// The longest time of aCount changes until a change is in force everywhere.
  Duration LongestPropagation(int aCount)
  {
    Duration longest{ 0 };
    for (int i = 0; i < aCount; ++i) {
      m_network.Run(milliseconds(1'370 + 10 * i));
      longest = std::max(longest, Propagate(Change()));
    }
    return longest;
  }

  /// The nodes of a data centre that watch the platform.
  std::vector<std::string> Watchers(const std::string& aDataCentre)
  {
    std::vector<std::string> watchers;
    for (const auto& [vm, node] : m_network.Nodes()) {
      const bool isWatcher = node->m_gossip->Documents().WantsWatch(
        m_network.Now(), m_network.m_watched);
      if (isWatcher && node->m_dataCentre == DataCentreId(aDataCentre)) {
        watchers.push_back(vm.Value());
      }
    }
    return watchers;
  }

  FakeNetwork m_network;

private:
  std::string m_body;
  int m_changes = 0;
};

void
AssertWithinBound(Duration aTook)
{
  cr_assert_lt(aTook,
               kPropagationBound,
               "%lld ms",
               static_cast<long long>(aTook / milliseconds(1)));
}

/// Calls to the platform for each of ten changes, without those that the same
/// time costs without changes.
std::uint64_t
CallsOfAChange(std::size_t aNodes)
{
  constexpr std::uint64_t kChanges = 10;
  ZonedNetwork nodes(1, aNodes);
  const std::uint64_t start = nodes.m_network.ThePlatform().m_calls;
  nodes.m_network.Run(seconds(15));
  const std::uint64_t rest = nodes.m_network.ThePlatform().m_calls;
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    nodes.m_network.Run(milliseconds(1'500));
    nodes.Change();
  }
  const std::uint64_t end = nodes.m_network.ThePlatform().m_calls;
  return ((end - rest) - std::min(end - rest, rest - start)) / kChanges;
}

} // namespace

Test(ZoneDistribution, EveryNodeFetchesAChangeFromThePlatform)
{
  // One watcher in each data centre, two of the cell, and one node that reads
  // the revision for all and may list the change itself.
  constexpr std::uint64_t kMaxCalls = kDataCentres + 4;
  for (const std::size_t nodes : { 30U, 300U }) {
    const std::uint64_t calls = CallsOfAChange(nodes);
    cr_assert_leq(calls,
                  kMaxCalls,
                  "%zu nodes: %llu calls",
                  nodes,
                  static_cast<unsigned long long>(calls));
  }
}

Test(ZoneDistribution, StartOfAFleetCostsCallsOfEveryNode)
{
  for (const std::size_t nodes : { 30U, 300U }) {
    ZonedNetwork network(1, nodes);
    // A list and a watch of each watcher, and two checks a second. Nodes that
    // know few of their peers yet may rank themselves among the watchers.
    cr_assert_leq(
      network.m_network.ThePlatform().m_calls,
      8 * kDataCentres + 20,
      "%zu nodes: %llu calls",
      nodes,
      static_cast<unsigned long long>(network.m_network.ThePlatform().m_calls));
  }
}

Test(ZoneDistribution, AChangeIsLateInALargeFleet)
{
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    ZonedNetwork nodes(seed, 300);
    AssertWithinBound(nodes.LongestPropagation(5));
    cr_assert_eq(nodes.m_network.Violations(), 0);
  }
}

/// The whole configuration would be 150 kB to each of 50 nodes in every data
/// centre, over links of 10 Mbit/s.
Test(ZoneDistribution, AChangeIsSentAsAWholeConfiguration)
{
  ZonedNetwork nodes(1, 60);
  nodes.LongestPropagation(1);
  std::map<VmId, std::uint64_t> before;
  for (const auto& [vm, node] : nodes.m_network.Nodes()) {
    before[vm] = node->m_bytesSent;
  }
  constexpr int kChanges = 5;
  nodes.LongestPropagation(kChanges);
  // What probes and confirmations take in the same time, and 1 kB for each
  // child in the tree.
  constexpr std::uint64_t kMaxBytes = 8'000;
  for (const auto& [vm, node] : nodes.m_network.Nodes()) {
    cr_assert_lt(
      (node->m_bytesSent - before[vm]) / kChanges,
      kMaxBytes,
      "%s sent %llu bytes",
      vm.Value().c_str(),
      static_cast<unsigned long long>(node->m_bytesSent - before[vm]));
  }
}

Test(ZoneDistribution, AChangeIsLateWhenAllWatchersOfADataCentreEnd)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    ZonedNetwork nodes(seed, 60);
    for (const std::string& watcher : nodes.Watchers("dc3")) {
      nodes.m_network.Kill(watcher);
    }
    AssertWithinBound(nodes.LongestPropagation(4));
    cr_assert_eq(nodes.m_network.Violations(), 0);
  }
}

Test(ZoneDistribution, AChangeIsLateWhileTheWatchersAreFrozen)
{
  ZonedNetwork nodes(1, 60);
  const std::vector<std::string> watchers = nodes.Watchers("dc3");
  cr_assert_geq(watchers.size(), 1);
  for (const std::string& watcher : watchers) {
    nodes.m_network.Pause(watcher);
  }
  const Revision revision = nodes.Change();
  nodes.m_network.Run(kPropagationBound);
  for (const auto& [vm, node] : nodes.m_network.Nodes()) {
    const Document* held =
      node->m_gossip->Documents().Table().Find(ObjectKey(kKey));
    cr_assert(node->m_isPaused || held->m_revision == revision,
              "%s",
              vm.Value().c_str());
  }
  for (const std::string& watcher : watchers) {
    nodes.m_network.Resume(watcher);
  }
  AssertWithinBound(nodes.Propagate(revision));
  cr_assert_eq(nodes.m_network.Violations(), 0);
}

Test(ZoneDistribution, ADataCentreCutFromThePlatformIsLate)
{
  ZonedNetwork nodes(1, 60);
  nodes.m_network.m_isCutFromPlatform = [](const FakeNode& aNode) {
    return aNode.m_dataCentre == DataCentreId("dc2");
  };
  AssertWithinBound(nodes.LongestPropagation(5));
}

Test(ZoneDistribution, ADataCentreCutFromTheOthersIsLate)
{
  ZonedNetwork nodes(1, 60);
  const auto isInside = [](const FakeNode& aNode) {
    return aNode.m_dataCentre == DataCentreId("dc2");
  };
  nodes.m_network.m_blocked = [&](const FakeNode& aFrom, const FakeNode& aTo) {
    return isInside(aFrom) != isInside(aTo);
  };
  AssertWithinBound(nodes.LongestPropagation(5));
}

Test(ZoneDistribution, ChangesInQuickSuccessionAreLateWhenDatagramsAreLost)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    ZonedNetwork nodes(seed, 60);
    nodes.m_network.m_faults.m_loss = 0.1;
    Revision last;
    for (int i = 0; i < 12; ++i) {
      last = nodes.Change();
      nodes.m_network.Run(milliseconds(330));
    }
    AssertWithinBound(nodes.Propagate(last));
    cr_assert_eq(nodes.m_network.Violations(), 0);
  }
}

Test(ZoneDistribution, AChangeLargerThanADatagramIsLate)
{
  ZonedNetwork nodes(1, 60);
  nodes.m_network.Run(seconds(2));
  nodes.m_network.Write(kKey,
                        LargeBody() + LargeBody().substr(0, 90'000) +
                          std::string(2'000, 'x') + "changed");
  AssertWithinBound(nodes.Propagate(nodes.m_network.ThePlatform().Latest()));
  AssertWithinBound(nodes.LongestPropagation(3));
}

/// A process that starts while the watchers change must not serve what was
/// valid before its start.
Test(ZoneDistribution, AReplacementThatStartsDuringAHandOverServesAnOldVersion)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    ZonedNetwork nodes(seed, 60);
    for (const std::string& watcher : nodes.Watchers("dc1")) {
      nodes.m_network.Kill(watcher);
      nodes.m_network.Start(watcher, "dc1");
      AssertWithinBound(nodes.Propagate(nodes.Change()));
    }
    cr_assert_eq(nodes.m_network.Violations(), 0);
  }
}

} // namespace tarragontray::testing
