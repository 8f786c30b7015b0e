/// \file
/// Decides for each call to standin-upstream whether it is shed, how long it
/// runs and how it ends.
///
///     UpstreamBehaviour behaviour(settings, now);
///     ExecutionPlan plan = behaviour.Plan(target, remaining, running, now);
///
/// Thread safety: not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/Random.h"
#include "base/Units.h"
#include "programs/UpstreamFaults.h"

namespace tarragontray {

/// Capacity and speed of a simulated upstream.
struct UpstreamBehaviourSettings
{
  SlotCount m_slots{ 12 };
  /// Mean service time; half of it is constant and half exponentially
  /// distributed.
  Duration m_serviceTime{ std::chrono::milliseconds(5) };
  /// Duration of the cold phase after the start.
  Duration m_coldTime{ 0 };
  /// Factor of the service time during the cold phase.
  double m_coldFactor = 5;
  std::uint64_t m_seed = 1;
};

/// How an execution ended.
enum class ExecutionEnd : std::uint8_t
{
  Running,
  /// Answered completely.
  Done,
  /// Answered with 500.
  Failed,
  /// The answer was truncated.
  Cut,
  /// The caller's deadline passed: answered with 504.
  Late,
  /// The caller closed the connection.
  Cancelled,
};

std::string_view
Name(ExecutionEnd aEnd);

/// How one call is treated.
struct ExecutionPlan
{
  /// Refused without being executed.
  bool m_isShed = false;
  Duration m_time{ 0 };
  ExecutionEnd m_end = ExecutionEnd::Done;
};

/// See the file comment.
class UpstreamBehaviour
{
public:
  UpstreamBehaviour(const UpstreamBehaviourSettings& aSettings,
                    MonotonicTime aNow);

  /// Replaces all rules; their time ranges are relative to aNow.
  void SetRules(std::vector<FaultRule> aRules, MonotonicTime aNow);
  bool IsCold(MonotonicTime aNow) const;
  SlotCount Slots() const { return m_settings.m_slots; }

  /// Sheds a call when all slots are in use or its deadline has passed.
  /// \param aRemaining time until the caller's deadline, when known.
  /// \param aRunning number of running calls, this one not included.
  ExecutionPlan Plan(std::string_view aTarget,
                     std::optional<Duration> aRemaining,
                     std::uint32_t aRunning,
                     MonotonicTime aNow);

private:
  Duration DrawServiceTime();

  const UpstreamBehaviourSettings m_settings;
  const MonotonicTime m_start;
  SeededRandom m_random;
  std::vector<FaultRule> m_rules;
  MonotonicTime m_rulesSetTime;
};

} // namespace tarragontray
