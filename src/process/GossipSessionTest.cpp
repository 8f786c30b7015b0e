/// \file
/// Sessions in which failures come at random by seed, also several at once.
/// Every session checks the invariants of the fake network after each event,
/// and after the last failure is gone all nodes must converge.
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "process/testing/FakeNetwork.h"

namespace tarragontray::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodesEach = 8;
constexpr std::size_t kKeys = 5;
const std::vector<std::string> kDataCentres = { "dc1", "dc2", "dc3" };

/// One session of random failures.
class Session
{
public:
  explicit Session(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_network(aSeed,
                { .m_loss = 0.1 * m_random.Fraction(),
                  .m_duplicate = 0.1,
                  .m_maxDelay = milliseconds(50) })
  {
    for (const std::string& dataCentre : kDataCentres) {
      m_network.AddNodes(dataCentre, kNodesEach);
    }
    m_network.Run(seconds(15));
  }

  void Step()
  {
    const std::vector<std::function<void()>> steps = {
      [&] { Write(); },         [&] { Write(); }, [&] { Replace(); },
      [&] { Kill(); },          [&] { Pause(); }, [&] { ResumeAll(); },
      [&] { CutDataCentre(); }, [&] { Heal(); },  [&] { FlipPlatform(); },
      [&] { CutPlatform(); },   [&] { Drain(); }, [&] { TakeBack(); },
    };
    steps[m_random.Below(steps.size())]();
    m_network.Run(milliseconds(m_random.Below(5000)));
  }

  void End()
  {
    Heal();
    m_network.ThePlatform().m_isDown = false;
    m_network.ThePlatform().m_staleBy = 0;
    ResumeAll();
    for (const auto& [vm, node] : m_network.Nodes()) {
      if (!node->m_isAlive) {
        m_killed.push_back(vm.Value());
      }
    }
    for (const std::string& vm : m_killed) {
      m_network.Start(vm, vm.substr(0, 3));
    }
    Write();
  }

  bool IsConverged()
  {
    return m_network.AllAgreeOrSuspect() && HaveAllDocuments() &&
           HaveAllMoves();
  }
  FakeNetwork& Network() { return m_network; }

private:
  std::string AnyVm()
  {
    return kDataCentres[m_random.Below(kDataCentres.size())] + "-" +
           std::to_string(1 + m_random.Below(kNodesEach));
  }
  void Write()
  {
    const std::string key =
      "configurations/" + std::to_string(m_random.Below(kKeys));
    // Now and then one that is too large for a datagram.
    const std::size_t size = m_random.Below(5) == 0 ? 5000 : 200;
    m_network.Write(key, std::string(size, 'x'));
    m_written[key] = Revision(++m_writes);
  }
  void Replace()
  {
    const std::string vm = AnyVm();
    m_network.Start(vm, vm.substr(0, 3));
  }
  void Kill() { m_network.Kill(AnyVm()); }
  void Pause() { m_network.Pause(AnyVm()); }
  void ResumeAll()
  {
    for (const auto& [vm, node] : m_network.Nodes()) {
      if (node->m_isPaused) {
        m_network.Resume(vm.Value());
      }
    }
  }
  void CutDataCentre()
  {
    const DataCentreId cut(kDataCentres[m_random.Below(kDataCentres.size())]);
    m_network.m_blocked = [cut](const FakeNode& aFrom, const FakeNode& aTo) {
      return (aFrom.m_dataCentre == cut) != (aTo.m_dataCentre == cut);
    };
  }
  void CutPlatform()
  {
    const DataCentreId cut(kDataCentres[m_random.Below(kDataCentres.size())]);
    m_network.m_isCutFromPlatform = [cut](const FakeNode& aNode) {
      return aNode.m_dataCentre == cut;
    };
  }
  void Heal()
  {
    m_network.m_blocked = nullptr;
    m_network.m_isCutFromPlatform = nullptr;
  }
  void FlipPlatform()
  {
    FakePlatform& platform = m_network.ThePlatform();
    platform.m_isDown = !platform.m_isDown;
    platform.m_staleBy = m_random.Below(3);
  }
  void Drain()
  {
    FakeNode& node = m_network.Node(AnyVm());
    UpstreamAnnouncement upstream;
    upstream.m_state = UpstreamState::Draining;
    if (node.m_isAlive && !node.m_isPaused) {
      node.m_gossip->Members().SetUpstream(upstream, m_network.Now());
      m_network.TickNode(node.m_gossip->Members().SelfVm().Value());
    }
  }
  void TakeBack()
  {
    FakeNode& node = m_network.Node(AnyVm());
    if (!node.m_isAlive || node.m_isPaused) {
      return;
    }
    MoveProgress progress;
    progress.m_move = { { ClientAccountId("a"), ServiceName("s") },
                        PlanNumber(1 + m_random.Below(3)) };
    progress.m_dataCentres[node.m_dataCentre].m_share = Share::All();
    progress.m_veto = Veto{ {}, node.m_dataCentre, RouteName("r"), "late" };
    node.m_gossip->Moves().Offer(progress, m_network.Now());
    m_network.TickNode(node.m_gossip->Members().SelfVm().Value());
  }

  bool HaveAllDocuments()
  {
    return std::all_of(
      m_written.begin(), m_written.end(), [&](const auto& aEntry) {
        return m_network.AllHave(aEntry.first, aEntry.second);
      });
  }
  bool HaveAllMoves()
  {
    const std::uint32_t digest = m_network.At("dc1-1").Moves().Digest();
    return std::all_of(m_network.Nodes().begin(),
                       m_network.Nodes().end(),
                       [&](const auto& aEntry) {
                         return aEntry.second->m_gossip->Moves().Digest() ==
                                digest;
                       });
  }

  SeededRandom m_random;
  FakeNetwork m_network;
  std::map<std::string, Revision> m_written;
  std::uint64_t m_writes = 0;
  std::vector<std::string> m_killed;
};

/// The seeds to run: 1 to 20, or TT_SEEDS="A..B".
std::pair<std::uint64_t, std::uint64_t>
Seeds()
{
  std::uint64_t first = 1;
  std::uint64_t last = 20;
  if (const char* text = std::getenv("TT_SEEDS")) {
    char* rest = nullptr;
    first = std::strtoull(text, &rest, 10);
    last = std::strtoull(rest + 2, nullptr, 10);
  }
  return { first, last };
}

} // namespace

Test(GossipSession, InvariantsHoldAndAllConvergeAfterRandomFailures)
{
  const auto [first, last] = Seeds();
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    Session session(seed);
    for (int i = 0; i < 40; ++i) {
      session.Step();
    }
    session.End();
    const Duration took = session.Network().RunUntil(
      [&] { return session.IsConverged(); }, seconds(60));
    cr_assert_lt(took.count(), Duration(seconds(30)).count(), "seed %lu", seed);
    cr_assert_eq(session.Network().Violations(), 0, "seed %lu", seed);
  }
}

} // namespace tarragontray::testing
