#include "programs/testing/MisbehavingClients.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

using namespace std::chrono_literals;

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

/// The head of a request up to its framing fields.
std::string
Head(const GroupTarget& aTarget)
{
  return aTarget.m_method + " " + aTarget.m_path +
         " HTTP/1.1\r\nx-client-account: mesqel-gate\r\n";
}

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

} // namespace

DescriptorLimit::DescriptorLimit()
{
  getrlimit(RLIMIT_NOFILE, &m_before);
  const rlimit lowered{ kDescriptors, m_before.rlim_max };
  setrlimit(RLIMIT_NOFILE, &lowered);
}

DescriptorLimit::~DescriptorLimit()
{
  setrlimit(RLIMIT_NOFILE, &m_before);
}

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

} // namespace tarragontray
