/// \file
/// Limits of one HTTP listener of a node for what its callers can make the
/// process keep.
///
/// Thread safety: a value; the counters may be used from any thread.
#pragma once

#include <cstddef>
#include <memory>

#include "base/Units.h"
#include "process/CallerBudget.h"

namespace tarragontray {

/// See the file comment.
struct ListenerSettings
{
  CallerBudgetSettings m_budget;
  std::size_t m_maxHeaderFields = 4096;
  ByteCount m_maxPipelined{ 256U << 10U };
  /// Shared by all listeners of the process; null: not counted.
  std::shared_ptr<CallerLimitCounters> m_counters;
};

} // namespace tarragontray
