// Tests of real processes with groups of misbehaving clients. Each test guards
// against a node that runs out of memory or descriptors, or that stops serving
// ordinary requests. The node's limits are low, so that a small group exceeds
// them. Nothing here depends on times or on the share of served requests.
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <thread>

#include <criterion/criterion.h>
#include <sys/resource.h>
#include <unistd.h>

#include "programs/testing/ClientGroup.h"
#include "programs/testing/LocalDeployment.h"

namespace tarragontray {

namespace {

using namespace std::chrono_literals;

constexpr Duration kLimit = 30s;
/// Longest time that a group sends.
constexpr Duration kSendLimit = 4s;
constexpr std::size_t kClients = 300;
/// Descriptor limit of the node, and the most that may be in use: the others
/// are for peers, the store and the upstream.
constexpr rlim_t kDescriptors = 256;
constexpr std::size_t kMaxOpenDescriptors = 208;
/// Peak resident memory of the node. The budget for callers is 16 MiB, an idle
/// node takes about 20 MB.
constexpr std::size_t kMaxPeakKilobytes = 64U << 10U;
constexpr std::size_t kBody = 1'000'000;
constexpr std::size_t kAttempts = 6;

/// Lowers the descriptor limit of processes that are started in its scope.
class DescriptorLimit
{
public:
  DescriptorLimit()
  {
    getrlimit(RLIMIT_NOFILE, &m_before);
    const rlimit lowered{ kDescriptors, m_before.rlim_max };
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &m_before); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
  rlimit m_before{};
};

std::size_t
PeakKilobytes(pid_t aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  std::string word;
  std::size_t kilobytes = 0;
  while (status >> word) {
    if (word == "VmHWM:") {
      status >> kilobytes;
      break;
    }
  }
  return kilobytes;
}

std::size_t
OpenDescriptors(pid_t aProcess)
{
  std::error_code error;
  const std::filesystem::directory_iterator entries(
    "/proc/" + std::to_string(aProcess) + "/fd", error);
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

/// Whether one of a few ordinary requests in a row is answered 200. An ordinary
/// caller repeats a request that was refused.
bool
IsServed(const std::function<Result<HttpAnswerParts>()>& aRequest)
{
  for (std::size_t i = 0; i < kAttempts; ++i) {
    const auto answer = aRequest();
    if (answer && answer.value().m_status == 200) {
      return true;
    }
    std::this_thread::sleep_for(500ms);
  }
  return false;
}

/// What a group requests.
struct GroupTarget
{
  NetworkAddress m_address;
  std::string m_method;
  std::string m_path;
};

/// The head of a request up to its framing fields.
std::string
Head(const GroupTarget& aTarget)
{
  return aTarget.m_method + " " + aTarget.m_path +
         " HTTP/1.1\r\nx-client-account: mesqel-gate\r\n";
}

using MakeBehaviour = std::function<ClientBehaviour(const GroupTarget&)>;

/// The process under test, with the ordinary requests that it must serve.
struct TestedProcess
{
  pid_t m_process = -1;
  std::vector<std::function<Result<HttpAnswerParts>()>> m_ordinary;
};

void
CheckProcess(const TestedProcess& aTested, const std::string& aGroup)
{
  cr_expect_eq(kill(aTested.m_process, 0), 0, "%s: ended", aGroup.c_str());
  const std::size_t descriptors = OpenDescriptors(aTested.m_process);
  cr_expect_leq(descriptors,
                kMaxOpenDescriptors,
                "%s: %zu open descriptors",
                aGroup.c_str(),
                descriptors);
  for (std::size_t i = 0; i < aTested.m_ordinary.size(); ++i) {
    cr_expect(IsServed(aTested.m_ordinary[i]),
              "%s: ordinary request %zu not served",
              aGroup.c_str(),
              i);
  }
  const std::size_t peak = PeakKilobytes(aTested.m_process);
  cr_expect_leq(peak,
                kMaxPeakKilobytes,
                "%s: %zu KiB of resident memory at the peak",
                aGroup.c_str(),
                peak);
}

void
RunGroup(const TestedProcess& aTested,
         const GroupTarget& aTarget,
         const MakeBehaviour& aMakeBehaviour)
{
  const ClientBehaviour behaviour = aMakeBehaviour(aTarget);
  ClientGroup group(aTarget.m_address, behaviour, kClients);
  group.Run(kSendLimit);
  CheckProcess(aTested,
               behaviour.m_name + (" at " + aTarget.m_path + " of ") +
                 aTarget.m_address.ToString());
}

void
LowerLimits()
{
  setenv("TARRAGONTRAY_CALLER_MEMORY_MB", "16", 1);
}

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

ClientBehaviour
WholeBody(const GroupTarget& aTarget)
{
  return { "bodies without their last byte",
           Head(aTarget) + "content-length: " + std::to_string(kBody) +
             "\r\n\r\n" + std::string(kBody - 1, 'b') };
}

ClientBehaviour
BodyInPieces(const GroupTarget& aTarget)
{
  constexpr std::size_t kPiece = 4000;
  return { "bodies in pieces without their last one",
           Head(aTarget) + "content-length: " + std::to_string(kBody) +
             "\r\n\r\n",
           std::string(kPiece, 'b'),
           kBody / kPiece - 1 };
}

ClientBehaviour
BodyInChunks(const GroupTarget& aTarget)
{
  return { "bodies in chunks without the last one",
           Head(aTarget) + "transfer-encoding: chunked\r\n\r\n",
           "10000\r\n" + std::string(0x10000, 'b') + "\r\n",
           15 };
}

ClientBehaviour
OversizedBody(const GroupTarget& aTarget)
{
  return { "bodies over the limit",
           Head(aTarget) + "content-length: 64000000\r\n\r\n",
           std::string(0x10000, 'b'),
           64 };
}

ClientBehaviour
EndlessChunks(const GroupTarget& aTarget)
{
  return { "chunks over the limit",
           Head(aTarget) + "transfer-encoding: chunked\r\n\r\n",
           "10000\r\n" + std::string(0x10000, 'b') + "\r\n",
           64 };
}

ClientBehaviour
ManyFields(const GroupTarget& aTarget)
{
  std::string fields;
  for (int i = 0; i < 2600; ++i) {
    fields += "a:\r\n";
  }
  return { "many header fields and a body without its last byte",
           Head(aTarget) + fields + "content-length: 2\r\n\r\nb" };
}

ClientBehaviour
Pipelined(const GroupTarget& aTarget)
{
  std::string requests;
  while (requests.size() < 0x10000) {
    requests += Head(aTarget) + "content-length: 0\r\n\r\n";
  }
  return { "pipelined requests", "", requests, 20 };
}

/// The status page is the largest answer that needs no configuration.
ClientBehaviour
PipelinedPages(const GroupTarget& aTarget)
{
  return Pipelined({ aTarget.m_address, "GET", "/" });
}

ClientBehaviour
PipelinedBodies(const GroupTarget& aTarget)
{
  const std::string request =
    Head(aTarget) + "content-length: 60000\r\n\r\n" + std::string(60'000, 'b');
  return { "pipelined requests with bodies", "", request, 60 };
}

ClientBehaviour
SlowHead(const GroupTarget& aTarget)
{
  return { "slow heads", Head(aTarget), "a:b\r\n", 1000, 100ms };
}

ClientBehaviour
SlowBody(const GroupTarget& aTarget)
{
  return { "slow bodies",
           Head(aTarget) + "content-length: 1000\r\n\r\n",
           "b",
           999,
           100ms };
}

ClientBehaviour
HalfHead(const GroupTarget& aTarget)
{
  return { "half a head", Head(aTarget) };
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

/// The readiness path of the platform's dialect. The node has no store and so
/// isn't ready; its health page must still be answered.
Test(MisbehavingClients, ReadinessOnThePlatform, .timeout = 240)
{
  LowerLimits();
  const LoopbackNetwork network;
  auto node = [&] {
    const DescriptorLimit limit;
    return ChildProcess::Start("tarragontray-mesh-node",
                               { "--vm=vm0",
                                 "--data-centre=addis-1",
                                 "--front-address=" + network.Address(2, 8000),
                                 "--peer-address=" + network.Address(2, 8001),
                                 "--admin-address=" + network.Address(2, 8002),
                                 "--platform=" + network.Address(1, 7000),
                                 "--join=platform",
                                 "--log-level=error" });
  }();
  cr_assert(node.has_value());
  const std::string admin = network.Address(2, 8002);
  const TestedProcess tested{
    node.value().Pid(), { [&] {
      return SendRequest(admin, { "GET", "/health", {}, "" });
    } }
  };
  cr_assert(IsServed(tested.m_ordinary.front()));
  const GroupTarget target{ NetworkAddress::Parse(admin).value(),
                            "GET",
                            "/api/readiness" };
  for (const MakeBehaviour& behaviour : { MakeBehaviour(WholeBody),
                                          MakeBehaviour(BodyInChunks),
                                          MakeBehaviour(ManyFields),
                                          MakeBehaviour(Pipelined),
                                          MakeBehaviour(HalfHead) }) {
    RunGroup(tested, target, behaviour);
  }
}

} // namespace tarragontray
