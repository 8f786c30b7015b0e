#include "process/RecordConfirmations.h"

#include <criterion/criterion.h>

#include "process/testing/FakeNetwork.h"

namespace tarragontray::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const VmId kLeaving("dc1-2");
const UpstreamProcess kProcess{ UpstreamInstanceId("i-1"), UpstreamBirth(100) };

/// A time at which the first round is due.
constexpr MonotonicTime kStart{ seconds(10) };

DepartedUpstreams
Departed()
{
  DepartedUpstreams departed;
  departed.Add(kProcess);
  return departed;
}

bool
Knows(FakeNetwork& aNetwork, const VmId& aObserver)
{
  const MemberRecord* record =
    aNetwork.At(aObserver.Value()).Members().Table().Find(kLeaving);
  return record != nullptr && record->m_departed.Covers(kProcess);
}

/// Lets the node's upstream depart and waits for its peers to confirm it.
Duration
Depart(FakeNetwork& aNetwork, Duration aLimit)
{
  Membership& members = aNetwork.At(kLeaving.Value()).Members();
  members.AddDeparted(Departed(), aNetwork.Now());
  members.NeedConfirmations(ConfirmationNeed::Departure, aNetwork.Now());
  aNetwork.TickNode(kLeaving.Value());
  return aNetwork.RunUntil([&] { return members.IsConfirmed(); }, aLimit);
}

} // namespace

Test(RecordConfirmations, AMajorityIsMoreThanHalfOfThePeers)
{
  const std::vector<VmId> peers{ VmId("a"), VmId("b"), VmId("c"), VmId("d") };
  RecordConfirmations confirmations;
  confirmations.SetNeed(ConfirmationNeed::Departure, kStart - seconds(1));
  cr_assert_eq(confirmations.TakeRound(peers, kStart).size(), 4);
  cr_assert(confirmations.TakeRound(peers, kStart).empty());
  for (std::uint32_t i = 0; i < peers.size(); ++i) {
    confirmations.OnSent(i, peers[i]);
  }
  confirmations.OnAck(0, peers[0]);
  confirmations.OnAck(0, peers[0]);
  confirmations.OnAck(1, peers[1]);
  // The answer of another peer than the one that was asked.
  confirmations.OnAck(2, peers[3]);
  cr_assert(!confirmations.HasMajority(peers));
  confirmations.OnAck(3, peers[3]);
  cr_assert(confirmations.HasMajority(peers));
  cr_assert_eq(confirmations.TakeRound(peers, kStart + seconds(1)).size(), 1);
  cr_assert(!confirmations.HasMajority({}));
}

/// An answer to a ping that carried the record as it was before.
Test(RecordConfirmations, AnAnswerFromBeforeAChangeConfirmsIt)
{
  const std::vector<VmId> peers{ VmId("a") };
  RecordConfirmations confirmations;
  confirmations.SetNeed(ConfirmationNeed::Departure, kStart - seconds(1));
  confirmations.OnSent(1, peers[0]);
  confirmations.Reset();
  confirmations.OnAck(1, peers[0]);
  cr_assert(!confirmations.HasMajority(peers));
}

/// All nodes of a fleet start together, and the platform tells them late.
Test(RecordConfirmations, EveryNodeThatStartsPingsTheWholeFleetAtOnce)
{
  std::vector<VmId> peers;
  for (int i = 0; i < 294; ++i) {
    peers.emplace_back("vm-" + std::to_string(1000 + i));
  }
  RecordConfirmations confirmations;
  confirmations.SetNeed(ConfirmationNeed::History, kStart);
  cr_assert(confirmations.NextTick() >= kStart + seconds(1));
  std::uint32_t number = 0;
  MonotonicTime now = kStart;
  while (!confirmations.HasMajority(peers) && now < kStart + seconds(10)) {
    now = confirmations.NextTick();
    const auto asked = confirmations.TakeRound(peers, now);
    cr_assert_leq(asked.size(), RecordConfirmations::kMaxPings);
    // Every third peer is down.
    for (std::size_t i = 0; i < asked.size(); ++i) {
      confirmations.OnSent(++number, asked[i]);
      if (i % 3 != 0) {
        confirmations.OnAck(number, asked[i]);
      }
    }
  }
  cr_assert(confirmations.HasMajority(peers));
}

/// The upstream discards an acknowledgement after 1 s.
Test(RecordConfirmations, ADepartureIsNotConfirmedInTimeUnderPacketLoss)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    FakeNetwork network(seed, { .m_loss = 0.2 });
    network.AddNodes("dc1", 9);
    network.Run(seconds(10));
    const Duration took = Depart(network, seconds(2));
    cr_assert_lt(took.count(), Duration(milliseconds(800)).count());
    cr_assert_eq(network.Violations(), 0);
  }
}

/// The node is killed with the platform away, and half of its peers with it.
Test(RecordConfirmations, ADepartureIsForgottenWithTheProcessThatConfirmedIt)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FakeNetwork network(seed, { .m_loss = 0.05 });
    network.AddNodes("dc1", 9);
    network.Run(seconds(10));
    Depart(network, seconds(2));
    network.Kill(kLeaving.Value());
    SeededRandom random(seed);
    std::size_t killed = 0;
    while (killed < 4) {
      const VmId peer("dc1-" + std::to_string(random.Below(9) + 1));
      if (peer != kLeaving && network.Node(peer.Value()).m_isAlive) {
        network.Kill(peer.Value());
        ++killed;
      }
    }
    network.Run(milliseconds(500));
    network.Start(kLeaving.Value(), "dc1");
    Membership& members = network.At(kLeaving.Value()).Members();
    members.NeedConfirmations(ConfirmationNeed::History, network.Now());
    network.TickNode(kLeaving.Value());
    const Duration took =
      network.RunUntil([&] { return members.IsConfirmed(); }, seconds(20));
    cr_assert_lt(took.count(), Duration(seconds(20)).count(), "seed %lu", seed);
    cr_assert(Knows(network, kLeaving), "seed %lu", seed);
  }
}

/// The new process's record replaces the one that its peers hold.
Test(RecordConfirmations, PeersForgetADepartureWhenANewProcessAnnouncesItself)
{
  FakeNetwork network(3, {});
  network.AddNodes("dc1", 5);
  network.Run(seconds(10));
  Depart(network, seconds(2));
  network.Kill(kLeaving.Value());
  network.Start(kLeaving.Value(), "dc1");
  network.Run(seconds(15));
  for (const auto& [vm, node] : network.Nodes()) {
    cr_assert(Knows(network, vm), "%s", vm.Value().c_str());
    cr_assert(!node->m_gossip->Members().Table().HasInherited(kLeaving));
  }
}

} // namespace tarragontray::testing
