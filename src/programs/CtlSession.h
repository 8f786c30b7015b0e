/// \file
/// Blocking client of the platform and of the nodes, for the command line. Each
/// function returns when its call has ended.
///
///     auto session = CtlSession::Create({ .m_platform = address });
///     Result<PlatformObject> object = session.value()->Read(key);
///
/// Thread safety: one thread.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/Units.h"
#include "process/ConditionalWriter.h"

namespace tarragontray {

/// The addresses to call, and the timeout.
struct CtlTargets
{
  /// Not set: calls to the platform fail with InvalidArgument.
  NetworkAddress m_platform;
  /// Admin addresses of nodes.
  std::vector<NetworkAddress> m_nodes = {};
  /// Timeout of one call.
  Duration m_timeout{ std::chrono::seconds(2) };
};

/// See the file comment.
class CtlSession
{
public:
  virtual ~CtlSession() = default;

  /// Errors: InvalidArgument when the timeout is not positive; those of
  /// PlatformSession::Create.
  static Result<std::unique_ptr<CtlSession>> Create(CtlTargets aTargets);

  /// Errors: NotFound, Unreachable, Timeout, Closed, Unavailable;
  /// InvalidArgument when no platform is set.
  virtual Result<PlatformObject> Read(const ObjectKey& aKey) = 0;
  /// As Read, but returns nothing when the object does not exist.
  virtual Result<std::optional<PlatformObject>> Find(const ObjectKey& aKey) = 0;
  /// Errors: as Read, without NotFound.
  virtual Result<PlatformListing> List(const std::string& aPrefix) = 0;
  /// Writes an object if its revision is the expected one, with retries; see
  /// process/ConditionalWriter.h.
  virtual WriteReport Write(PlatformWrite aWrite) = 0;
  /// Returns the body of GET /status. Errors: those of HttpClient::Send;
  /// Unavailable when the HTTP status is not 200.
  virtual Result<std::string> NodeStatus(const NetworkAddress& aNode) = 0;

  virtual const std::vector<NetworkAddress>& Nodes() const = 0;
  /// Returns a new random operation id.
  virtual OperationId NewOperation() = 0;
  virtual WallTime Now() const = 0;
  /// Blocks for aTime.
  virtual void Wait(Duration aTime) = 0;
};

} // namespace tarragontray
