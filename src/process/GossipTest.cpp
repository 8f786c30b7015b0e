#include "process/Gossip.h"

#include <criterion/criterion.h>

#include "process/testing/FakeNetwork.h"

namespace tarragontray::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

Test(Gossip, NodesJoinAndReceiveDocuments)
{
  FakeNetwork network(1, {});
  network.Write("configurations/a", "{}");
  network.AddNodes("dc1", 12);
  network.AddNodes("dc2", 12);
  const Duration joined =
    network.RunUntil([&] { return network.AllAgree(); }, seconds(20));
  cr_assert_lt(joined.count(), Duration(seconds(10)).count());
  network.Run(seconds(10));
  cr_assert(network.AllHave("configurations/a", Revision(1)));
  network.Write("configurations/a", "{1}");
  const Duration spread = network.RunUntil(
    [&] { return network.AllHave("configurations/a", Revision(2)); },
    seconds(10));
  cr_assert_lt(spread.count(), Duration(milliseconds(200)).count());
  cr_assert_eq(network.Violations(), 0);
}

/// The next digest may arrive only a probe interval later.
Test(Gossip, FailedPullWaitsForAnotherDigestAlthoughOtherPeersAreAhead)
{
  SeededRandom random(1);
  MemberRecord self;
  self.m_vm = VmId("vm-1");
  self.m_dataCentre = DataCentreId("dc");
  self.m_cell = DataCentreId("dc");
  self.m_peerAddress = NetworkAddress(0x7F000001, 7000);
  Gossip gossip = Gossip::Create({}, self, {}, random).value();
  MonotonicTime now{ seconds(100) };
  for (std::uint16_t i = 1; i <= 2; ++i) {
    Datagram datagram;
    datagram.m_from = VmId("peer-" + std::to_string(i));
    MemberRecord& peer = datagram.m_members.emplace_back();
    peer.m_vm = datagram.m_from;
    peer.m_dataCentre = self.m_dataCentre;
    peer.m_cell = self.m_cell;
    peer.m_incarnation = Incarnation(1);
    peer.m_peerAddress =
      NetworkAddress(0x7F000001, static_cast<std::uint16_t>(7000 + i));
    gossip.Receive(datagram, peer.m_peerAddress, now);
    gossip.OfferPull({}, now);
    datagram.m_digest.emplace().m_documents.m_highest = Revision(9);
    gossip.Receive(datagram, peer.m_peerAddress, now);
  }
  std::vector<NetworkAddress> pulled;
  for (int step = 0; step < 150 && pulled.size() < 2; ++step) {
    now += milliseconds(10);
    const GossipActions actions = gossip.Tick(now);
    if (actions.m_pull) {
      pulled.push_back(actions.m_pull->m_peer);
      gossip.FailPull(now);
    }
  }
  cr_assert_eq(pulled.size(), 2);
  cr_assert(pulled[0] != pulled[1]);
}

} // namespace tarragontray::testing
