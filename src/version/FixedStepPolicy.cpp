#include "version/FixedStepPolicy.h"

#include <algorithm>
#include <array>

namespace tarragontray {

namespace {

constexpr std::array<int, 4> kStagePercent{ 10, 25, 50, 100 };
/// Part of the time from start to deadline that one stage takes.
constexpr double kStageFraction = 0.2;

class FixedThresholdJudge final : public VersionJudge
{
public:
  explicit FixedThresholdJudge(const FixedStepSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  void AddHistory(const EvidenceWindow& /*aWindow*/) override {}

  Verdict Judge(const EvidenceWindow& aWindow) override
  {
    for (const WindowEntry& entry : aWindow.m_entries) {
      if (entry.m_side == VersionSide::New) {
        m_calls += entry.m_counters.m_calls;
        m_failures += entry.m_counters.m_failures;
      }
    }
    const double allowed =
      m_settings.m_maxFailureRate * static_cast<double>(m_calls);
    if (m_calls < m_settings.m_minCalls ||
        static_cast<double>(m_failures) <= allowed) {
      return Verdict();
    }
    return Verdict{ VerdictKind::Bad,
                    RouteName("*"),
                    "failures new=" + std::to_string(m_failures) + "/" +
                      std::to_string(m_calls),
                    CallCount(m_calls) };
  }

private:
  FixedStepSettings m_settings;
  std::uint64_t m_calls = 0;
  std::uint64_t m_failures = 0;
};

/// The baseline has no evidence of single nodes.
class NullJudge final : public VersionJudge
{
public:
  void AddHistory(const EvidenceWindow& /*aWindow*/) override {}

  Verdict Judge(const EvidenceWindow& /*aWindow*/) override
  {
    return Verdict();
  }
};

} // namespace

Result<std::unique_ptr<MovePolicy>>
FixedStepPolicy::Create(const FixedStepSettings& aSettings)
{
  if (aSettings.m_maxFailureRate <= 0.0 || aSettings.m_maxFailureRate >= 1.0) {
    return Error(ErrorCode::InvalidArgument,
                 "moves.policy",
                 "",
                 "the failure rate must be between 0 and 1");
  }
  return std::unique_ptr<MovePolicy>(new FixedStepPolicy(aSettings));
}

Share
FixedStepPolicy::NextShare(const PaceInput& aInput) const
{
  const Duration whole = aInput.m_plan.m_deadline - aInput.m_plan.m_start;
  Share share = aInput.m_share;
  for (std::size_t stage = 0; stage < kStagePercent.size(); ++stage) {
    const auto due = aInput.m_plan.m_start +
                     std::chrono::duration_cast<Duration>(
                       whole * (kStageFraction * static_cast<double>(stage)));
    if (aInput.m_wall >= due) {
      share =
        std::max(share, Share::FromFraction(kStagePercent[stage] / 100.0));
    }
  }
  return share;
}

std::unique_ptr<VersionJudge>
FixedStepPolicy::MakeJudge(EvidenceScope aScope) const
{
  if (aScope == EvidenceScope::Node) {
    return std::make_unique<NullJudge>();
  }
  return std::make_unique<FixedThresholdJudge>(m_settings);
}

} // namespace tarragontray
