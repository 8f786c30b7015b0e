/// \file
/// Waiting, passed in as an interface so that tests decide when it ends.
///
///     timer.After(std::chrono::milliseconds(200), [] { ... });
#pragma once

#include <functional>

#include "base/Units.h"

namespace tarragontray {

/// Calls back after a time. Thread safety: one thread, the one that calls
/// back.
class Timer
{
public:
  virtual ~Timer() = default;
  /// Calls aTask once, not before After returned. Precondition: aDelay is not
  /// negative.
  virtual void After(Duration aDelay, std::function<void()> aTask) = 0;
};

} // namespace tarragontray
