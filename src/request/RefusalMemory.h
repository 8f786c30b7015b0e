/// \file
/// The refusals of the last moments, from which an entry node knows that a
/// guard would refuse a call.
///
///     memory.Record(vm, { route, caller, priority, timeLeft }, statedWait,
///     now); std::optional<Duration> wait =
///       memory.WaitAt(vm, { route, caller, priority, timeLeft }, now);
///
/// A guard that has refused a call because of load also refuses one of the same
/// route and account that is no more urgent and has no more time to its
/// deadline and its objective, until its queue has moved on. A refusal counts
/// for kTrust at most, and no longer than the wait that it states.
///
/// Each traffic thread owns one instance. Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// What a guard's refusal depends on.
struct RefusableCall
{
  RouteName m_route;
  ClientAccountId m_caller;
  std::uint8_t m_priority = 0;
  Duration m_timeLeft{ 0 };
  /// Time to the latency objective; zero when it has passed. A guard starts
  /// calls that can meet theirs before all others.
  Duration m_timeToObjective{ 0 };
};

/// See the file comment.
class RefusalMemory
{
public:
  /// \param aStated the wait that the refusal stated; ignored when zero.
  void Record(const VmId& aVm,
              const RefusableCall& aCall,
              Duration aStated,
              MonotonicTime aNow);
  /// Returns the time until a slot is expected when the target would refuse the
  /// call; nothing when it may accept it.
  std::optional<Duration> WaitAt(const VmId& aVm,
                                 const RefusableCall& aCall,
                                 MonotonicTime aNow) const;

  /// How long a refusal counts. Longer than a round trip between data centres
  /// on a busy VM; slots become free every 17 ms at an upstream of 9 slots and
  /// calls of 150 ms.
  static constexpr Duration kTrust = std::chrono::milliseconds(100);
  /// Maximum number of refusals kept; when exceeded, all are forgotten.
  static constexpr std::size_t kMaxEntries = 4096;

private:
  struct Key
  {
    VmId m_vm;
    RouteName m_route;
    ClientAccountId m_caller;

    bool operator==(const Key&) const = default;
  };
  struct KeyHash
  {
    std::size_t operator()(const Key& aKey) const
    {
      return (std::hash<VmId>()(aKey.m_vm) * 31 +
              std::hash<RouteName>()(aKey.m_route)) *
               31 +
             std::hash<ClientAccountId>()(aKey.m_caller);
    }
  };
  struct Refusal
  {
    RefusableCall m_call;
    MonotonicTime m_until{};
    MonotonicTime m_slotExpected{};
  };

  /// The last refusal of each target, route and account.
  std::unordered_map<Key, Refusal, KeyHash> m_refusals;
};

} // namespace tarragontray
