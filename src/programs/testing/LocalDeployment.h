/// \file
/// A small deployment of real processes on loopback addresses, for tests: a
/// stand-in platform, and for each VM a node and a stand-in upstream.
///
///     LocalDeployment deployment;
///     deployment.StartPlatform();
///     deployment.AddVm({ .m_dataCentre = "addis-1" });
///     deployment.PutExample("mesqel-gate", "ticketing");
///     cr_assert(deployment.WaitForLive(1, limit));
///     const auto answer = deployment.Call(0, "GET", "/seat-maps/7");
///
/// Each test process uses a separate loopback network, 127.a.b.0, derived from
/// its process id, so that tests can run concurrently. The platform is host 1
/// and VM n is host n + 2. The ports of a VM: 8000 front, 8001 peers, 8002
/// admin, 9000 upstream, 9001 upstream admin.
///
/// A test is aborted if a process does not start or the platform refuses a
/// write.
///
/// Thread safety: one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "programs/testing/ChildProcess.h"
#include "request/Call.h"

namespace tarragontray {

/// The data centre of a VM and the settings of its stand-in upstream.
struct VmSpec
{
  std::string m_dataCentre;
  std::string m_account = "mesqel-gate";
  std::string m_service = "box-office";
  std::string m_version = "v1";
  std::uint32_t m_slots = 12;
  std::uint32_t m_serviceMicroseconds = 1000;
  /// Faults of the stand-in upstream, as JSON.
  std::string m_faults = "[]";
};

/// The loopback network of this test process, 127.a.b.0.
class LoopbackNetwork
{
public:
  LoopbackNetwork();
  /// "127.a.b.HOST:PORT".
  std::string Address(std::size_t aHost, std::uint16_t aPort) const;

private:
  std::string m_prefix;
};

/// Sends one request to "a.b.c.d:port". Errors: those of HttpClient.
Result<HttpAnswerParts>
SendRequest(const std::string& aAddress, HttpRequestParts aRequest);

/// The processes of a deployment; see the file comment. The destructor kills
/// them.
class LocalDeployment
{
public:
  /// Starts the stand-in platform.
  void StartPlatform();
  /// Starts a node and its upstream. \return the VM's index.
  std::size_t AddVm(const VmSpec& aSpec);
  /// Kills the node of a VM if it still runs, and starts it again on the same
  /// addresses.
  void RestartNode(std::size_t aVm);

  /// Writes an example's template and parameters to the platform.
  void PutExample(const std::string& aAccount, const std::string& aTemplate);
  /// Writes an object to the platform. \return its revision.
  std::uint64_t Put(const std::string& aKey, const std::string& aBody);
  /// Sets the faults of the stand-in platform. \param aFaults JSON.
  void SetPlatformFaults(const std::string& aFaults);

  /// Sends a request to a node's front, as the client account of the VM.
  /// \param aKey the idempotency key; empty for none.
  Result<HttpAnswerParts> Call(std::size_t aVm,
                               const std::string& aMethod,
                               const std::string& aTarget,
                               const std::string& aKey = "");
  /// Sends a GET request to a node's admin address.
  Result<HttpAnswerParts> Admin(std::size_t aVm, const std::string& aTarget);
  /// Polls the node's /status until aCheck accepts the body. Returns false
  /// after aLimit.
  bool WaitForStatus(std::size_t aVm,
                     const std::function<bool(const std::string&)>& aCheck,
                     Duration aLimit);
  /// Waits until every node serves this configuration version of the account.
  /// aLimit applies to each node; returns false after it.
  bool WaitForVersion(const std::string& aAccount,
                      std::uint64_t aVersion,
                      Duration aLimit);
  /// Waits until every node lists aCount live upstreams. aLimit applies to each
  /// node; returns false after it.
  bool WaitForLive(std::size_t aCount, Duration aLimit);

  ChildProcess& Node(std::size_t aVm) { return *m_vms[aVm].m_node; }
  ChildProcess& Upstream(std::size_t aVm) { return *m_vms[aVm].m_upstream; }
  std::string FrontAddress(std::size_t aVm) const;
  std::string AdminAddress(std::size_t aVm) const;
  std::string UpstreamAdmin(std::size_t aVm) const;
  std::size_t Size() const { return m_vms.size(); }

  /// Starts the load tool against the fronts of the given VMs. It checks its
  /// results against the execution logs of all upstreams. \param aRate calls
  /// per second.
  ChildProcess StartLoad(const std::vector<std::size_t>& aVms,
                         const std::string& aMixFile,
                         std::uint32_t aRate,
                         Duration aTime,
                         std::uint64_t aSeed);

private:
  struct Vm
  {
    VmSpec m_spec;
    std::unique_ptr<ChildProcess> m_node;
    std::unique_ptr<ChildProcess> m_upstream;
  };

  std::string AddressOf(std::size_t aVm, std::uint16_t aPort) const;
  std::string PlatformAddress(std::uint16_t aPort) const;
  std::unique_ptr<ChildProcess> StartNode(std::size_t aVm);
  std::unique_ptr<ChildProcess> StartUpstream(std::size_t aVm);

  LoopbackNetwork m_network;
  std::unique_ptr<ChildProcess> m_platform;
  std::vector<Vm> m_vms;
};

/// Returns the text of a file in examples/. Aborts the test if the file is
/// missing or empty.
std::string
ReadExample(const std::string& aFile);

/// Whether aVersion is the account's configuration in force in a node's status.
bool
ServesVersion(const std::string& aStatus,
              const std::string& aAccount,
              std::uint64_t aVersion);

/// Counts the members in a node's status that are alive and have a live
/// upstream.
std::size_t
CountLive(const std::string& aStatus);

} // namespace tarragontray
