#include "process/MoveGossip.h"

#include <criterion/criterion.h>

#include "process/testing/FakeNetwork.h"

namespace tarragontray::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService{ ClientAccountId("mesqel-gate"),
                          ServiceName("box-office") };

MoveProgress
Progress(std::uint64_t aPlan, double aShare)
{
  MoveProgress progress;
  progress.m_move = { kService, PlanNumber(aPlan) };
  progress.m_dataCentres[DataCentreId("dc1")].m_share =
    Share::FromFraction(aShare);
  return progress;
}

MoveProgress
Vetoed(std::uint64_t aPlan)
{
  MoveProgress progress = Progress(aPlan, 0.5);
  progress.m_veto = Veto{ {}, DataCentreId("dc1"), RouteName("buy"), "5xx" };
  return progress;
}

bool
AllKnowVeto(FakeNetwork& aNetwork, std::uint64_t aPlan)
{
  return std::all_of(
    aNetwork.Nodes().begin(), aNetwork.Nodes().end(), [&](const auto& aEntry) {
      const MoveProgress* progress =
        aEntry.second->m_gossip->Moves().Find({ kService, PlanNumber(aPlan) });
      return !aEntry.second->m_isAlive ||
             (progress != nullptr && progress->m_veto.has_value());
    });
}

void
Settle(FakeNetwork& aNetwork)
{
  for (const char* dataCentre : { "dc1", "dc2", "dc3" }) {
    aNetwork.AddNodes(dataCentre, 10);
  }
  aNetwork.Run(seconds(20));
}

} // namespace

Test(MoveGossip, AnOrderWithALowerNumberIsTheOneThatCounts)
{
  FakeNetwork network(1, {});
  network.AddNodes("dc1", 4);
  network.Run(seconds(10));
  network.At("dc1-1").Moves().Offer(Progress(9, 1.0), network.Now());
  network.TickNode("dc1-1");
  network.Run(seconds(3));
  const MoveId next{ kService, PlanNumber(4) };
  for (const auto& [vm, node] : network.Nodes()) {
    node->m_gossip->Moves().SetCurrent(next);
  }
  network.At("dc1-2").Moves().Offer(Vetoed(4), network.Now());
  network.TickNode("dc1-2");
  // Late word of the former one changes nothing.
  network.At("dc1-3").Moves().Offer(Progress(9, 1.0), network.Now());
  network.TickNode("dc1-3");
  network.Run(seconds(3));
  cr_assert(AllKnowVeto(network, 4));
}

Test(MoveGossip, VetoReachesAllWithinSecondsUnderLoss)
{
  for (const double loss : { 0.0, 0.05, 0.2 }) {
    FakeNetwork network(1, { .m_loss = loss });
    Settle(network);
    network.At("dc1-5").Moves().Offer(Vetoed(1), network.Now());
    network.TickNode("dc1-5");
    const Duration took =
      network.RunUntil([&] { return AllKnowVeto(network, 1); }, seconds(20));
    cr_assert_lt(took.count(), Duration(seconds(4)).count(), "loss %f", loss);
  }
}

Test(MoveGossip, VetoIsKnownInItsDataCentreAtOnce)
{
  FakeNetwork network(5, {});
  Settle(network);
  network.At("dc1-5").Moves().Offer(Vetoed(1), network.Now());
  network.TickNode("dc1-5");
  network.Run(milliseconds(100));
  for (int i = 1; i <= 10; ++i) {
    const MoveProgress* progress = network.At("dc1-" + std::to_string(i))
                                     .Moves()
                                     .Find({ kService, PlanNumber(1) });
    cr_assert(progress != nullptr && progress->m_veto.has_value());
  }
}

Test(MoveGossip, VetoOutlivesTheNodeThatSawItAndAPartition)
{
  FakeNetwork network(2, {});
  Settle(network);
  network.m_blocked = [](const FakeNode& aFrom, const FakeNode& aTo) {
    return (aFrom.m_dataCentre == DataCentreId("dc3")) !=
           (aTo.m_dataCentre == DataCentreId("dc3"));
  };
  network.At("dc1-5").Moves().Offer(Vetoed(1), network.Now());
  network.TickNode("dc1-5");
  // Cut off, the other side goes on with the move.
  network.At("dc3-1").Moves().Offer(Progress(1, 1.0), network.Now());
  network.TickNode("dc3-1");
  network.Run(seconds(2));
  network.Kill("dc1-5");
  network.Run(seconds(30));
  cr_assert(!AllKnowVeto(network, 1));
  network.m_blocked = nullptr;
  const Duration took =
    network.RunUntil([&] { return AllKnowVeto(network, 1); }, seconds(20));
  cr_assert_lt(took.count(), Duration(seconds(4)).count());
}

Test(MoveGossip, HigherPlanReplacesAndLowerIsIgnored)
{
  FakeNetwork network(3, {});
  network.AddNodes("dc1", 1);
  MoveGossip& moves = network.At("dc1-1").Moves();
  cr_assert(moves.Offer(Vetoed(1), {}));
  cr_assert(!moves.Offer(Progress(1, 0.4), {}));
  cr_assert(moves.Offer(Progress(2, 0.1), {}));
  cr_assert(!moves.Offer(Progress(1, 1.0), {}));
  cr_assert(moves.Find({ kService, PlanNumber(1) }) == nullptr);
  cr_assert(!moves.Find({ kService, PlanNumber(2) })->m_veto.has_value());
  cr_assert_eq(moves.TakeChanged().size(), 1);
}

Test(MoveGossip, DigestDependsOnContentOnly)
{
  FakeNetwork network(4, {});
  network.AddNodes("dc1", 2);
  MoveGossip& left = network.At("dc1-1").Moves();
  MoveGossip& right = network.At("dc1-2").Moves();
  left.Offer(Progress(1, 0.1), {});
  left.Offer(Vetoed(1), {});
  cr_assert_neq(left.Digest(), right.Digest());
  right.Offer(Vetoed(1), {});
  right.Offer(Progress(1, 0.1), {});
  cr_assert_eq(left.Digest(), right.Digest());
}

} // namespace tarragontray::testing
