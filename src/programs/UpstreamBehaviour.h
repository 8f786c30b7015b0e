/// \file
/// How standin-upstream treats each call: whether it runs, how long, and how
/// it ends.
///
///     UpstreamBehaviour behaviour(settings, now);
///     ExecutionPlan plan = behaviour.Plan(target, remaining, running, now);
///
/// Thread safety: one thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/Random.h"
#include "base/Units.h"
#include "programs/UpstreamFaults.h"

namespace tarragontray {

/// The nature of one upstream.
struct UpstreamBehaviourSettings
{
  SlotCount m_slots{ 12 };
  /// The mean; half of it is fixed, half is exponentially distributed.
  Duration m_serviceTime{ std::chrono::milliseconds(5) };
  /// After its start the upstream is cold for so long.
  Duration m_coldTime{ 0 };
  /// While cold, calls take so many times longer.
  double m_coldFactor = 5;
  std::uint64_t m_seed = 1;
};

/// How an execution ended.
enum class ExecutionEnd : std::uint8_t
{
  Running,
  /// Answered whole.
  Done,
  /// Answered with 500.
  Failed,
  /// The answer was cut.
  Cut,
  /// Its time ran out: answered with 504.
  Late,
  /// The caller closed the connection.
  Cancelled,
};

std::string_view
Name(ExecutionEnd aEnd);

/// What happens to one call.
struct ExecutionPlan
{
  /// Refused before it runs.
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

  /// Replaces all rules; their times count from aNow.
  void SetRules(std::vector<FaultRule> aRules, MonotonicTime aNow);
  bool IsCold(MonotonicTime aNow) const;
  SlotCount Slots() const { return m_settings.m_slots; }

  /// \param aRemaining how long the caller still waits, when known.
  /// \param aRunning calls that run now, without this one.
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
  MonotonicTime m_rulesSet;
};

} // namespace tarragontray
