#include "version/SequentialMovePolicy.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "version/SequentialJudge.h"

namespace tarragontray {

namespace {

/// Shares in percent. The step to the whole comes from equal load, where the
/// two versions can still be compared.
constexpr std::array<int, 8> kStagePercent{ 1, 2, 4, 8, 16, 32, 50, 100 };
/// Part of the time from start to deadline that one stage takes; the whole is
/// reached at seven tenths, and the rest is margin.
constexpr double kStageFraction = 0.1;
/// Shortest time between raises, as part of the whole time and absolutely.
constexpr double kMinStepFraction = 0.025;
constexpr Duration kMinStepTime = std::chrono::seconds(1);
constexpr Duration kMaxStepTime = std::chrono::seconds(30);

/// From a fall of the share until evidence of it is in, and until queues have
/// drained. A node that lowers its own share alone changes little of its
/// targets' load, and waits longer.
constexpr Duration kSettleTime = std::chrono::seconds(2);
constexpr Duration kDrainTime = std::chrono::seconds(6);
constexpr Duration kNodeSettleTime = std::chrono::seconds(10);

Share
StageShare(std::size_t aStage)
{
  return Share::FromFraction(kStagePercent[aStage] / 100.0);
}

double
ElapsedFraction(const PaceInput& aInput)
{
  const Duration whole = aInput.m_plan.m_deadline - aInput.m_plan.m_start;
  const Duration elapsed = aInput.m_wall - aInput.m_plan.m_start;
  if (whole <= Duration::zero()) {
    return 1.0;
  }
  return std::chrono::duration<double>(elapsed) /
         std::chrono::duration<double>(whole);
}

Duration
MinStepTime(const MovePlan& aPlan)
{
  const auto part = std::chrono::duration_cast<Duration>(
    (aPlan.m_deadline - aPlan.m_start) * kMinStepFraction);
  return std::clamp(part, kMinStepTime, kMaxStepTime);
}

} // namespace

Result<std::unique_ptr<MovePolicy>>
SequentialMovePolicy::Create(const SequentialSettings& aSettings)
{
  if (aSettings.m_suspectScore <= 0.0 ||
      aSettings.m_verdictScore <= aSettings.m_suspectScore ||
      aSettings.m_nodeVerdictScore < aSettings.m_verdictScore) {
    return Error(ErrorCode::InvalidArgument,
                 "moves.policy",
                 "",
                 "scores must rise from suspect over verdict to node verdict");
  }
  return std::unique_ptr<MovePolicy>(new SequentialMovePolicy(aSettings));
}

Share
SequentialMovePolicy::NextShare(const PaceInput& aInput) const
{
  if (aInput.m_wall < aInput.m_plan.m_start) {
    return aInput.m_share;
  }
  const bool isFirst = aInput.m_share == Share::None();
  if (!isFirst && aInput.m_sinceChange < MinStepTime(aInput.m_plan)) {
    return aInput.m_share;
  }
  const auto due =
    static_cast<std::size_t>(ElapsedFraction(aInput) / kStageFraction);
  const std::size_t lastStage = std::min(due, kStagePercent.size() - 1);
  // One stage at a time, also when late.
  for (std::size_t stage = 0; stage <= lastStage; ++stage) {
    if (StageShare(stage) > aInput.m_share) {
      return StageShare(stage);
    }
  }
  return aInput.m_share;
}

std::unique_ptr<VersionJudge>
SequentialMovePolicy::MakeJudge(EvidenceScope aScope) const
{
  const bool isNode = aScope == EvidenceScope::Node;
  JudgeLimits limits;
  limits.m_suspectScore = m_settings.m_suspectScore;
  limits.m_verdictScore =
    isNode ? m_settings.m_nodeVerdictScore : m_settings.m_verdictScore;
  limits.m_detectsLoadFaults = !isNode;
  limits.m_times = isNode ? SettleTimes{ kNodeSettleTime, kNodeSettleTime }
                          : SettleTimes{ kSettleTime, kDrainTime };
  return std::make_unique<SequentialJudge>(limits);
}

} // namespace tarragontray
