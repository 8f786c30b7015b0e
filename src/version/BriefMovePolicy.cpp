#include "version/BriefMovePolicy.h"

#include <algorithm>
#include <array>
#include <span>

#include "version/BriefJudge.h"

namespace tarragontray {

namespace {

/// A share that is due from a fraction of the planned time on.
struct Stage
{
  double m_from;
  double m_share;
};

/// The share of a trial at nearly the full load. The rest stays with the old
/// version for comparison.
constexpr double kTrialShare = 0.90;
/// The share after the trial, while its evidence is collected.
constexpr double kShareAfterTrial = 0.07;
/// At a constant call rate, the time before the full share receives 5 % of the
/// calls between start and deadline.
constexpr std::array<Stage, 4> kStagesUntilTrial{
  { { 0.12, 0.02 }, { 0.20, 0.04 }, { 0.30, 0.07 }, { 0.42, kTrialShare } }
};
constexpr std::array<Stage, 1> kStagesAfterTrial{ { { 0.62, 1.00 } } };
/// The length of the trial, and the minimum time between two raises, as
/// fractions of the planned time.
constexpr double kTrialFraction = 0.03;
constexpr double kMinStepFraction = 0.035;
constexpr double kLastTrialFraction = 0.75;
/// No trial begins after which a version would have received more than this
/// part of the calls between start and deadline.
constexpr double kMaxExposureByTrials = 0.12;
/// The time until all nodes apply the end of a trial.
constexpr Duration kTrialEndDelay = std::chrono::milliseconds(100);
/// The minimum time for which evidence is collected before and after a trial,
/// as a fraction of the planned time.
constexpr double kEvidenceFraction = 0.10;
/// A version that is suspect after the share has been lowered this often is
/// rolled back: it fails only under load.
constexpr ProgressEpoch kMaxLowerings{ 3 };
/// From this fraction of the planned time on, a suspect version is rolled back.
constexpr double kDecisionFraction = 0.93;

Duration
PlannedTime(const MovePlan& aPlan)
{
  return aPlan.m_deadline - aPlan.m_start;
}

Duration
FractionOf(Duration aDuration, double aFraction)
{
  return std::chrono::duration_cast<Duration>(aDuration * aFraction);
}

/// Whether the exposure budget has room for one more trial.
bool
FitsTrial(const PaceInput& aInput)
{
  const Duration planned = PlannedTime(aInput.m_plan);
  const Duration trial = FractionOf(planned, kTrialFraction) + kTrialEndDelay;
  return aInput.m_spent + FractionOf(trial, kTrialShare) <=
         FractionOf(planned, kMaxExposureByTrials);
}

} // namespace

Result<std::unique_ptr<MovePolicy>>
BriefMovePolicy::Create(const BriefMoveSettings& aSettings)
{
  if (aSettings.m_verdictScore <= 0 ||
      aSettings.m_lookback <= Duration::zero()) {
    return Error(ErrorCode::InvalidArgument,
                 "moves.policy",
                 "",
                 "the verdict score and the lookback must be positive");
  }
  return std::unique_ptr<MovePolicy>(new BriefMovePolicy(aSettings));
}

Share
BriefMovePolicy::NextShare(const PaceInput& aInput) const
{
  const Duration planned = PlannedTime(aInput.m_plan);
  const Duration elapsed = aInput.m_wall - aInput.m_plan.m_start;
  const std::span<const Stage> stages =
    aInput.m_hasPassedTrial ? std::span<const Stage>(kStagesAfterTrial)
                            : std::span<const Stage>(kStagesUntilTrial);
  const bool isCollecting =
    aInput.m_share == Share::FromFraction(kShareAfterTrial);
  const Duration shortest =
    FractionOf(planned, isCollecting ? kEvidenceFraction : kMinStepFraction);
  const bool isFirst = aInput.m_share == Share::None();
  if (elapsed < Duration::zero() ||
      (!isFirst && aInput.m_sinceChange < shortest)) {
    return aInput.m_share;
  }
  // A trial so late can't lead to completion by the deadline, and would only
  // add to the calls that a bad version gets before it.
  const bool isTooLate = !aInput.m_hasPassedTrial &&
                         elapsed >= FractionOf(planned, kLastTrialFraction) &&
                         elapsed < planned;
  const bool mayTry =
    aInput.m_hasPassedTrial || (!isTooLate && FitsTrial(aInput));
  // At most one stage per call, even if several are overdue.
  for (const Stage& stage : stages) {
    const Share share = Share::FromFraction(stage.m_share);
    if (elapsed >= FractionOf(planned, stage.m_from) &&
        share > aInput.m_share) {
      const bool isTrial = share >= Share::FromFraction(kTrialShare);
      return isTrial && !mayTry ? aInput.m_share : share;
    }
  }
  return aInput.m_share;
}

Share
BriefMovePolicy::ShareAfterTrial(const PaceInput& aInput) const
{
  const bool isTrial = !aInput.m_hasPassedTrial &&
                       aInput.m_share >= Share::FromFraction(kTrialShare);
  const Duration length =
    FractionOf(PlannedTime(aInput.m_plan), kTrialFraction);
  return isTrial && aInput.m_sinceChange >= length
           ? Share::FromFraction(kShareAfterTrial)
           : aInput.m_share;
}

bool
BriefMovePolicy::MustDecide(const PaceInput& aInput) const
{
  return aInput.m_lowerings >= kMaxLowerings ||
         aInput.m_wall >=
           aInput.m_plan.m_start +
             FractionOf(PlannedTime(aInput.m_plan), kDecisionFraction);
}

bool
BriefMovePolicy::MustGiveUp(const PaceInput& aInput) const
{
  return !aInput.m_hasPassedTrial && aInput.m_share < Share::All() &&
         aInput.m_lowerings > ProgressEpoch(0) && !FitsTrial(aInput) &&
         aInput.m_wall >=
           aInput.m_plan.m_start +
             FractionOf(PlannedTime(aInput.m_plan), kDecisionFraction);
}

Share
BriefMovePolicy::ComparisonShare(Share aEqualLoad) const
{
  return std::min(aEqualLoad, Share::FromFraction(kShareAfterTrial));
}

std::unique_ptr<VersionJudge>
BriefMovePolicy::MakeJudge(EvidenceScope aScope) const
{
  BriefMoveSettings settings = m_settings;
  if (aScope == EvidenceScope::Node) {
    // Each of many nodes can veto, so each needs stronger evidence.
    constexpr double kNodeFactor = 1.5;
    settings.m_verdictScore *= kNodeFactor;
  }
  return std::make_unique<BriefJudge>(settings);
}

} // namespace tarragontray
