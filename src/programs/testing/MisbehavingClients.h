/// \file
/// Groups of misbehaving clients and what a process under test must hold
/// against them. The process's limits are low, so that a small group exceeds
/// them. Nothing depends on times or on the share of served requests.
///
///     LowerLimits();
///     ... start the process, its descriptors limited by DescriptorLimit ...
///     RunGroup(tested, target, WholeBody);
///
/// Thread safety: one thread.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <sys/resource.h>
#include <sys/types.h>

#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "programs/testing/ClientGroup.h"
#include "request/Call.h"

namespace tarragontray {

/// Lowers the descriptor limit of processes that are started in its scope.
class DescriptorLimit
{
public:
  DescriptorLimit();
  ~DescriptorLimit();
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
  rlimit m_before{};
};

/// What a group requests.
struct GroupTarget
{
  NetworkAddress m_address;
  std::string m_method;
  std::string m_path;
};

/// Makes what the clients of a group send.
using MakeBehaviour = std::function<ClientBehaviour(const GroupTarget&)>;

/// The process under test, with the ordinary requests that it must serve.
struct TestedProcess
{
  pid_t m_process = -1;
  std::vector<std::function<Result<HttpAnswerParts>()>> m_ordinary;
};

/// Sets the limits of processes that are started from now on.
void
LowerLimits();

/// Whether one of a few ordinary requests in a row is answered 200. An ordinary
/// caller repeats a request that was refused.
bool
IsServed(const std::function<Result<HttpAnswerParts>()>& aRequest);

/// Runs a group and checks, while its connections are open, that the process
/// lives, its open descriptors and its peak of resident memory, and that it
/// serves ordinary requests.
void
RunGroup(const TestedProcess& aTested,
         const GroupTarget& aTarget,
         const MakeBehaviour& aMakeBehaviour);

/// \name What the clients of a group send
/// \{
ClientBehaviour
WholeBody(const GroupTarget& aTarget);
ClientBehaviour
BodyInPieces(const GroupTarget& aTarget);
ClientBehaviour
BodyInChunks(const GroupTarget& aTarget);
ClientBehaviour
OversizedBody(const GroupTarget& aTarget);
ClientBehaviour
EndlessChunks(const GroupTarget& aTarget);
ClientBehaviour
ManyFields(const GroupTarget& aTarget);
ClientBehaviour
Pipelined(const GroupTarget& aTarget);
ClientBehaviour
PipelinedPages(const GroupTarget& aTarget);
ClientBehaviour
PipelinedBodies(const GroupTarget& aTarget);
ClientBehaviour
SlowHead(const GroupTarget& aTarget);
ClientBehaviour
SlowBody(const GroupTarget& aTarget);
ClientBehaviour
HalfHead(const GroupTarget& aTarget);
/// \}

} // namespace tarragontray
