#include "process/Distribution.h"

#include <criterion/criterion.h>

#include "process/testing/FakeNetwork.h"

namespace tarragontray::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The time within which an accepted configuration must be in force on all
/// nodes.
constexpr Duration kInForceLimit = seconds(4);
const std::string kKey = "configurations/mesqel-gate";

/// A data centre with one node, which is a relay and has no children.
class SingleNodeTopology final : public SpreadTopology
{
public:
  SpreadPath NewPath(SpreadScope aScope) override
  {
    return { m_vm, 1, aScope };
  }
  std::vector<NetworkAddress> ChildrenOf(const SpreadPath&) const override
  {
    return {};
  }
  std::optional<std::size_t> RelayRank() const override { return m_rank; }
  std::optional<std::size_t> WatchRank() const override { return m_rank; }
  const VmId& SelfVm() const override { return m_vm; }

  std::size_t m_rank = 0;

private:
  VmId m_vm{ "dc1-1" };
};

Document
Version(std::uint64_t aRevision)
{
  return { ObjectKey(kKey), Revision(aRevision), std::to_string(aRevision) };
}

/// Runs two data centres with one document until they have converged.
void
Settle(FakeNetwork& aNetwork)
{
  aNetwork.Write(kKey, "1");
  aNetwork.AddNodes("dc1", 10);
  aNetwork.AddNodes("dc2", 10);
  aNetwork.Run(seconds(25));
  cr_assert(aNetwork.AllAgree());
  cr_assert(aNetwork.AllHave(kKey, Revision(1)));
}

void
AssertInForce(FakeNetwork& aNetwork, std::uint64_t aRevision)
{
  const Duration took = aNetwork.RunUntil(
    [&] { return aNetwork.AllHave(kKey, Revision(aRevision)); }, kInForceLimit);
  cr_assert_lt(took.count(), kInForceLimit.count(), "not in force within 4 s");
  cr_assert_eq(aNetwork.Violations(), 0);
}

std::vector<std::string>
RelaysOf(FakeNetwork& aNetwork, const std::string& aVm)
{
  std::vector<std::string> relays;
  for (const VmId& vm : aNetwork.At(aVm).Members().Relays()) {
    relays.push_back(vm.Value());
  }
  return relays;
}

} // namespace

Test(Distribution, OnlyTopRelaysWatchAPrefixWithLimitedWatchers)
{
  SeededRandom random(1);
  SingleNodeTopology topology;
  DistributionSettings settings;
  settings.m_listsAtStart = true;
  auto distribution = Distribution::Create(settings, topology, random).value();
  const WatchedPrefix orders{ "orders/", 2 };
  const WatchedPrefix all{ "configurations/" };
  const MonotonicTime now{ seconds(1) };
  topology.m_rank = 2;
  // Every node lists each prefix once to obtain the existing objects.
  cr_assert(distribution.WantsWatch(now, orders));
  distribution.OfferFromPlatform({}, Revision(7), now, orders.m_keys);
  distribution.OfferFromPlatform({}, Revision(7), now, all.m_keys);
  cr_assert(!distribution.WantsWatch(now, orders));
  cr_assert(distribution.WantsWatch(now, all));
  // One of the first two relays has left.
  topology.m_rank = 1;
  cr_assert(distribution.WantsWatch(now, orders));
}

Test(Distribution, InterleavedDuplicatedAndReorderedUpdatesNeverLowerRevisions)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SeededRandom random(seed);
    SingleNodeTopology topology;
    Result<Distribution> made = Distribution::Create({}, topology, random);
    Distribution& distribution = made.value();
    MonotonicTime now{ seconds(1) };
    std::uint64_t highest = 0;
    for (int i = 0; i < 200; ++i) {
      const std::uint64_t revision = 1 + random.Below(50);
      highest = std::max(highest, revision);
      now += milliseconds(random.Below(50));
      Datagram datagram;
      datagram.m_documents = { Version(revision) };
      switch (random.Below(3)) {
        case 0:
          distribution.Receive(datagram, now);
          break;
        case 1:
          distribution.OfferFromPeer(VmId("vm-2"),
                                     { datagram.m_documents, {} },
                                     DocumentSource::Peer,
                                     std::nullopt,
                                     now);
          break;
        default:
          distribution.OfferFromPlatform(
            datagram.m_documents, Revision(revision), now);
      }
      const Document* held = distribution.Table().Find(ObjectKey(kKey));
      cr_assert_eq(held->m_revision.Value(), highest);
      cr_assert_leq(distribution.WatchAfter().Value(), highest);
    }
  }
}

Test(Distribution, WatchPositionNeverMovesBack)
{
  SeededRandom random(1);
  SingleNodeTopology topology;
  Result<Distribution> made = Distribution::Create({}, topology, random);
  made.value().OfferFromPlatform({ Version(9) }, Revision(9), {});
  made.value().OfferFromPlatform({ Version(4) }, Revision(4), {});
  cr_assert_eq(made.value().WatchAfter().Value(), 9);
}

Test(Distribution, DocumentsTakeEffectOnlyAfterTheyAreSpread)
{
  SeededRandom random(1);
  SingleNodeTopology topology;
  topology.m_rank = 1;
  Result<Distribution> made = Distribution::Create({}, topology, random);
  Distribution& distribution = made.value();
  const MonotonicTime start{ seconds(1) };
  // A relay of rank 1 defers the document until it spreads it itself.
  distribution.OfferFromPlatform({ Version(1) }, Revision(1), start);
  distribution.Tick(start);
  cr_assert(!distribution.HasChanged());
  cr_assert(distribution.TakeChanged().empty());
  distribution.Tick(distribution.NextTick());
  cr_assert_eq(distribution.TakeChanged().size(), 1);
  // A document that arrives along a tree has been sent to peers already, so
  // it takes effect at once and is not spread again.
  distribution.OfferFromPlatform({ Version(2) }, Revision(2), start);
  Datagram datagram;
  datagram.m_path = topology.NewPath(SpreadScope::DataCentre);
  datagram.m_documents = { Version(2) };
  distribution.Receive(datagram, start);
  cr_assert_eq(distribution.TakeChanged().size(), 1);
  cr_assert_eq(distribution.Tick(start + seconds(9)).m_send.size(), 0);
}

Test(Distribution, PlatformReadsAreRateLimited)
{
  SeededRandom random(1);
  SingleNodeTopology topology;
  DistributionSettings settings;
  Result<Distribution> made = Distribution::Create(settings, topology, random);
  MonotonicTime now{ seconds(1) };
  std::size_t reads = 0;
  for (int i = 0; i < 1000; ++i, now += milliseconds(10)) {
    reads += made.value().TakePlatformRead(now) ? 1 : 0;
  }
  cr_assert_leq(reads, 24); // The burst of 4, and 2 per second for 10 s.
  cr_assert_geq(reads, 20);
}

Test(Distribution, StalePlatformReadsDoNotLowerRevisions)
{
  FakeNetwork network(2, {});
  Settle(network);
  network.Write(kKey, "2");
  AssertInForce(network, 2);
  // The replaced relays list from a platform replica that lacks the last
  // write.
  network.ThePlatform().m_staleBy = 1;
  for (const std::string& relay : RelaysOf(network, "dc1-1")) {
    network.Start(relay, "dc1");
  }
  network.Run(seconds(30));
  cr_assert(network.AllHave(kKey, Revision(2)));
  cr_assert_eq(network.Violations(), 0);
}

Test(Distribution, ReplacementCatchesUpDuringAPlatformOutage)
{
  FakeNetwork network(3, {});
  Settle(network);
  network.Write(kKey, "2");
  AssertInForce(network, 2);
  network.ThePlatform().m_isDown = true;
  for (const char* vm : { "dc1-1", "dc1-5", "dc2-3" }) {
    network.Start(vm, std::string(vm).substr(0, 3));
  }
  AssertInForce(network, 2);
  network.Run(seconds(5));
  cr_assert(network.AllAgree());
}

Test(Distribution, ReplacementRefusesToServeBelowItsFloor)
{
  SeededRandom random(1);
  SingleNodeTopology topology;
  Result<Distribution> made = Distribution::Create({}, topology, random);
  made.value().RaiseFloor(Revision(5));
  made.value().OfferFromPeer(VmId("vm-2"),
                             { { Version(4) }, {} },
                             DocumentSource::Peer,
                             std::nullopt,
                             {});
  cr_assert(made.value().IsBelowFloor());
  made.value().RaiseFloor(Revision(3));
  cr_assert(made.value().IsBelowFloor());
  made.value().OfferFromPeer(VmId("vm-2"),
                             { { Version(5) }, {} },
                             DocumentSource::Peer,
                             std::nullopt,
                             {});
  cr_assert(!made.value().IsBelowFloor());
}

Test(Distribution, ReplacementServesOnlyAfterTheSettleTime)
{
  FakeNetwork network(13, {});
  Settle(network);
  network.Start("dc1-4", "dc1");
  network.Run(milliseconds(1500));
  cr_assert(network.At("dc1-4").Members().IsJoined());
  cr_assert(!network.At("dc1-4").MayServe());
  network.Run(seconds(3));
  cr_assert(network.At("dc1-4").MayServe());
}

Test(Distribution, PullAnswerCarriesTheFloorOfTheRequestingVm)
{
  FakeNetwork network(4, {});
  Settle(network);
  PullRequest request;
  request.m_from = VmId("dc1-4");
  cr_assert_eq(
    network.At("dc1-3").AnswerPull(request, network.Now()).m_floor.Value(), 1);
}

Test(Distribution, ConvergesWhenAllRelaysFailAfterAcceptance)
{
  FakeNetwork network(5, {});
  Settle(network);
  network.Write(kKey, "2");
  // The relays fail before they can have read the new revision.
  for (const std::string& relay : RelaysOf(network, "dc1-1")) {
    network.Kill(relay);
  }
  AssertInForce(network, 2);
}

Test(Distribution, ConvergesWhenThePlatformFailsAfterAcceptance)
{
  FakeNetwork network(6, { .m_loss = 0.05 });
  Settle(network);
  network.Write(kKey, "2");
  network.Run(milliseconds(20));
  network.ThePlatform().m_isDown = true;
  AssertInForce(network, 2);
}

Test(Distribution, ConvergesWhenOneDataCentreCannotReachThePlatform)
{
  FakeNetwork network(7, { .m_loss = 0.05 });
  Settle(network);
  network.m_isCutFromPlatform = [](const FakeNode& aNode) {
    return aNode.m_dataCentre == DataCentreId("dc2");
  };
  network.Write(kKey, "2");
  AssertInForce(network, 2);
}

Test(Distribution, HealedPartitionConvergesToTheHighestRevision)
{
  FakeNetwork network(8, {});
  Settle(network);
  const auto isLeft = [](const FakeNode& aNode) {
    return aNode.m_dataCentre == DataCentreId("dc1");
  };
  network.m_blocked = [&](const FakeNode& aFrom, const FakeNode& aTo) {
    return isLeft(aFrom) != isLeft(aTo);
  };
  network.m_isCutFromPlatform = isLeft;
  network.Write(kKey, "2");
  network.Run(seconds(60));
  cr_assert(!network.AllHave(kKey, Revision(2)));
  network.m_blocked = nullptr;
  AssertInForce(network, 2);
}

Test(Distribution, DigestsRepairPacketLoss)
{
  FakeNetwork network(9, { .m_loss = 0.2 });
  Settle(network);
  for (std::uint64_t revision = 2; revision <= 6; ++revision) {
    network.Write(kKey, "x");
    AssertInForce(network, revision);
  }
}

Test(Distribution, LargeDocumentsArePulledAlongTheTree)
{
  FakeNetwork network(10, {});
  Settle(network);
  network.Write(kKey, std::string(100'000, 'x'));
  const Duration took = network.RunUntil(
    [&] { return network.AllHave(kKey, Revision(2)); }, kInForceLimit);
  cr_assert_lt(took.count(), Duration(milliseconds(500)).count());
}

Test(Distribution, NodesThatStartTogetherPullFromPeers)
{
  FakeNetwork network(11, {});
  Settle(network);
  network.Run(seconds(20));
  const std::uint64_t before = network.ThePlatform().m_calls;
  for (int i = 1; i <= 10; ++i) {
    network.Start("dc1-" + std::to_string(i), "dc1");
  }
  const Duration took = network.RunUntil(
    [&] { return network.AllHave(kKey, Revision(1)); }, seconds(10));
  cr_assert_lt(took.count(), kInForceLimit.count());
  network.Run(seconds(10));
  // The three relays of dc1 list and watch, and those of dc2 may renew their
  // watches.
  cr_assert_leq(network.ThePlatform().m_calls - before, 12);
  cr_assert_eq(network.Violations(), 0);
}

Test(Distribution, ColdStartWithoutPeersReadsThePlatform)
{
  FakeNetwork network(12, {});
  network.Write(kKey, "1");
  network.Start("dc1-1", "dc1");
  network.Run(seconds(5));
  cr_assert(network.AllHave(kKey, Revision(1)));
}

} // namespace tarragontray::testing
