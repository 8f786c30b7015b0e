#include "process/Membership.h"

#include <algorithm>
#include <set>

#include <criterion/criterion.h>

#include "process/testing/FakeNetwork.h"

namespace tarragontray::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The time after which a draining upstream must not receive new calls.
constexpr Duration kDrainSpreadLimit = seconds(4);

void
Settle(FakeNetwork& aNetwork)
{
  aNetwork.AddNodes("dc1", 12);
  aNetwork.AddNodes("dc2", 12);
  aNetwork.AddNodes("dc3", 12);
  aNetwork.Run(seconds(25));
  cr_assert(aNetwork.AllAgreeOrSuspect());
}

UpstreamAnnouncement
Announced(UpstreamState aState)
{
  return { { ClientAccountId("vanua-voice"), ServiceName("booth-desk") },
           UpstreamVersion("v1"),
           aState,
           SlotCount(9) };
}

bool
ReceivesCalls(const FakeNode& aNode, const VmId& aVm)
{
  const MemberRecord* record = aNode.m_gossip->Members().Table().Find(aVm);
  return record != nullptr && record->m_state == NodeState::Alive &&
         record->m_upstream.m_state == UpstreamState::Live;
}

bool
AnyNodeRoutesTo(FakeNetwork& aNetwork, const std::string& aVm)
{
  return std::any_of(
    aNetwork.Nodes().begin(), aNetwork.Nodes().end(), [&](const auto& aEntry) {
      return aEntry.second->m_isAlive && aEntry.first != VmId(aVm) &&
             ReceivesCalls(*aEntry.second, VmId(aVm));
    });
}

void
GoLive(FakeNetwork& aNetwork, const std::string& aVm)
{
  aNetwork.At(aVm).Members().SetUpstream(Announced(UpstreamState::Live),
                                         aNetwork.Now());
  aNetwork.TickNode(aVm);
  const Duration took = aNetwork.RunUntil(
    [&] {
      return std::all_of(aNetwork.Nodes().begin(),
                         aNetwork.Nodes().end(),
                         [&](const auto& aEntry) {
                           return ReceivesCalls(*aEntry.second, VmId(aVm));
                         });
    },
    seconds(20));
  cr_assert_lt(took.count(), Duration(seconds(20)).count());
}

std::uint64_t
DeathDeclarations(FakeNetwork& aNetwork)
{
  std::uint64_t deaths = 0;
  for (const auto& [vm, node] : aNetwork.Nodes()) {
    deaths += node->m_gossip->Members().Counters().m_declaredDead;
  }
  return deaths;
}

NodeState
StateAt(FakeNetwork& aNetwork, const std::string& aObserver, const char* aVm)
{
  return aNetwork.At(aObserver).Members().Table().Find(VmId(aVm))->m_state;
}

} // namespace

Test(Membership, DrainReachesAllNodesUnderPacketLoss)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeNetwork network(seed, { .m_loss = 0.2 });
    Settle(network);
    GoLive(network, "dc1-3");
    network.At("dc1-3").Members().SetUpstream(
      Announced(UpstreamState::Draining), network.Now());
    network.TickNode("dc1-3");
    const Duration took = network.RunUntil(
      [&] { return !AnyNodeRoutesTo(network, "dc1-3"); }, seconds(10));
    cr_assert_lt(took.count(), kDrainSpreadLimit.count(), "seed %lu", seed);
    cr_assert_eq(network.Violations(), 0);
  }
}

Test(Membership, DrainSpreadsPromptlyWithoutPacketLoss)
{
  FakeNetwork network(1, {});
  Settle(network);
  GoLive(network, "dc1-3");
  network.At("dc1-3").Members().SetUpstream(Announced(UpstreamState::Draining),
                                            network.Now());
  network.TickNode("dc1-3");
  const Duration took = network.RunUntil(
    [&] { return !AnyNodeRoutesTo(network, "dc1-3"); }, seconds(10));
  cr_assert_lt(took.count(), Duration(milliseconds(300)).count());
}

Test(Membership, DrainIsSentToEveryPeerRepeatedly)
{
  FakeNetwork network(2, {});
  Settle(network);
  Membership& members = network.At("dc1-3").Members();
  MonotonicTime now = network.Now();
  members.SetUpstream(Announced(UpstreamState::Draining), now);
  for (int round = 0; round < 3; ++round, now += milliseconds(400)) {
    std::set<NetworkAddress> receivers;
    for (const OutgoingDatagram& outgoing : members.Tick(now).m_send) {
      const Datagram& datagram = outgoing.m_datagram;
      if (!datagram.m_path && datagram.m_kind == DatagramKind::Update) {
        receivers.insert(outgoing.m_to);
      }
    }
    for (int peer = 1; peer <= 12; ++peer) {
      const std::string vm = "dc1-" + std::to_string(peer);
      cr_assert(peer == 3 || receivers.contains(network.Node(vm).m_address));
    }
    // All peers, and one member of each of the two other data centres.
    cr_assert_geq(receivers.size(), 11 + 2);
  }
}

Test(Membership, DrainSpreadsEvenIfItsNodeFails)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeNetwork network(seed, { .m_loss = 0.2 });
    Settle(network);
    GoLive(network, "dc1-3");
    network.At("dc1-3").Members().SetUpstream(
      Announced(UpstreamState::Draining), network.Now());
    network.TickNode("dc1-3");
    network.Run(milliseconds(10));
    network.Kill("dc1-3");
    const Duration took = network.RunUntil(
      [&] { return !AnyNodeRoutesTo(network, "dc1-3"); }, seconds(10));
    cr_assert_lt(took.count(), kDrainSpreadLimit.count(), "seed %lu", seed);
  }
}

Test(Membership, KilledNodeIsSuspectedThenDead)
{
  FakeNetwork network(3, {});
  Settle(network);
  GoLive(network, "dc2-5");
  network.Kill("dc2-5");
  network.Run(seconds(4));
  for (const auto& [vm, node] : network.Nodes()) {
    const bool isInSameDataCentre = node->m_dataCentre == DataCentreId("dc2");
    cr_assert(!isInSameDataCentre || !node->m_isAlive ||
              !ReceivesCalls(*node, VmId("dc2-5")));
  }
  network.Run(seconds(10));
  cr_assert(network.AllAgree());
  cr_assert_eq(network.Violations(), 0);
}

Test(Membership, LeaveSpreadsWithoutProbing)
{
  FakeNetwork network(4, {});
  Settle(network);
  network.At("dc1-7").Members().Leave(network.Now());
  network.TickNode("dc1-7");
  network.Run(seconds(1));
  network.Kill("dc1-7");
  network.Run(seconds(2));
  cr_assert(network.AllAgree());
  cr_assert_eq(DeathDeclarations(network), 0);
}

Test(Membership, PacketLossCausesNoFalseDeathDeclarations)
{
  for (const double loss : { 0.05, 0.2 }) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      FakeNetwork network(seed, { .m_loss = loss });
      Settle(network);
      network.Run(seconds(120));
      cr_assert_eq(
        DeathDeclarations(network), 0, "loss %f seed %lu", loss, seed);
      cr_assert_eq(network.Violations(), 0);
    }
  }
}

Test(Membership, PausedNodeRejoinsWhenResumed)
{
  for (const Duration pause : { seconds(5), seconds(60) }) {
    FakeNetwork network(5, {});
    Settle(network);
    network.Pause("dc1-4");
    network.Run(pause);
    const bool isLong = pause > seconds(10);
    cr_assert(!isLong || StateAt(network, "dc1-1", "dc1-4") == NodeState::Dead);
    network.Resume("dc1-4");
    const Duration took =
      network.RunUntil([&] { return network.AllAgree(); }, seconds(20));
    cr_assert_lt(took.count(), Duration(seconds(5)).count());
    cr_assert_eq(network.Violations(), 0);
  }
}

Test(Membership, ResumedNodeDoesNotDeclareLivePeersDead)
{
  FakeNetwork network(6, {});
  Settle(network);
  // The node has a pending suspicion of dc1-5 when it is paused.
  network.Kill("dc1-5");
  network.Run(seconds(3));
  network.Pause("dc1-4");
  network.Run(seconds(30));
  network.Resume("dc1-4");
  network.Run(milliseconds(500));
  const Gossip& paused = network.At("dc1-4");
  cr_assert_geq(paused.Members().Counters().m_pauses, 1);
  network.Run(seconds(20));
  cr_assert_leq(paused.Members().Counters().m_declaredDead, 1);
  cr_assert(network.AllAgree());
}

Test(Membership, ReplacementOutranksItsPredecessor)
{
  FakeNetwork network(7, {});
  Settle(network);
  network.Start("dc1-3", "dc1");
  network.Run(seconds(10));
  cr_assert(network.AllAgree());
  cr_assert_eq(network.Violations(), 0);
}

Test(Membership, ReplacementWithASlowClockOutranksItsPredecessor)
{
  FakeNetwork network(8, {});
  Settle(network);
  network.m_clockSkew = -seconds(3600);
  network.Start("dc1-3", "dc1");
  network.Run(seconds(10));
  cr_assert(network.AllAgree());
}

Test(Membership, ReplacementAtANewAddressIsFound)
{
  FakeNetwork network(9, {});
  Settle(network);
  const NetworkAddress address =
    network.StartAtNewAddress("dc1-6", "dc1").m_address;
  network.Run(seconds(10));
  cr_assert(network.AllAgree());
  for (const auto& [vm, node] : network.Nodes()) {
    const MemberRecord* record =
      node->m_gossip->Members().Table().Find(VmId("dc1-6"));
    cr_assert(record->m_peerAddress == address);
  }
}

Test(Membership, OutdatedRecordsDoNotReviveDeadMembers)
{
  FakeNetwork network(10, {});
  Settle(network);
  const MemberRecord alive =
    *network.At("dc1-1").Members().Table().Find(VmId("dc1-8"));
  network.Kill("dc1-8");
  network.Run(seconds(15));
  Datagram outdated;
  outdated.m_from = VmId("dc1-2");
  outdated.m_members = { alive };
  network.At("dc1-1").Receive(
    outdated, network.Node("dc1-2").m_address, network.Now());
  network.Run(seconds(1));
  cr_assert(StateAt(network, "dc1-1", "dc1-8") == NodeState::Dead);
  cr_assert(network.AllAgree());
  cr_assert_eq(network.Violations(), 0);
}

Test(Membership, DeadRecordsExpireAfterTheRetentionTime)
{
  MemberTable table({ .m_maxMembers = 2, .m_deadRetention = seconds(100) });
  MemberRecord record;
  record.m_vm = VmId("a");
  record.m_state = NodeState::Dead;
  const MonotonicTime start{ seconds(1) };
  cr_assert(table.Apply(record, start));
  table.ExpireDead(start + seconds(99));
  cr_assert(table.Find(VmId("a")) != nullptr);
  table.ExpireDead(start + seconds(100));
  cr_assert(table.Find(VmId("a")) == nullptr);
}

Test(Membership, NodesThatFailedRecentlyCountForAMajority)
{
  MemberTable table({});
  const MonotonicTime start{ seconds(1'000) };
  MemberRecord record;
  record.m_cell = DataCentreId("dc");
  record.m_incarnation = Incarnation(1);
  for (const char* vm : { "a", "b", "c" }) {
    record.m_vm = VmId(vm);
    table.Apply(record, start);
  }
  record.m_state = NodeState::Dead;
  table.Apply(record, start);
  const DataCentreId cell("dc");
  cr_assert_eq(table.RecentCount(cell, start - seconds(60)), 3);
  cr_assert_eq(table.RecentCount(cell, start + seconds(1)), 2);
  cr_assert_eq(table.RecentCount(DataCentreId("other"), start), 0);
}

Test(Membership, FullTableRejectsAndCountsNewMembers)
{
  MemberTable table({ .m_maxMembers = 1 });
  MemberRecord record;
  record.m_vm = VmId("a");
  cr_assert(table.Apply(record, {}));
  record.m_vm = VmId("b");
  cr_assert(!table.Apply(record, {}));
  cr_assert_eq(table.Refused(), 1);
}

Test(Membership, PartitionWithinADataCentreHeals)
{
  FakeNetwork network(11, {});
  Settle(network);
  const auto isLeft = [](const FakeNode& aNode) {
    return aNode.m_address.Ip() % 2 == 0;
  };
  network.m_blocked = [&](const FakeNode& aFrom, const FakeNode& aTo) {
    return isLeft(aFrom) != isLeft(aTo);
  };
  network.Run(seconds(60));
  cr_assert(!network.AllAgree());
  network.m_blocked = nullptr;
  const Duration took =
    network.RunUntil([&] { return network.AllAgree(); }, seconds(60));
  cr_assert_lt(took.count(), Duration(seconds(30)).count());
  cr_assert_eq(network.Violations(), 0);
}

Test(Membership, CreateRejectsAnIncompleteRecord)
{
  SeededRandom random(1);
  const Result<Membership> made = Membership::Create({}, {}, {}, random);
  cr_assert(!made.has_value());
  cr_assert(made.error().Code() == ErrorCode::InvalidArgument);
}

} // namespace tarragontray::testing
