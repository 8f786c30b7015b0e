/// \file
/// Lets one thread block until other threads have no work in flight.
///
///     IdleSignal idle;
///     idle.Begin();                       // a traffic thread, for each call
///     idle.End();
///     bool isIdle = idle.WaitFor(limit);  // the owner, at shutdown
///
/// Thread safety: any thread.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>

#include "base/Units.h"

namespace tarragontray {

/// Counts work in flight and notifies waiting threads when the count drops to
/// zero.
class IdleSignal
{
public:
  void Begin() { ++m_inFlight; }
  /// Precondition: a matching Begin was called.
  void End()
  {
    if (--m_inFlight == 0) {
      const std::lock_guard lock(m_mutex);
      m_changed.notify_all();
    }
  }
  std::uint32_t InFlight() const { return m_inFlight; }

  /// Blocks until nothing is in flight, at most for aLimit. \return true when
  /// nothing is in flight.
  bool WaitFor(Duration aLimit)
  {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, aLimit, [this] { return m_inFlight == 0; });
  }

private:
  std::atomic<std::uint32_t> m_inFlight = 0;
  std::mutex m_mutex;
  std::condition_variable m_changed;
};

} // namespace tarragontray
