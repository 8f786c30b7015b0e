// Tests of real processes with groups of misbehaving clients. Each test guards
// against a node that runs out of memory or descriptors, or that stops serving
// ordinary requests.
#include "programs/testing/MisbehavingClients.h"

#include <criterion/criterion.h>

#include "programs/testing/LocalDeployment.h"

namespace tarragontray {

namespace {

constexpr Duration kLimit = std::chrono::seconds(30);

/// Runs a group at a route, at a path without a route and at the admin
/// listener of a node.
void
RunAtNode(const MakeBehaviour& aMakeBehaviour)
{
  LowerLimits();
  LocalDeployment deployment;
  deployment.StartPlatform();
  {
    const DescriptorLimit limit;
    deployment.AddVm({ .m_dataCentre = "addis-1" });
  }
  deployment.AddVm({ .m_dataCentre = "addis-2", .m_service = "catalogue" });
  deployment.PutExample("mesqel-gate", "ticketing");
  cr_assert(deployment.WaitForVersion("mesqel-gate", 2, kLimit));
  cr_assert(deployment.WaitForLive(2, kLimit));
  const TestedProcess tested{
    deployment.Node(0).Pid(),
    { [&] { return deployment.Call(0, "GET", "/seat-maps/7"); },
      [&] { return deployment.Admin(0, "/health"); } }
  };
  const auto front = NetworkAddress::Parse(deployment.FrontAddress(0)).value();
  const auto admin = NetworkAddress::Parse(deployment.AdminAddress(0)).value();
  RunGroup(tested, { front, "POST", "/purchases" }, aMakeBehaviour);
  RunGroup(tested, { front, "POST", "/nowhere" }, aMakeBehaviour);
  RunGroup(tested, { admin, "GET", "/health" }, aMakeBehaviour);
}

} // namespace

Test(MisbehavingClients, WholeBodies, .timeout = 240)
{
  RunAtNode(WholeBody);
}

Test(MisbehavingClients, BodiesInPieces, .timeout = 240)
{
  RunAtNode(BodyInPieces);
}

Test(MisbehavingClients, BodiesInChunks, .timeout = 240)
{
  RunAtNode(BodyInChunks);
}

Test(MisbehavingClients, OversizedBodies, .timeout = 240)
{
  RunAtNode(OversizedBody);
}

Test(MisbehavingClients, EndlessChunks, .timeout = 240)
{
  RunAtNode(EndlessChunks);
}

Test(MisbehavingClients, ManyFields, .timeout = 240)
{
  RunAtNode(ManyFields);
}

Test(MisbehavingClients, PipelinedRequests, .timeout = 240)
{
  RunAtNode(Pipelined);
}

Test(MisbehavingClients, PipelinedPages, .timeout = 240)
{
  RunAtNode(PipelinedPages);
}

Test(MisbehavingClients, PipelinedBodies, .timeout = 240)
{
  RunAtNode(PipelinedBodies);
}

Test(MisbehavingClients, SlowHeads, .timeout = 240)
{
  RunAtNode(SlowHead);
}

Test(MisbehavingClients, SlowBodies, .timeout = 240)
{
  RunAtNode(SlowBody);
}

Test(MisbehavingClients, HalfHeads, .timeout = 240)
{
  RunAtNode(HalfHead);
}

} // namespace tarragontray
