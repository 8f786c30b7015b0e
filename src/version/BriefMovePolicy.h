/// \file
/// A policy for moves that last only seconds: a small share for most of the
/// time, then a quick rise to the full share, with a judge that needs few
/// calls.
///
///     Result<std::unique_ptr<MovePolicy>> policy =
///       BriefMovePolicy::Create(BriefMoveSettings{});
///
/// A version that fails only under load is detected in the last steps. These
/// are short, so that all steps below the full share together receive less than
/// a tenth of the calls. The judge (version/BriefJudge.h) evaluates only the
/// last seconds, because there is no time to return to equal load for a
/// comparison as SequentialMovePolicy does.
#pragma once

#include <memory>

#include "base/Result.h"
#include "version/MovePolicy.h"

namespace tarragontray {

/// The settings of BriefMovePolicy.
struct BriefMoveSettings
{
  /// The natural logarithm of the likelihood ratio at which a version is judged
  /// bad. A good version reaches it with a probability of about
  /// exp(-m_verdictScore).
  double m_verdictScore = 8.0;
  /// How far back calls are evaluated.
  Duration m_lookback = std::chrono::seconds(18);
};

/// A policy for moves of a few seconds; see the file comment. Thread safety:
/// immutable.
class BriefMovePolicy final : public MovePolicy
{
public:
  /// Errors: InvalidArgument unless both settings are positive.
  static Result<std::unique_ptr<MovePolicy>> Create(
    const BriefMoveSettings& aSettings);

  Share NextShare(const PaceInput& aInput) const override;
  Share ShareAfterTrial(const PaceInput& aInput) const override;
  bool MustDecide(const PaceInput& aInput) const override;
  Share ComparisonShare(Share aEqualLoad) const override;
  std::unique_ptr<VersionJudge> MakeJudge(EvidenceScope aScope) const override;

private:
  explicit BriefMovePolicy(const BriefMoveSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  BriefMoveSettings m_settings;
};

} // namespace tarragontray
