#include "programs/testing/LocalDeployment.h"

#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <unistd.h>

#include "connection/HttpClient.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

constexpr Duration kStartLimit = std::chrono::seconds(10);
constexpr Duration kRequestLimit = std::chrono::seconds(3);
/// Time between two requests for a node's status.
constexpr Duration kStatusInterval = std::chrono::milliseconds(25);

std::unique_ptr<ChildProcess>
StartAndWaitForReady(const std::string& aProgram,
                     std::vector<std::string> aArguments)
{
  auto child = ChildProcess::Start(aProgram, std::move(aArguments));
  if (!child || !child.value().WaitForReady(kStartLimit)) {
    std::abort();
  }
  return std::make_unique<ChildProcess>(std::move(child.value()));
}

} // namespace

Result<HttpAnswerParts>
SendRequest(const std::string& aAddress, HttpRequestParts aRequest)
{
  BOOST_OUTCOME_TRY(const auto address, NetworkAddress::Parse(aAddress));
  boost::asio::io_context context;
  auto client =
    HttpClient::Create(context, { .m_peer = address, .m_resendsGet = false });
  std::optional<Result<HttpAnswerParts>> result;
  client->Send({ std::move(aRequest), "test", kRequestLimit },
               [&](Result<HttpAnswerParts> aAnswer) {
                 result.emplace(std::move(aAnswer));
                 context.stop();
               });
  context.run();
  return std::move(*result);
}

LoopbackNetwork::LoopbackNetwork()
{
  constexpr int kFirstNetwork = 64;
  constexpr int kNetworks = 128;
  const int pid = getpid();
  m_prefix = "127." + std::to_string(kFirstNetwork + pid % kNetworks) + "." +
             std::to_string(pid / kNetworks % kNetworks) + ".";
}

std::string
LoopbackNetwork::Address(std::size_t aHost, std::uint16_t aPort) const
{
  return m_prefix + std::to_string(aHost) + ":" + std::to_string(aPort);
}

std::string
LocalDeployment::AddressOf(std::size_t aVm, std::uint16_t aPort) const
{
  return m_network.Address(aVm + 2, aPort);
}

std::string
LocalDeployment::PlatformAddress(std::uint16_t aPort) const
{
  return m_network.Address(1, aPort);
}

std::string
LocalDeployment::FrontAddress(std::size_t aVm) const
{
  return AddressOf(aVm, 8000);
}

std::string
LocalDeployment::AdminAddress(std::size_t aVm) const
{
  return AddressOf(aVm, 8002);
}

std::string
LocalDeployment::UpstreamAdmin(std::size_t aVm) const
{
  return AddressOf(aVm, 9001);
}

void
LocalDeployment::StartPlatform()
{
  m_platform = StartAndWaitForReady("standin-platform",
                                    { "--listen=" + PlatformAddress(7000),
                                      "--admin=" + PlatformAddress(7001) });
}

std::unique_ptr<ChildProcess>
LocalDeployment::StartNode(std::size_t aVm)
{
  return StartAndWaitForReady(
    "tarragontray-node",
    { "--vm=vm" + std::to_string(aVm),
      "--data-centre=" + m_vms[aVm].m_spec.m_dataCentre,
      "--front-address=" + AddressOf(aVm, 8000),
      "--peer-address=" + AddressOf(aVm, 8001),
      "--admin-address=" + AddressOf(aVm, 8002),
      "--platform=" + PlatformAddress(7000),
      "--seeds=" + AddressOf(0, 8001) + "," + AddressOf(1, 8001),
      "--log-level=warning" });
}

std::unique_ptr<ChildProcess>
LocalDeployment::StartUpstream(std::size_t aVm)
{
  const VmSpec& spec = m_vms[aVm].m_spec;
  return StartAndWaitForReady(
    "standin-upstream",
    { "--listen=" + AddressOf(aVm, 9000),
      "--admin=" + AddressOf(aVm, 9001),
      "--node=" + AddressOf(aVm, 8002),
      "--vm=vm" + std::to_string(aVm),
      "--account=" + spec.m_account,
      "--service=" + spec.m_service,
      "--upstream-version=" + spec.m_version,
      "--slots=" + std::to_string(spec.m_slots),
      "--service-us=" + std::to_string(spec.m_serviceMicroseconds),
      "--faults=" + spec.m_faults,
      "--seed=" + std::to_string(aVm + 1) });
}

std::size_t
LocalDeployment::AddVm(const VmSpec& aSpec)
{
  const std::size_t index = m_vms.size();
  m_vms.push_back({ aSpec, nullptr, nullptr });
  m_vms[index].m_node = StartNode(index);
  m_vms[index].m_upstream = StartUpstream(index);
  return index;
}

void
LocalDeployment::RestartNode(std::size_t aVm)
{
  m_vms[aVm].m_node.reset();
  m_vms[aVm].m_node = StartNode(aVm);
}

std::uint64_t
LocalDeployment::Put(const std::string& aKey, const std::string& aBody)
{
  const std::string body = json::serialize(json::object{
    { "expected", nullptr }, { "operation", "test" }, { "body", aBody } });
  const auto answer = SendRequest(PlatformAddress(7000),
                                  { "PUT", "/v1/objects/" + aKey, {}, body });
  if (!answer || answer.value().m_status != 200) {
    std::abort();
  }
  const json::value value = json::parse(answer.value().m_body);
  return value.at("revision").to_number<std::uint64_t>();
}

void
LocalDeployment::PutExample(const std::string& aAccount,
                            const std::string& aTemplate)
{
  Put("templates/" + aTemplate + "/1",
      ReadExample(aAccount + ".template.json"));
  Put("configurations/" + aAccount, ReadExample(aAccount + ".parameters.json"));
}

void
LocalDeployment::SetPlatformFaults(const std::string& aFaults)
{
  const auto answer =
    SendRequest(PlatformAddress(7001), { "POST", "/faults", {}, aFaults });
  if (!answer || answer.value().m_status / 100 != 2) {
    std::abort();
  }
}

Result<HttpAnswerParts>
LocalDeployment::Call(std::size_t aVm,
                      const std::string& aMethod,
                      const std::string& aTarget,
                      const std::string& aKey)
{
  HttpRequestParts request{ aMethod, aTarget, {}, "" };
  request.m_headers.push_back(
    { "x-client-account", m_vms[aVm].m_spec.m_account });
  if (!aKey.empty()) {
    request.m_headers.push_back({ "idempotency-key", aKey });
  }
  return SendRequest(FrontAddress(aVm), std::move(request));
}

Result<HttpAnswerParts>
LocalDeployment::Admin(std::size_t aVm, const std::string& aTarget)
{
  return SendRequest(AdminAddress(aVm), { "GET", aTarget, {}, "" });
}

bool
LocalDeployment::WaitForStatus(
  std::size_t aVm,
  const std::function<bool(const std::string&)>& aCheck,
  Duration aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (std::chrono::steady_clock::now() < end) {
    const auto answer = Admin(aVm, "/status");
    if (answer && aCheck(answer.value().m_body)) {
      return true;
    }
    std::this_thread::sleep_for(kStatusInterval);
  }
  return false;
}

bool
LocalDeployment::WaitForVersion(const std::string& aAccount,
                                std::uint64_t aVersion,
                                Duration aLimit)
{
  for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
    const auto check = [&](const std::string& aStatus) {
      return ServesVersion(aStatus, aAccount, aVersion);
    };
    if (!WaitForStatus(vm, check, aLimit)) {
      return false;
    }
  }
  return true;
}

bool
LocalDeployment::WaitForLive(std::size_t aCount, Duration aLimit)
{
  for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
    const auto check = [&](const std::string& aStatus) {
      return CountLive(aStatus) == aCount;
    };
    if (!WaitForStatus(vm, check, aLimit)) {
      return false;
    }
  }
  return true;
}

ChildProcess
LocalDeployment::StartLoad(const std::vector<std::size_t>& aVms,
                           const std::string& aMixFile,
                           std::uint32_t aRate,
                           Duration aTime,
                           std::uint64_t aSeed)
{
  std::string fronts;
  for (const std::size_t vm : aVms) {
    fronts += (fronts.empty() ? "" : ",") + FrontAddress(vm);
  }
  std::string logs;
  for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
    logs += (logs.empty() ? "" : ",") + UpstreamAdmin(vm);
  }
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  auto load =
    ChildProcess::Start("tarragontray-load",
                        { "--nodes=" + fronts,
                          "--logs=" + logs,
                          "--mix=" + aMixFile,
                          "--rate=" + std::to_string(aRate),
                          "--duration-ms=" + std::to_string(milliseconds),
                          "--seed=" + std::to_string(aSeed),
                          "--output=json" });
  if (!load) {
    std::abort();
  }
  return std::move(load.value());
}

std::string
ReadExample(const std::string& aFile)
{
  const char* folder = std::getenv("TT_EXAMPLES_DIR");
  std::ifstream file(std::string(folder == nullptr ? "examples" : folder) +
                     "/" + aFile);
  std::ostringstream text;
  text << file.rdbuf();
  if (text.str().empty()) {
    std::abort();
  }
  return text.str();
}

bool
ServesVersion(const std::string& aStatus,
              const std::string& aAccount,
              std::uint64_t aVersion)
{
  const json::value status = json::parse(aStatus);
  for (const json::value& configuration :
       status.at("configurations").as_array()) {
    if (configuration.at("account").as_string() == aAccount &&
        configuration.at("version").is_number()) {
      return configuration.at("version").to_number<std::uint64_t>() == aVersion;
    }
  }
  return false;
}

std::size_t
CountLive(const std::string& aStatus)
{
  std::size_t count = 0;
  const json::value status = json::parse(aStatus);
  for (const json::value& member : status.at("members").as_array()) {
    if (member.at("state").as_string() == "alive" &&
        member.at("upstream_state").as_string() == "live") {
      ++count;
    }
  }
  return count;
}

} // namespace tarragontray
