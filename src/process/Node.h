/// \file
/// A whole node: the control thread, the guard thread and the front threads.
///
///     auto node = Node::Create(settings, NativeDialects(), clock);
///     ... wait for SIGTERM ...
///     node.value()->Drain();   // returns when no request is in flight
///
/// Thread safety: the owner's thread.
#pragma once

#include <memory>

#include "base/Clock.h"
#include "base/Result.h"
#include "process/NodeDialects.h"
#include "process/NodeSettings.h"

namespace tarragontray {

/// See the file comment.
class Node
{
public:
  virtual ~Node() = default;

  /// Starts all threads. Errors: Unavailable for an address that is taken,
  /// InvalidArgument. \param aClock must outlive the node.
  static Result<std::unique_ptr<Node>> Create(const NodeSettings& aSettings,
                                              NodeDialects aDialects,
                                              const Clock& aClock);

  /// Announces that the node leaves, refuses new work and waits until nothing
  /// is in flight, at most the drain limit.
  /// \return false when calls were still in flight at the limit.
  virtual bool Drain() = 0;
};

} // namespace tarragontray
