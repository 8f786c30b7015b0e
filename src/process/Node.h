/// \file
/// A node: owns the control thread, the guard thread and the front threads.
///
///     auto node = Node::Create(settings, NativeDialects(), clock);
///     ... wait for SIGTERM ...
///     node.value()->Drain();   // returns when no request is in flight
///
/// Thread safety: not thread-safe; used by its owner's thread.
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

  /// Starts all threads. Errors: Unavailable when an address is in use,
  /// InvalidArgument for bad settings. \param aClock must outlive the node.
  static Result<std::unique_ptr<Node>> Create(const NodeSettings& aSettings,
                                              NodeDialects aDialects,
                                              const Clock& aClock);

  /// Shuts down gracefully: announces that the node is leaving, refuses new
  /// calls by the end of the leave notice and blocks until no call is in
  /// flight, at most for the leave notice and the drain limit together.
  /// \return false when calls were still in flight at the limit.
  virtual bool Drain() = 0;
};

} // namespace tarragontray
