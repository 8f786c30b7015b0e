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

} // namespace tarragontray::testing
