/// \file
/// A small deployment of real processes on loopback, for tests: the platform's
/// stand-in, and a node with an upstream's stand-in for each VM.
///
///     LocalDeployment deployment;
///     deployment.StartPlatform();
///     deployment.AddVm({ .m_dataCentre = "addis-1", .m_service = "box-office"
///     }); deployment.PutExample("mesqel-gate");
///     cr_assert(deployment.WaitForTargets(2));
///     HttpAnswerParts answer = deployment.Get(0, "/seat-maps/7");
///
/// Each object has a loopback network of its own, 127.a.b.0 drawn from the
/// test's process id, so that tests may run at the same time. VM n is host
/// n + 2: 8000 front, 8001 peers, 8002 admin, 9000 upstream, 9001 the
/// upstream's admin; the platform is host 1.
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

/// What a VM runs.
struct VmSpec
{
  std::string m_dataCentre;
  std::string m_account = "mesqel-gate";
  std::string m_service = "box-office";
  std::string m_version = "v1";
  std::uint32_t m_slots = 12;
  std::uint32_t m_serviceMicroseconds = 1000;
  std::string m_faults = "[]";
};

/// See the file comment.
class LocalDeployment
{
public:
  LocalDeployment();

  void StartPlatform();
  /// Starts a node and its upstream; gives the VM's index.
  std::size_t AddVm(const VmSpec& aSpec);
  /// Starts the node of a VM again, on the same addresses.
  void RestartNode(std::size_t aVm);

  /// Writes an example's template and parameters to the platform.
  void PutExample(const std::string& aAccount, const std::string& aTemplate);
  /// Writes any object; \return its revision.
  std::uint64_t Put(const std::string& aKey, const std::string& aBody);
  /// Sets the platform stand-in's faults (JSON).
  void SetPlatformFaults(const std::string& aFaults);

  /// One request to a node's front.
  Result<HttpAnswerParts> Call(std::size_t aVm,
                               const std::string& aMethod,
                               const std::string& aTarget,
                               const std::string& aKey = "");
  Result<HttpAnswerParts> Admin(std::size_t aVm, const std::string& aTarget);
  /// Asks until aCheck holds for the node's /status; false at the limit.
  bool WaitForStatus(std::size_t aVm,
                     const std::function<bool(const std::string&)>& aCheck,
                     Duration aLimit);
  /// Until every node serves this version of the account.
  bool WaitForVersion(const std::string& aAccount,
                      std::uint64_t aVersion,
                      Duration aLimit);
  /// Until every node knows aCount live upstreams.
  bool WaitForLive(std::size_t aCount, Duration aLimit);

  ChildProcess& Node(std::size_t aVm) { return *m_vms[aVm].m_node; }
  ChildProcess& Upstream(std::size_t aVm) { return *m_vms[aVm].m_upstream; }
  std::string FrontAddress(std::size_t aVm) const;
  std::string UpstreamAdmin(std::size_t aVm) const;
  std::size_t Size() const { return m_vms.size(); }

  /// The load tool against the fronts of some VMs, audited by all upstreams'
  /// logs. \return the running child.
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

  std::string Ip(std::size_t aVm) const;
  std::string At(std::size_t aVm, std::uint16_t aPort) const;
  std::string PlatformAddress(std::uint16_t aPort) const;
  std::unique_ptr<ChildProcess> StartNode(std::size_t aVm);
  std::unique_ptr<ChildProcess> StartUpstream(std::size_t aVm);

  std::string m_network;
  std::unique_ptr<ChildProcess> m_platform;
  std::vector<Vm> m_vms;
};

/// The text of a file in examples/. Aborts the test when it is not there.
std::string
ReadExample(const std::string& aFile);

/// Whether a node's status shows the account's version in force.
bool
ServesVersion(const std::string& aStatus,
              const std::string& aAccount,
              std::uint64_t aVersion);

/// Upstreams that a node's status shows as live on live nodes.
std::size_t
CountLive(const std::string& aStatus);

} // namespace tarragontray
