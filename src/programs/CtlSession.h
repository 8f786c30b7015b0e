/// \file
/// The platform and the nodes as the command line calls them: one call after
/// the other, each waited for.
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

/// Whom to call, and for how long.
struct CtlTargets
{
  /// Not set: commands that need the platform are refused.
  NetworkAddress m_platform;
  /// The admin addresses of nodes.
  std::vector<NetworkAddress> m_nodes = {};
  /// For one call.
  Duration m_timeout{ std::chrono::seconds(2) };
};

/// See the file comment.
class CtlSession
{
public:
  virtual ~CtlSession() = default;

  /// Errors: InvalidArgument for a timeout that is not positive.
  static Result<std::unique_ptr<CtlSession>> Create(CtlTargets aTargets);

  /// Errors: NotFound, Unreachable, Timeout, Closed, Unavailable;
  /// InvalidArgument without a platform.
  virtual Result<PlatformObject> Read(const ObjectKey& aKey) = 0;
  /// As Read, but nothing for an object that does not exist.
  virtual Result<std::optional<PlatformObject>> Find(const ObjectKey& aKey) = 0;
  virtual Result<PlatformListing> List(const std::string& aPrefix) = 0;
  /// A write that is sure of its outcome; see process/ConditionalWriter.h.
  virtual WriteReport Write(PlatformWrite aWrite) = 0;
  /// The text of GET /status. Errors: as Read, without NotFound.
  virtual Result<std::string> NodeStatus(const NetworkAddress& aNode) = 0;

  virtual const std::vector<NetworkAddress>& Nodes() const = 0;
  /// An id that no other operation has.
  virtual OperationId NewOperation() = 0;
  virtual WallTime Now() const = 0;
  /// Sleeps.
  virtual void Wait(Duration aTime) = 0;
};

} // namespace tarragontray
