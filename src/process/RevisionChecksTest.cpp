#include "process/RevisionChecks.h"

#include <functional>

#include <criterion/criterion.h>

#include "process/testing/FakeNetwork.h"

namespace tarragontray::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The time within which a change must be in force on a node that reaches the
/// platform.
constexpr Duration kPropagationBound = seconds(2);
const std::string kKey = "configurations/mesh";
constexpr std::size_t kNodes = 40;

/// Nodes that all watch the platform, on which every watch is silent.
class SilentNetwork
{
public:
  explicit SilentNetwork(std::uint64_t aSeed)
    : m_network(aSeed, {})
  {
    MembershipSettings& membership = m_network.m_settings.m_membership;
    membership.m_relays = 4'096;
    membership.m_relaySettleTime = Duration(0);
    DistributionSettings& documents = m_network.m_settings.m_distribution;
    documents.m_defersUntilSpread = false;
    documents.m_platformReads = 10;
    documents.m_platformBurst = 20;
    documents.m_checks.m_interval = milliseconds(500);
    documents.m_checks.m_rankDelay = milliseconds(300);
    m_network.m_settings.m_pulls.m_pathWait = milliseconds(700);
    m_network.m_settings.m_pulls.m_behindWait = milliseconds(700);
    m_network.Write(kKey, "1");
    m_network.AddNodes("dc1", kNodes);
    m_network.StartRevisionChecks();
    m_network.Run(seconds(15));
    m_network.ThePlatform().m_areWatchesSilent = true;
  }

  std::string RelayOfRank(std::size_t aRank)
  {
    return m_network.At("dc1-1").Members().Relays().at(aRank).Value();
  }
  /// The longest time until a change is in force on every live node.
  Duration LongestPropagation(int aChanges)
  {
    Duration longest{ 0 };
    for (int change = 0; change < aChanges; ++change) {
      m_network.Run(milliseconds(1'370 + 10 * change));
      m_network.Write(kKey, std::to_string(change));
      const Revision revision = m_network.ThePlatform().Latest();
      longest = std::max(
        longest,
        m_network.RunUntil([&] { return m_network.AllHave(kKey, revision); },
                           seconds(10)));
    }
    return longest;
  }

  FakeNetwork m_network;
};

void
AssertWithinBound(Duration aTook)
{
  cr_assert_lt(aTook,
               kPropagationBound,
               "%lld ms",
               static_cast<long long>(aTook / milliseconds(1)));
}

} // namespace

Test(RevisionChecks, ASilentWatchOnEveryNodeDelaysAChangeBeyondTheBound)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SilentNetwork nodes(seed);
    AssertWithinBound(nodes.LongestPropagation(20));
    cr_assert_eq(nodes.m_network.Violations(), 0);
  }
}

Test(RevisionChecks, ANodeThatEndsTakesTheChecksOfAllAlong)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SilentNetwork nodes(seed);
    nodes.m_network.Kill(nodes.RelayOfRank(0));
    AssertWithinBound(nodes.LongestPropagation(3));
  }
}

Test(RevisionChecks, TwoNodesCutFromThePlatformTakeTheChecksOfAllAlong)
{
  SilentNetwork nodes(1);
  const std::string first = nodes.RelayOfRank(0);
  const std::string second = nodes.RelayOfRank(1);
  nodes.m_network.m_isCutFromPlatform = [&](const FakeNode& aNode) {
    return aNode.m_address == nodes.m_network.Node(first).m_address ||
           aNode.m_address == nodes.m_network.Node(second).m_address;
  };
  nodes.m_network.Write(kKey, "2");
  nodes.m_network.Run(kPropagationBound);
  for (const auto& [vm, node] : nodes.m_network.Nodes()) {
    const Document* held =
      node->m_gossip->Documents().Table().Find(ObjectKey(kKey));
    cr_assert(nodes.m_network.m_isCutFromPlatform(*node) ||
                held->m_revision == Revision(2),
              "%s",
              vm.Value().c_str());
  }
}

Test(RevisionChecks, ANodeThatHearsNoPeerReliesOnASilentWatch)
{
  SilentNetwork nodes(1);
  const NetworkAddress alone =
    nodes.m_network.Node("dc1-" + std::to_string(kNodes)).m_address;
  nodes.m_network.m_blocked = [alone](const FakeNode& aFrom,
                                      const FakeNode& aTo) {
    return aFrom.m_address == alone || aTo.m_address == alone;
  };
  AssertWithinBound(nodes.LongestPropagation(3));
}

Test(RevisionChecks, LostDatagramsDelayAChangeBeyondTheBound)
{
  SilentNetwork nodes(1);
  nodes.m_network.m_faults.m_loss = 0.3;
  AssertWithinBound(nodes.LongestPropagation(10));
}

/// The platform prices each call; a check for each node would multiply them.
Test(RevisionChecks, EveryNodeReadsTheRevisionForItself)
{
  SilentNetwork nodes(1);
  const std::uint64_t before = nodes.m_network.ThePlatform().m_calls;
  nodes.m_network.Run(seconds(10));
  const std::uint64_t calls = nodes.m_network.ThePlatform().m_calls - before;
  // Two a second by rank 0, and the renewal of each node's watch.
  cr_assert_leq(
    calls, 20 + kNodes + 5, "%llu", static_cast<unsigned long long>(calls));
}

Test(RevisionChecks, TheOwnCheckOfANodeComesBeforeTheBound)
{
  SeededRandom random(1);
  RevisionCheckSettings settings;
  settings.m_interval = milliseconds(500);
  settings.m_rankDelay = milliseconds(300);
  RevisionChecks checks(settings, random);
  const MonotonicTime confirmed{ seconds(100) };
  // An answer to the read and one to the list.
  constexpr Duration kAnswers = milliseconds(200);
  for (int draw = 0; draw < 100; ++draw) {
    checks.Confirm(confirmed);
    for (std::size_t rank = 0; rank < 100; ++rank) {
      cr_assert(checks.NextCheck(rank) >= checks.EarliestCheck());
      cr_assert(checks.NextCheck(rank) + kAnswers <
                confirmed + kPropagationBound);
    }
  }
  cr_assert(checks.NextCheck(1) > checks.NextCheck(0));
  checks.Confirm(confirmed - seconds(1));
  cr_assert(checks.EarliestCheck() == confirmed + settings.m_interval);
}

} // namespace tarragontray::testing
