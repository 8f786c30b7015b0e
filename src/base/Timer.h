/// \file
/// Timer interface. Code takes a Timer as a parameter, so that tests decide
/// when callbacks run.
///
///     timer.After(std::chrono::milliseconds(200), [] { ... });
#pragma once

#include <functional>

#include "base/Units.h"

namespace tarragontray {

/// Schedules callbacks. Thread safety: one thread, which also runs the
/// callbacks.
class Timer
{
public:
  virtual ~Timer() = default;
  /// Runs aTask once after aDelay, but never before After returns.
  /// Precondition: aDelay is not negative.
  virtual void After(Duration aDelay, std::function<void()> aTask) = 0;
};

} // namespace tarragontray
