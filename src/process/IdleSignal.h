/// \file
/// Lets one thread sleep until others have nothing in flight.
///
///     IdleSignal idle;
///     idle.Begin();                       // a traffic thread, for each call
///     idle.End();
///     bool isIdle = idle.WaitFor(limit);  // the owner, at a stop
///
/// Thread safety: any thread.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>

#include "base/Units.h"

namespace tarragontray {

/// Counts work in flight and wakes a waiter when there is none.
class IdleSignal
{
public:
  void Begin() { ++m_inFlight; }
  /// Precondition: one Begin for each End.
  void End()
  {
    if (--m_inFlight == 0) {
      const std::lock_guard lock(m_mutex);
      m_changed.notify_all();
    }
  }
  std::uint32_t InFlight() const { return m_inFlight; }

  /// Sleeps until nothing is in flight, at most aLimit. \return true when
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
