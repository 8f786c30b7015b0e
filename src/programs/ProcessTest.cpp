// Tests of real processes on loopback addresses: killed and paused nodes,
// graceful shutdowns and platform outages.
#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>

#include <boost/json.hpp>
#include <criterion/criterion.h>
#include <unistd.h>

#include "programs/testing/LocalDeployment.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

/// Limit for a configuration to reach all nodes.
constexpr Duration kConvergence = std::chrono::seconds(4);
/// Generous limit for steps whose duration is not under test.
constexpr Duration kLimit = std::chrono::seconds(30);
constexpr char kMix[] = R"([
 {"name":"seats","account":"mesqel-gate","class":"fans","method":"GET",
  "target":"/seat-maps/7","weight":6,"idempotent":true,"body_bytes":0,
  "answer_bytes":512,"timeout_ms":600},
 {"name":"buy","account":"mesqel-gate","class":"fans","method":"POST",
  "target":"/purchases","weight":4,"idempotent":false,"body_bytes":200,
  "answer_bytes":512,"timeout_ms":1000}])";

/// A temporary file with the call mix, removed by the destructor.
class MixFile
{
public:
  MixFile()
    : m_path("/tmp/tarragontray-mix-" + std::to_string(getpid()) + ".json")
  {
    std::ofstream(m_path) << kMix;
  }
  ~MixFile() { std::remove(m_path.c_str()); }
  MixFile(const MixFile&) = delete;
  MixFile& operator=(const MixFile&) = delete;
  const std::string& Path() const { return m_path; }

private:
  std::string m_path;
};

/// Three box-office VMs and one catalogue VM in four data centres.
void
StartMesqelGate(LocalDeployment& aDeployment)
{
  aDeployment.StartPlatform();
  aDeployment.AddVm({ .m_dataCentre = "addis-1", .m_service = "catalogue" });
  aDeployment.AddVm({ .m_dataCentre = "addis-2" });
  aDeployment.AddVm({ .m_dataCentre = "addis-3" });
  aDeployment.AddVm({ .m_dataCentre = "addis-4" });
  aDeployment.PutExample("mesqel-gate", "ticketing");
  cr_assert(aDeployment.WaitForLive(4, kLimit));
  cr_assert(aDeployment.WaitForVersion("mesqel-gate", 2, kLimit));
}

/// Waits for the load tool to end and returns its report.
json::object
ReadReport(ChildProcess& aLoad)
{
  const auto text = aLoad.ReadAll(kLimit);
  cr_assert(text.has_value(), "the load tool did not end within 30 s");
  return json::parse(text.value()).as_object();
}

std::int64_t
Figure(const json::object& aReport, const char* aName)
{
  const json::value* value = aReport.if_contains(aName);
  cr_assert(value != nullptr, "the report has no field %s", aName);
  return value->to_number<std::int64_t>();
}

/// Checks what must hold under every failure: no wrong answers, no duplicate
/// executions, and no executed call reported as not run.
void
CheckInvariants(const json::object& aReport)
{
  cr_assert_eq(Figure(aReport, "wrong_answers"), 0);
  cr_assert_eq(Figure(aReport, "doubled_runs"), 0);
  cr_assert_eq(Figure(aReport, "false_not_run"), 0);
  cr_assert_gt(Figure(aReport, "calls"), 100);
}

/// Waits until the guard of a VM has run at least aCount calls.
void
WaitForRuns(LocalDeployment& aDeployment, std::size_t aVm, std::int64_t aCount)
{
  const auto check = [&](const std::string& aStatus) {
    return json::parse(aStatus).at("guard").at("ran").to_number<int>() >=
           aCount;
  };
  cr_assert(aDeployment.WaitForStatus(aVm, check, kLimit));
}

std::string
HeaderOf(const HttpAnswerParts& aAnswer, const std::string& aName)
{
  for (const HttpHeader& header : aAnswer.m_headers) {
    if (header.m_name == aName) {
      return header.m_value;
    }
  }
  return "";
}

} // namespace

Test(Process, ServesACallThroughTwoNodes)
{
  LocalDeployment deployment;
  StartMesqelGate(deployment);
  const auto answer = deployment.Call(0, "GET", "/seat-maps/7");
  cr_assert(answer.has_value());
  cr_assert_eq(answer.value().m_status, 200);
  cr_assert(HeaderOf(answer.value(), "x-outcome") == "done");
  cr_assert(HeaderOf(answer.value(), "x-version") == "v1");
  const auto missing = deployment.Call(0, "GET", "/nowhere");
  cr_assert_eq(missing.value().m_status, 404);
  cr_assert(HeaderOf(missing.value(), "x-outcome") == "not-run");
}

Test(Process,
     KilledNodesCauseNoDuplicateExecutionsOrWrongAnswers,
     .timeout = 90)
{
  LocalDeployment deployment;
  StartMesqelGate(deployment);
  const MixFile mix;
  ChildProcess load =
    deployment.StartLoad({ 0 }, mix.Path(), 200, std::chrono::seconds(6), 1);
  WaitForRuns(deployment, 1, 20);
  deployment.Node(1).Signal(SIGKILL);
  deployment.RestartNode(1);
  WaitForRuns(deployment, 2, 100);
  deployment.Node(2).Signal(SIGKILL);
  deployment.RestartNode(2);
  const json::object report = ReadReport(load);
  CheckInvariants(report);
}

Test(Process, PausedNodeCausesNoDuplicateExecutionsAfterResuming, .timeout = 90)
{
  LocalDeployment deployment;
  StartMesqelGate(deployment);
  const MixFile mix;
  ChildProcess load =
    deployment.StartLoad({ 0 }, mix.Path(), 200, std::chrono::seconds(6), 2);
  WaitForRuns(deployment, 1, 20);
  deployment.Node(1).Signal(SIGSTOP);
  WaitForRuns(deployment, 2, 200);
  deployment.Node(1).Signal(SIGCONT);
  const json::object report = ReadReport(load);
  CheckInvariants(report);
}

Test(Process, GracefulShutdownsFailNoCalls, .timeout = 90)
{
  LocalDeployment deployment;
  StartMesqelGate(deployment);
  const MixFile mix;
  ChildProcess load =
    deployment.StartLoad({ 0 }, mix.Path(), 200, std::chrono::seconds(9), 3);
  WaitForRuns(deployment, 1, 20);
  for (std::size_t vm = 1; vm <= 3; ++vm) {
    deployment.Node(vm).Signal(SIGTERM);
    const auto status = deployment.Node(vm).WaitForExit(kLimit);
    cr_assert(
      status == 0, "node %zu exited with status %d", vm, status.value_or(-1));
    deployment.RestartNode(vm);
    cr_assert(deployment.WaitForLive(4, kLimit));
  }
  const json::object report = ReadReport(load);
  CheckInvariants(report);
  for (const json::value& kind : report.at("kinds").as_array()) {
    for (const char* name : { "failed", "not_run", "unknown", "lost" }) {
      cr_assert_eq(Figure(kind.as_object(), name),
                   0,
                   "%s of %s",
                   name,
                   kind.at("name").as_string().c_str());
    }
  }
}

Test(Process, SecondSigtermDoesNotInterruptDraining, .timeout = 90)
{
  LocalDeployment deployment;
  StartMesqelGate(deployment);
  deployment.Node(1).Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  deployment.Node(1).Signal(SIGTERM);
  const auto status = deployment.Node(1).WaitForExit(kLimit);
  cr_assert(status == 0, "the node exited with status %d", status.value_or(-1));
}

Test(Process,
     RestartedNodeGetsConfigurationFromPeersDuringPlatformOutage,
     .timeout = 90)
{
  LocalDeployment deployment;
  StartMesqelGate(deployment);
  const std::uint64_t version = deployment.Put(
    "configurations/mesqel-gate", ReadExample("mesqel-gate.parameters.json"));
  cr_assert(deployment.WaitForVersion("mesqel-gate", version, kConvergence));
  deployment.SetPlatformFaults(R"({"down": "refuse"})");
  deployment.Node(2).Signal(SIGKILL);
  deployment.RestartNode(2);
  cr_assert(deployment.WaitForVersion("mesqel-gate", version, kConvergence));
  const auto answer = deployment.Call(2, "GET", "/seat-maps/1");
  cr_assert(answer.has_value());
  cr_assert_eq(answer.value().m_status,
               200,
               "the call was refused with reason: %s",
               HeaderOf(answer.value(), "x-reason").c_str());
}

Test(Process, ThreeNodesRestartDuringPlatformOutage, .timeout = 90)
{
  LocalDeployment deployment;
  StartMesqelGate(deployment);
  deployment.SetPlatformFaults(R"({"down": "refuse"})");
  // Node 0 keeps running and is the only source of the configuration for the
  // restarted nodes.
  for (std::size_t vm = 1; vm <= 3; ++vm) {
    deployment.Node(vm).Signal(SIGKILL);
  }
  for (std::size_t vm = 1; vm <= 3; ++vm) {
    deployment.RestartNode(vm);
  }
  cr_assert(deployment.WaitForVersion("mesqel-gate", 2, kLimit));
  cr_assert(deployment.WaitForLive(4, kLimit));
}

Test(Process, InvalidSettingExitsWithStatusTwo)
{
  auto child =
    ChildProcess::Start("tarragontray-node", { "--front-threads=0" });
  cr_assert(child.value().WaitForExit(kLimit) == 2);
}

} // namespace tarragontray
